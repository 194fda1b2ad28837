"""Rate limit for log lines."""


class RateLimiter:
    """A token bucket that counts the lines it suppresses.

    :param rate: sustained rate, in lines per second
    :param burst: most lines at once after idle time
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0
        self.suppressed = 0
        """Number of suppressed lines since the start."""

    def try_acquire(self, now: float) -> bool:
        """Take a token; return whether one more line may be written.

        :param now: monotonic seconds
        """
        refill = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True
