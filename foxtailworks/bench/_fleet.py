"""Several placers in virtual time, with lossy control messages."""

import collections
from collections import abc
import random
import typing

from foxtailworks import ids
from foxtailworks import placement

LOSS = 0.05
"""Part of the control messages that is lost."""
DELAY_S = 0.05
"""Control messages take up to so long."""


class Design(typing.Protocol):
    """A way to place flows, driven by a trace."""

    def add_host(self, view: placement.HostView, now: float) -> None:
        """Start an entry host, empty."""

    def kill(self, host: ids.HostId) -> None:
        """End an entry host."""

    def leave(self, host: ids.HostId, now: float) -> None:
        """Tell an entry host to leave."""

    def set_hosts(
        self,
        host: ids.HostId,
        views: tuple[placement.HostView, ...],
        now: float,
    ) -> None:
        """Have ``host`` learn of hosts."""

    def set_upstreams(
        self,
        host: ids.HostId,
        views: tuple[placement.UpstreamView, ...],
        now: float,
    ) -> None:
        """Have ``host`` learn of upstreams."""

    def set_sides(self, sides: dict[ids.HostId, int]) -> None:
        """Cut hosts of different sides off from each other."""

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Return where a packet that enters at ``host`` goes."""

    def tick(self, now: float) -> None:
        """Let time pass."""


class Fleet:
    """The chosen design: one :class:`placement.Placer` on each host."""

    def __init__(
        self,
        rng: random.Random,
        cfg: placement.PlacementConfig | None = None,
    ) -> None:
        self._rng = rng
        self._cfg = cfg
        self._epoch = 0
        self._sides: dict[ids.HostId, int] = {}
        self._mail: collections.deque[
            tuple[float, ids.HostId, ids.HostId, typing.Any]
        ] = collections.deque()
        self.placers: dict[ids.HostId, placement.Placer] = {}
        """The hosts that run."""
        self.hops: collections.Counter[int] = collections.Counter()
        """Packets by how often they were relayed."""

    def add_host(self, view: placement.HostView, now: float) -> None:
        """Start an entry host, empty."""
        self._epoch += 1
        self.placers[view.host] = placement.Placer(
            view.host,
            view.zone,
            now,
            ids.Incarnation(self._epoch),
            self._cfg,
        )

    def kill(self, host: ids.HostId) -> None:
        """End an entry host."""
        self.placers.pop(host, None)

    def leave(self, host: ids.HostId, now: float) -> None:
        """Tell an entry host to leave."""
        self.placers[host].leave(now)

    def set_hosts(
        self,
        host: ids.HostId,
        views: tuple[placement.HostView, ...],
        now: float,
    ) -> None:
        """Have ``host`` learn of hosts."""
        if host in self.placers:
            self.placers[host].set_hosts(views, now)

    def set_upstreams(
        self,
        host: ids.HostId,
        views: tuple[placement.UpstreamView, ...],
        now: float,
    ) -> None:
        """Have ``host`` learn of upstreams."""
        if host in self.placers:
            self.placers[host].set_upstreams(views, now)

    def set_sides(self, sides: dict[ids.HostId, int]) -> None:
        """Cut hosts of different sides off from each other."""
        self._sides = sides

    def _reaches(self, one: ids.HostId, two: ids.HostId) -> bool:
        """Return whether ``two`` runs and ``one`` reaches it."""
        same = self._sides.get(one, 0) == self._sides.get(two, 0)
        return same and two in self.placers

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Return where a packet that enters at ``host`` goes."""
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
        """Run all timers and deliver what is due."""
        for host, placer in list(self.placers.items()):
            self._post(host, placer.on_tick(now), now)
        due = [item for item in self._mail if item[0] <= now]
        self._mail = collections.deque(
            item for item in self._mail if item[0] > now
        )
        for _, sender, to, message in due:
            if self._reaches(sender, to):
                answers = self.placers[to].on_message(sender, message, now)
                self._post(to, answers, now)

    def _post(
        self,
        sender: ids.HostId,
        sends: abc.Iterable[placement.Send],
        now: float,
    ) -> None:
        """Put messages on the way, but for those that are lost."""
        for send in sends:
            if self._rng.random() < LOSS:
                continue
            at = now + self._rng.uniform(0, DELAY_S)
            self._mail.append((at, sender, send.host, send.message))
