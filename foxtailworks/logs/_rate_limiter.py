"""How many lines may be written under load."""


class RateLimiter:
    """A token bucket that counts what it refuses.

    :param rate: lines a second in the long run
    :param burst: lines at once after a quiet time
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = 0.0
        self.suppressed = 0
        """Lines that were not written, since the start."""

    def try_acquire(self, now: float) -> bool:
        """Tell whether one more line may be written."""
        gained = max(0.0, now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True
