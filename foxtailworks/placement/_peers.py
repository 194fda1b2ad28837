"""The other entry hosts: their epochs, and who was greeted."""

import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _hosts

HELLO_S = 1.0
"""Time between two tries to greet a host."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    """What another host told of itself."""

    epoch: int
    started: float


_UNMET = _Peer(0, float("-inf"))


class Peers:
    """Knows which incarnation of each host is spoken to.

    :param ring: the hosts
    :param now: time of the own start
    """

    def __init__(self, ring: _hosts.HostRing, now: float) -> None:
        self._ring = ring
        self._peers: dict[ids.HostId, _Peer] = {}
        self._greeted: set[ids.HostId] = set()
        self._hello_due = now

    def epoch(self, host: ids.HostId) -> int:
        """Return the incarnation of ``host``, 0 if it isn't known."""
        return self._peers.get(host, _UNMET).epoch

    def started_within(
        self, host: ids.HostId, age_s: float, now: float
    ) -> bool:
        """Return whether ``host`` has started so short a time ago."""
        return now - self._peers.get(host, _UNMET).started <= age_s

    def meet(self, host: ids.HostId, epoch: int, started: float) -> None:
        """Note that ``host`` has a new incarnation."""
        self._peers[host] = _Peer(epoch, started)
        self._greeted.discard(host)
        self._hello_due = float("-inf")
        self._ring.restarted(host)

    def note_greeted(self, host: ids.HostId) -> None:
        """Note that ``host`` knows the own incarnation."""
        self._greeted.add(host)

    def hosts_changed(self) -> None:
        """Forget hosts that are gone."""
        self._greeted.intersection_update(self._ring.peers())
        gone = [h for h in self._peers if not self._ring.is_known(h)]
        for host in gone:
            del self._peers[host]

    def to_greet(self, now: float) -> list[ids.HostId]:
        """Return the hosts that should hear of the own incarnation now."""
        if now < self._hello_due:
            return []
        self._hello_due = now + HELLO_S
        return [h for h in self._ring.peers() if h not in self._greeted]
