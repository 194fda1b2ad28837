"""Links with a rate and a bounded queue, in virtual time."""

MIN_QUEUE_S = 0.05
"""Delay in a link's queue from which on datagrams are dropped at random."""
MAX_QUEUE_S = 0.25
"""Delay in a link's queue from which on all are dropped."""


class Link:
    """One direction of a machine's link."""

    def __init__(self, rate, rng, is_policed):
        self.rate = rate
        self.rng = rng
        self.is_policed = is_policed
        self.free_at = 0.0

    def take(self, size, now):
        """Return when a datagram has passed; None when it is dropped."""
        start = max(now, self.free_at)
        excess_s = start - now - MIN_QUEUE_S
        passes = excess_s <= (MAX_QUEUE_S - MIN_QUEUE_S) * self.rng.random()
        if passes or self.is_policed:
            self.free_at = start + size / self.rate
        return self.free_at if passes else None
