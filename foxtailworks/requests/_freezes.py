"""Detection of process freezes, which leave stale datagrams in sockets."""

FREEZE_S = 1.0
"""Seconds between two ticks, of 20 a second, that count as a freeze; shorter
gaps are covered by the time for which a refused key isn't granted.
"""
BACKLOG_S = 0.5
"""Seconds after a freeze within which the backlog of the sockets is read."""


class FreezeDetector:
    """Detects from its ticks whether the process was frozen.

    A datagram that waited in a socket looks as if it had just arrived, though
    another host may long have answered its caller differently.
    """

    def __init__(self) -> None:
        self._ticked_at: float | None = None
        self._backlog_until = float("-inf")

    def tick(self, now: float) -> None:
        """Record a tick; a late one starts a backlog period."""
        if self._is_tick_overdue(now):
            self._backlog_until = now + BACKLOG_S
        self._ticked_at = now

    def may_read_stale_datagrams(self, now: float) -> bool:
        """Return whether a datagram read now may be stale."""
        return self._is_tick_overdue(now) or now < self._backlog_until

    def _is_tick_overdue(self, now: float) -> bool:
        """Return whether a tick is overdue; false before the first one."""
        return self._ticked_at is not None and now - self._ticked_at > FREEZE_S
