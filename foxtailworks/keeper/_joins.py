"""Entry hosts that wait for their place in the roster."""

from foxtailworks import contracts
from foxtailworks import ids

QUIET_PERIOD_S = 2.0
"""Seconds without a new join before the pending ones become one change:
until a change is adopted, claims need the groups of one more roster."""
MAX_WAIT_S = 10.0
"""Seconds from the first join after which the change is made anyway."""
FORWARD_INTERVAL_S = 0.2
"""Interval in seconds at which a follower forwards joins to the leader."""
MAX_JOINS = 4096
"""Limit of pending hosts; more are dropped and subscribe again."""


class PendingJoins:
    """Collects joining hosts until the roster contains them."""

    def __init__(self) -> None:
        self._pending: dict[ids.HostId, contracts.RosterHost] = {}
        self._due_at = 0.0
        self._deadline = 0.0
        self._next_forward_at = 0.0

    def collect(
        self,
        host: contracts.RosterHost,
        roster: contracts.Roster,
        now: float,
    ) -> None:
        """Add a host unless the roster contains it at this address."""
        if _is_in_roster(host, roster) or len(self._pending) >= MAX_JOINS:
            return
        if not self._pending:
            self._deadline = now + MAX_WAIT_S
        if self._pending.get(host.host) != host:
            self._due_at = min(now + QUIET_PERIOD_S, self._deadline)
        self._pending[host.host] = host

    def due_edit(
        self, roster: contracts.Roster, is_leader: bool, now: float
    ) -> contracts.RosterEdit | None:
        """Return the change that is due; repeat it until it is in force.

        :param is_leader: false if the change is only forwarded to the leader
        """
        if now < (self._due_at if is_leader else self._next_forward_at):
            return None
        self._pending = {
            name: host
            for name, host in self._pending.items()
            if not _is_in_roster(host, roster)
        }
        if not self._pending:
            return None
        self._due_at = now + QUIET_PERIOD_S
        self._next_forward_at = now + FORWARD_INTERVAL_S
        return contracts.RosterEdit(joined=tuple(self._pending.values()))


def _is_in_roster(
    host: contracts.RosterHost, roster: contracts.Roster
) -> bool:
    """Return whether the roster contains the host at this address."""
    known = roster.find(host.host)
    return known is not None and known.equals_except_incarnation(host)
