"""Entry hosts that want to be in the roster."""

from foxtailworks import contracts
from foxtailworks import ids

QUIET_S = 2.0
"""Joins become one change once none has come for so long: each change
makes claims need the groups of one roster more."""
MAX_WAIT_S = 10.0
"""The change is made after so long, quiet or not."""
PASS_S = 0.2
"""A keeper that doesn't lead passes joins on so often."""
MAX_JOINS = 4096
"""Hosts that wait; more are dropped and ask again."""


class Joins:
    """Collects hosts until the roster has them."""

    def __init__(self) -> None:
        self._waiting: dict[ids.HostId, contracts.RosterHost] = {}
        self._due_at = 0.0
        self._latest_at = 0.0
        self._pass_at = 0.0

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
            self._latest_at = now + MAX_WAIT_S
        if self._waiting.get(host.host) != host:
            self._due_at = min(now + QUIET_S, self._latest_at)
        self._waiting[host.host] = host

    def due(
        self, roster: contracts.Roster, leads: bool, now: float
    ) -> contracts.RosterEdit | None:
        """Return the change that is due; again until the roster has it.

        :param leads: false when the change is only passed to the leader
        """
        if now < (self._due_at if leads else self._pass_at):
            return None
        self._waiting = {
            name: host
            for name, host in self._waiting.items()
            if not _known(host, roster)
        }
        if not self._waiting:
            return None
        self._due_at = now + QUIET_S
        self._pass_at = now + PASS_S
        return contracts.RosterEdit(joined=tuple(self._waiting.values()))


def _known(host: contracts.RosterHost, roster: contracts.Roster) -> bool:
    """Tell whether the roster has the host at this place."""
    known = roster.find(host.host)
    return known is not None and known.equals_except_incarnation(host)
