"""Edge hosts that a coordinator notifies of changes."""

from foxtailworks import ids

NOTICE_INTERVAL_S = 0.2
"""Shortest interval between two notices, in which changes are collected."""
VALID_S = 3.0
"""Time after its last poll for which a host is notified: three polls."""
MAX_FOLLOWERS = 4096
"""Maximum number of followers; further hosts poll without notices."""

Versions = tuple[int, int, int]
"""Version of the registry, revision of the routes and number of the
evacuation."""


class Followers:
    """Remembers who follows and which versions they were notified of."""

    def __init__(self) -> None:
        self._valid_until: dict[ids.Address, float] = {}
        self._notified: Versions = (0, 0, 0)
        self._next_notice_at = 0.0

    def __len__(self) -> int:
        """Return the number of followers."""
        return len(self._valid_until)

    def __contains__(self, address: ids.Address) -> bool:
        """Return whether a host follows."""
        return address in self._valid_until

    def on_poll(
        self, address: ids.Address, is_follower: bool, now: float
    ) -> None:
        """Record whether the host that polled follows this coordinator."""
        if not is_follower:
            self._valid_until.pop(address, None)
        elif (
            address in self._valid_until
            or len(self._valid_until) < MAX_FOLLOWERS
        ):
            self._valid_until[address] = now + VALID_S

    def to_notify(
        self, versions: Versions, now: float
    ) -> tuple[ids.Address, ...]:
        """Return the hosts to notify of ``versions`` now; empty if none."""
        if versions == self._notified or now < self._next_notice_at:
            return ()
        self._notified = versions
        self._next_notice_at = now + NOTICE_INTERVAL_S
        self._valid_until = {
            address: until
            for address, until in self._valid_until.items()
            if now < until
        }
        return tuple(self._valid_until)
