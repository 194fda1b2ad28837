"""The designs that were weighed against the chosen one, as models.

Each keeps to the same budget of control bytes.
"""

from collections import abc
import random

import xxhash

from foxtailworks import ids
from foxtailworks import placement

BUDGET_BYTES_PER_S = 2000.0
"""Control bytes that a host may send."""
ENTRY_BYTES = 16
"""One flow, copied to another host."""
DIGEST_BYTES = 1.25
"""One flow in a digest of 10 bits a flow."""
NEW_FLOWS_PER_S = 2000.0
"""New flows over all hosts; sets which part the budget can copy."""

_Key = tuple[ids.ServiceId, ids.Address]


def score(name: str, service: ids.ServiceId, caller: ids.Address) -> int:
    """Return a rendezvous score."""
    text = f"{name} {service} {caller}"
    return xxhash.xxh3_64_intdigest(text.encode())


class Host:
    """What one host of a rival design knows."""

    def __init__(self, view: placement.HostView) -> None:
        self.view = view
        self.hosts: tuple[placement.HostView, ...] = ()
        self.upstreams: tuple[placement.UpstreamView, ...] = ()
        self.flows: dict[_Key, ids.UpstreamId] = {}
        self.copies: dict[_Key, ids.UpstreamId] = {}

    def ready(self, service: ids.ServiceId) -> list[placement.UpstreamView]:
        """Return the upstreams that take new flows, by id."""
        found = (u for u in self.upstreams if u.service == service)
        return sorted(
            (u for u in found if u.accepts_new and u.weight > 0),
            key=lambda item: item.upstream,
        )

    def is_alive(self, upstream: ids.UpstreamId) -> bool:
        """Return whether an upstream is listed."""
        return any(u.upstream == upstream for u in self.upstreams)


class Rival:
    """Shared by all rivals; alone it is rendezvous without any state."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._hosts: dict[ids.HostId, Host] = {}
        self._sides: dict[ids.HostId, int] = {}

    def add_host(self, view: placement.HostView, now: float) -> None:
        """Start an entry host, empty."""
        self._hosts[view.host] = Host(view)

    def kill(self, host: ids.HostId) -> None:
        """End an entry host."""
        self._hosts.pop(host, None)

    def leave(self, host: ids.HostId, now: float) -> None:
        """Leave without ceremony."""

    def set_hosts(
        self,
        host: ids.HostId,
        views: tuple[placement.HostView, ...],
        now: float,
    ) -> None:
        """Have ``host`` learn of hosts."""
        if host in self._hosts:
            self._hosts[host].hosts = views

    def set_upstreams(
        self,
        host: ids.HostId,
        views: tuple[placement.UpstreamView, ...],
        now: float,
    ) -> None:
        """Have ``host`` learn of upstreams."""
        if host in self._hosts:
            self._hosts[host].upstreams = views

    def set_sides(self, sides: dict[ids.HostId, int]) -> None:
        """Cut hosts of different sides off from each other."""
        self._sides = sides

    def _reaches(self, one: ids.HostId, two: ids.HostId) -> bool:
        """Return whether ``two`` runs and ``one`` reaches it."""
        same = self._sides.get(one, 0) == self._sides.get(two, 0)
        return same and two in self._hosts

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Return where a packet that enters at ``host`` goes."""
        return self._compute(self._hosts[host], service, caller)

    def _compute(
        self, at: Host, service: ids.ServiceId, caller: ids.Address
    ) -> ids.UpstreamId | None:
        """Place by rendezvous over the upstreams that take new flows."""
        ready = at.ready(service)
        if not ready:
            return None
        best = max(
            ready, key=lambda item: score(item.upstream, service, caller)
        )
        return best.upstream

    def tick(self, now: float) -> None:
        """Let time pass."""


class Modulo(Rival):
    """Hash modulo the number of upstreams."""

    def _compute(
        self, at: Host, service: ids.ServiceId, caller: ids.Address
    ) -> ids.UpstreamId | None:
        """Place by modulo."""
        ready = at.ready(service)
        if not ready:
            return None
        return ready[score("", service, caller) % len(ready)].upstream


class Owner(Rival):
    """Design b: one owner for each flow, the others relay."""

    backups = 0
    """How many other hosts get a copy of each flow."""

    def _ranked(
        self, at: Host, service: ids.ServiceId, caller: ids.Address
    ) -> list[ids.HostId]:
        """Return the live hosts in rendezvous order."""
        live = (
            view.host
            for view in at.hosts
            if view.state is placement.HostState.LIVE
        )
        return sorted(live, key=lambda host: -score(host, service, caller))

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Relay to the owner, who remembers."""
        ranked = self._ranked(self._hosts[host], service, caller)
        owner = ranked[0] if ranked else host
        if owner != host and not self._reaches(host, owner):
            return None
        at = self._hosts[owner]
        key = (service, caller)
        known = at.flows.get(key) or at.copies.get(key)
        if known is not None and at.is_alive(known):
            return known
        found = self._compute(at, service, caller)
        if found is not None:
            at.flows[key] = found
            self._copy(owner, ranked[1 : 1 + self.backups], key, found)
        return found

    def _copy(
        self,
        owner: ids.HostId,
        backups: abc.Iterable[ids.HostId],
        key: _Key,
        upstream: ids.UpstreamId,
    ) -> None:
        """Copy a flow if the budget has room at the rate of new flows."""
        rate = NEW_FLOWS_PER_S / len(self._hosts)
        part = BUDGET_BYTES_PER_S / (rate * ENTRY_BYTES)
        for host in backups:
            if self._rng.random() < part and self._reaches(owner, host):
                self._hosts[host].copies[key] = upstream


class OwnerAndBackup(Owner):
    """Design c: the owner and one backup."""

    backups = 1


class TableAndDigests(Rival):
    """Design a: any host places; on a change digests go to all others.

    A host remembers the flows that it saw; those that its new table would
    move it spreads, in order, as its budget allows.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._told: dict[_Key, tuple[float, ids.UpstreamId, ids.HostId]] = {}

    def set_upstreams(
        self,
        host: ids.HostId,
        views: tuple[placement.UpstreamView, ...],
        now: float,
    ) -> None:
        """Learn of upstreams; spread what the new table would move."""
        at = self._hosts.get(host)
        if at is None:
            return
        at.upstreams = views
        each_s = DIGEST_BYTES * max(1, len(self._hosts) - 1)
        each_s /= BUDGET_BYTES_PER_S
        due = now
        for key, upstream in at.flows.items():
            if self._compute(at, *key) == upstream:
                continue
            due += each_s
            earlier = self._told.get(key)
            if earlier is None or earlier[0] > due:
                self._told[key] = (due, upstream, host)

    def kill(self, host: ids.HostId) -> None:
        """End a host; what it hadn't sent yet is lost."""
        super().kill(host)
        gone = [
            key
            for key, (due, _, origin) in self._told.items()
            if origin == host and due > self._now
        ]
        for key in gone:
            del self._told[key]

    _now = 0.0

    def tick(self, now: float) -> None:
        """Let time pass."""
        self._now = now

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Place by own memory, then digests, then the table."""
        at = self._hosts[host]
        key = (service, caller)
        known = at.flows.get(key)
        told = self._told.get(key)
        if known is None and told is not None and told[0] <= now:
            if self._reaches(told[2], host) or told[2] not in self._hosts:
                known = told[1]
        if known is None or not at.is_alive(known):
            known = self._compute(at, service, caller)
        if known is not None:
            at.flows[key] = known
        return known
