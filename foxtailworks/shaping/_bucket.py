"""Token bucket over the bytes on a link."""


class Bucket:
    """Token bucket that may be overdrawn by bytes that can't wait.

    :param rate: bytes a second
    :param burst: most bytes that can be sent at once after a pause
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        if self._refilled_at is not None and now > self._refilled_at:
            earned = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + earned)
        if self._refilled_at is None or now > self._refilled_at:
            self._refilled_at = now

    def take(self, size: int) -> None:
        """Remove the tokens for some bytes, also if there are too few."""
        self._tokens -= size

    def wait_s(self, size: int) -> float:
        """Return the seconds until a packet may be sent; 0 if it may now.

        A packet that is larger than the burst needs a full bucket.  Less than
        a byte isn't waited for: it is below the precision of the times.
        """
        missing = min(size, self._burst) - self._tokens
        return missing / self._rate if missing >= 1 else 0.0
