"""Simulated placers of several hosts with lossy control messages."""

import collections
from collections import abc
import random
import typing

from foxtailworks import ids
from foxtailworks import placement

CONTROL_LOSS = 0.05
"""Share of the control messages that is lost."""
CONTROL_DELAY_S = 0.05
"""Longest delay of a control message in seconds."""


class Design(typing.Protocol):
    """A design for the placement of flows, as a trace drives it."""

    def add_host(self, view: placement.HostView, now: float) -> None:
        """Start an entry host without any flows."""

    def kill(self, host: ids.HostId) -> None:
        """Stop an entry host at once."""

    def leave(self, host: ids.HostId, now: float) -> None:
        """Let an entry host leave in order."""

    def set_hosts(
        self,
        host: ids.HostId,
        views: tuple[placement.HostView, ...],
        now: float,
    ) -> None:
        """Replace the list of hosts that ``host`` has."""

    def set_upstreams(
        self,
        host: ids.HostId,
        views: tuple[placement.UpstreamView, ...],
        now: float,
    ) -> None:
        """Replace the list of upstreams that ``host`` has."""

    def set_partitions(self, partitions: dict[ids.HostId, int]) -> None:
        """Partition the network: hosts reach only those of equal number."""

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Return the upstream that gets a packet which enters at ``host``."""

    def tick(self, now: float) -> None:
        """Advance the design's timers to ``now``."""


class PartitionedDesign:
    """Network of a design, which may be partitioned.

    :param running: the running hosts
    """

    def __init__(self, running: abc.Container[ids.HostId]) -> None:
        self._running = running
        self._partitions: dict[ids.HostId, int] = {}

    def set_partitions(self, partitions: dict[ids.HostId, int]) -> None:
        """Partition the network: hosts reach only those of equal number."""
        self._partitions = partitions

    def _reaches(self, one: ids.HostId, two: ids.HostId) -> bool:
        """Return whether ``two`` is running and reachable from ``one``."""
        same = self._partitions.get(one, 0) == self._partitions.get(two, 0)
        return same and two in self._running


class Fleet(PartitionedDesign):
    """The chosen design: one :class:`placement.Placer` on each host."""

    def __init__(
        self,
        rng: random.Random,
        cfg: placement.PlacementConfig | None = None,
    ) -> None:
        self._rng = rng
        self._cfg = cfg
        self._epoch = 0
        self._in_transit: collections.deque[
            tuple[float, ids.HostId, ids.HostId, typing.Any]
        ] = collections.deque()
        self.placers: dict[ids.HostId, placement.Placer] = {}
        """Placers of the running hosts, by host."""
        super().__init__(self.placers)
        self.hops: collections.Counter[int] = collections.Counter()
        """Number of packets by how often they were relayed."""

    def add_host(self, view: placement.HostView, now: float) -> None:
        """Start an entry host without any flows."""
        self._epoch += 1
        self.placers[view.host] = placement.Placer(
            view.host,
            view.zone,
            now,
            ids.Incarnation(self._epoch),
            self._cfg,
        )

    def kill(self, host: ids.HostId) -> None:
        """Stop an entry host at once."""
        self.placers.pop(host, None)

    def leave(self, host: ids.HostId, now: float) -> None:
        """Let an entry host leave in order."""
        self.placers[host].leave(now)

    def set_hosts(
        self,
        host: ids.HostId,
        views: tuple[placement.HostView, ...],
        now: float,
    ) -> None:
        """Replace the list of hosts that ``host`` has."""
        if host in self.placers:
            self.placers[host].set_hosts(views, now)

    def set_upstreams(
        self,
        host: ids.HostId,
        views: tuple[placement.UpstreamView, ...],
        now: float,
    ) -> None:
        """Replace the list of upstreams that ``host`` has."""
        if host in self.placers:
            self.placers[host].set_upstreams(views, now)

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Return the upstream that gets a packet which enters at ``host``."""
        sender = None
        hops = 0
        while True:
            placer = self.placers[host]
            found = placer.on_packet(service, caller, now, sender, hops)
            if isinstance(found, placement.Deliver):
                self.hops[hops] += 1
                return found.upstream
            if isinstance(found, placement.Refuse):
                return None
            if not self._reaches(host, found.host):
                return None
            if found.hops != hops + 1 or found.hops > placement.MAX_HOPS:
                raise AssertionError("relayed too often")
            sender, host, hops = host, found.host, found.hops

    def tick(self, now: float) -> None:
        """Run all timers and deliver the messages that are due."""
        for host, placer in list(self.placers.items()):
            self._send_all(host, placer.on_tick(now), now)
        due = [item for item in self._in_transit if item[0] <= now]
        self._in_transit = collections.deque(
            item for item in self._in_transit if item[0] > now
        )
        for _, sender, to, message in due:
            if self._reaches(sender, to):
                replies = self.placers[to].on_message(sender, message, now)
                self._send_all(to, replies, now)

    def _send_all(
        self,
        sender: ids.HostId,
        sends: abc.Iterable[placement.Send],
        now: float,
    ) -> None:
        """Send messages with a random delay; some are lost."""
        for send in sends:
            if self._rng.random() < CONTROL_LOSS:
                continue
            at = now + self._rng.uniform(0, CONTROL_DELAY_S)
            self._in_transit.append((at, sender, send.host, send.message))
