"""A token bucket and a window that follows what upstreams can take."""

import dataclasses

BURST_S = 0.1
MIN_BURST = 1.0
FIRST_WINDOW = 32.0
MIN_WINDOW = 2.0
BACK_OFF = 0.85
BACK_OFF_EVERY_S = 0.2


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Admits at a rate, with a burst of a tenth of a second."""

    tokens: float = 0.0
    rate: float = 0.0
    at: float | None = None
    """When tokens came in last; none before the first time."""

    def refill(self, now: float, rate: float) -> None:
        """Add what came in since the last time; ``rate`` holds from now."""
        cap = max(rate * BURST_S, MIN_BURST if rate else 0.0)
        if self.at is None:
            self.at, self.tokens = now, cap
        earned = self.rate * max(0.0, now - self.at)
        self.tokens = min(self.tokens + earned, cap)
        self.rate = rate
        self.at = now

    def take(self) -> None:
        """Use one token."""
        self.tokens -= 1.0


@dataclasses.dataclass(slots=True)
class Window:
    """How many requests in flight the upstreams answer in time.

    Grows by one for each window of good answers while it is used up, and
    shrinks by a part when requests are shed or late.
    """

    size: float = FIRST_WINDOW
    shrunk_at: float = 0.0

    def good(self, in_flight: int) -> None:
        """Count an answer in time."""
        if in_flight >= self.size * 0.8:
            self.size += 1.0 / self.size

    def bad(self, now: float) -> None:
        """Count a shed or late request."""
        if now >= self.shrunk_at + BACK_OFF_EVERY_S:
            self.size = max(MIN_WINDOW, self.size * BACK_OFF)
            self.shrunk_at = now
