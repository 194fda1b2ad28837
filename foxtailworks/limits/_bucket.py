"""Token bucket and adaptive window of requests in flight."""

import dataclasses

BURST_S = 0.1
MIN_BURST = 1.0
INITIAL_WINDOW = 32.0
MIN_WINDOW = 2.0
BACKOFF_FACTOR = 0.85
BACKOFF_EVERY_S = 0.2


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket with a burst of a tenth of a second."""

    tokens: float = 0.0
    rate: float = 0.0
    refilled_at: float | None = None
    """Time of the last refill; None before the first."""

    def refill(self, now: float, rate: float) -> None:
        """Add tokens for the time since the last refill and set the rate."""
        cap = max(rate * BURST_S, MIN_BURST if rate else 0.0)
        if self.refilled_at is None:
            self.refilled_at, self.tokens = now, cap
        earned = self.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(self.tokens + earned, cap)
        self.rate = rate
        self.refilled_at = now

    def take(self) -> None:
        """Remove one token from the bucket."""
        self.tokens -= 1.0


@dataclasses.dataclass(slots=True)
class Window:
    """Number of requests in flight that upstreams can answer in time.

    Additive increase, multiplicative decrease: grows by one for each window
    of answers in time while it is nearly full, and shrinks by a factor when
    requests are shed or late.
    """

    size: float = INITIAL_WINDOW
    shrunk_at: float = 0.0

    def on_success(self, in_flight: int) -> None:
        """Grow after an answer in time if the window is nearly full."""
        if in_flight >= self.size * 0.8:
            self.size += 1.0 / self.size

    def on_overload(self, now: float) -> None:
        """Shrink after a shed or late request, at most once an interval."""
        if now >= self.shrunk_at + BACKOFF_EVERY_S:
            self.size = max(MIN_WINDOW, self.size * BACKOFF_FACTOR)
            self.shrunk_at = now
