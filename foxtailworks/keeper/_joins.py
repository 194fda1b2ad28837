"""Entry hosts that want to be in the roster."""

from foxtailworks import contracts
from foxtailworks import ids

COLLECT_S = 1.0
"""Joins within this time become one change of the roster."""
MAX_JOINS = 4096
"""Hosts that wait; more are dropped and ask again."""


class Joins:
    """Collects hosts until the roster has them."""

    def __init__(self) -> None:
        self._waiting: dict[ids.HostId, contracts.RosterHost] = {}
        self._due_at = 0.0

    def collect(
        self,
        host: contracts.RosterHost,
        roster: contracts.Roster,
        now: float,
    ) -> None:
        """Keep a host that the roster doesn't have at this place."""
        if _known(host, roster) or len(self._waiting) >= MAX_JOINS:
            return
        if not self._waiting:
            self._due_at = now + COLLECT_S
        self._waiting[host.host] = host

    def due(
        self, roster: contracts.Roster, now: float
    ) -> contracts.RosterEdit | None:
        """Return the change that is due; again until the roster has it."""
        if not self._waiting or now < self._due_at:
            return None
        self._due_at = now + COLLECT_S
        self._waiting = {
            name: host
            for name, host in self._waiting.items()
            if not _known(host, roster)
        }
        if not self._waiting:
            return None
        return contracts.RosterEdit(joined=tuple(self._waiting.values()))


def _known(host: contracts.RosterHost, roster: contracts.Roster) -> bool:
    """Tell whether the roster has the host at this place."""
    known = roster.find(host.host)
    return known is not None and known.same_place(host)
