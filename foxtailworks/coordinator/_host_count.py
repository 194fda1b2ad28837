"""Number of edge hosts, as a coordinator sees them by their polls."""

from foxtailworks import ids

VALID_S = 5.0
"""Time after its last poll for which an edge host is counted: longer than the
interval between two polls of any coordinator."""
COUNT_INTERVAL_S = 1.0
"""Interval between two counts; in between answers tell the last one, so that
each poll doesn't change what all answers tell."""


class HostCount:
    """Counts the edge hosts that poll.

    The count isn't known until all hosts have had the time to poll.
    """

    def __init__(self) -> None:
        self._polled_at: dict[ids.HostId, float] = {}
        self._known_from: float | None = None
        self._next_count_at = 0.0
        self._count = 0

    def on_poll(self, host: ids.HostId, now: float) -> None:
        """Record the poll of a host."""
        self._polled_at[host] = now
        if self._known_from is None:
            self._known_from = self._next_count_at = now + VALID_S

    def count(self, now: float) -> int:
        """Return the number of hosts; 0 while it isn't known."""
        if self._known_from is not None and now >= self._next_count_at:
            self._next_count_at = now + COUNT_INTERVAL_S
            for host, at in list(self._polled_at.items()):
                if now - at > VALID_S:
                    del self._polled_at[host]
            self._count = len(self._polled_at)
        return self._count
