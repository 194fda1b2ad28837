"""Incarnations of the other entry hosts, and handshakes with them."""

import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _hosts

HANDSHAKE_RETRY_S = 1.0
"""Seconds between two handshakes with a host that hasn't answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    """Incarnation and start of another host, by its own handshake."""

    epoch: int
    started_at: float


_UNKNOWN = _Peer(0, float("-inf"))


class Peers:
    """Current incarnation of each host, and pending handshakes.

    :param host_table: the live hosts
    :param now: time when this host starts
    """

    def __init__(self, host_table: _hosts.HostTable, now: float) -> None:
        self._host_table = host_table
        self._peers: dict[ids.HostId, _Peer] = {}
        self._acknowledged: set[ids.HostId] = set()
        self._next_handshake_at = now

    def epoch(self, host: ids.HostId) -> int:
        """Return the incarnation of ``host``, 0 if it is unknown."""
        return self._peers.get(host, _UNKNOWN).epoch

    def started_within(
        self, host: ids.HostId, age_s: float, now: float
    ) -> bool:
        """Return whether ``host`` has started within the last ``age_s``."""
        return now - self._peers.get(host, _UNKNOWN).started_at <= age_s

    def set_incarnation(
        self, host: ids.HostId, epoch: int, started_at: float
    ) -> None:
        """Record a new incarnation of ``host``."""
        self._peers[host] = _Peer(epoch, started_at)
        self._acknowledged.discard(host)
        self._next_handshake_at = float("-inf")
        self._host_table.on_restarted(host)

    def note_acknowledged(self, host: ids.HostId) -> None:
        """Record that ``host`` has acknowledged this incarnation."""
        self._acknowledged.add(host)

    def hosts_changed(self) -> None:
        """Discard the state of hosts that are gone."""
        self._acknowledged.intersection_update(self._host_table.peers())
        gone = [h for h in self._peers if not self._host_table.is_known(h)]
        for host in gone:
            del self._peers[host]

    def handshakes_due(self, now: float) -> list[ids.HostId]:
        """Return the hosts that a handshake should be sent to now."""
        if now < self._next_handshake_at:
            return []
        self._next_handshake_at = now + HANDSHAKE_RETRY_S
        return [
            h for h in self._host_table.peers() if h not in self._acknowledged
        ]
