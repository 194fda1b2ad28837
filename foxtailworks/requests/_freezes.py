"""Tells what may have waited in a socket while the process was stopped."""

STOPPED_S = 1.0
"""A gap between two ticks, which come 20 times a second, taken as a stop;
shorter ones are covered by the time for which a refused key stays quiet."""
READ_S = 0.5
"""What has waited is read from the sockets within this after a stop."""


class Stops:
    """Follows the ticks of a process that may be frozen at any moment.

    A datagram that has waited looks as if it had just arrived, while its
    caller has long been told something else by another host.
    """

    def __init__(self) -> None:
        self._ticked_at: float | None = None
        self._read_until = float("-inf")

    def tick(self, now: float) -> None:
        """Note that time passes."""
        if self._is_overdue(now):
            self._read_until = now + READ_S
        self._ticked_at = now

    def may_read_stale_datagrams(self, now: float) -> bool:
        """Tell whether what arrives now may have come much earlier."""
        return self._is_overdue(now) or now < self._read_until

    def _is_overdue(self, now: float) -> bool:
        """Tell whether a tick is missing; the first one never is."""
        return (
            self._ticked_at is not None and now - self._ticked_at > STOPPED_S
        )
