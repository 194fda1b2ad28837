"""Models of the placement designs that the chosen one is compared with.

Each stays within the same budget of control bytes.
"""

from collections import abc
import random

import xxhash

from foxtailworks.bench import _fleet
from foxtailworks import ids
from foxtailworks import placement

BUDGET_BYTES_PER_S = 2000.0
"""Control bytes that a host may send a second."""
FLOW_COPY_BYTES = 16
"""Size of one flow copied to another host, in bytes."""
DIGEST_BYTES_PER_FLOW = 1.25
"""Size of one flow in a digest of 10 bits per flow, in bytes."""
NEW_FLOWS_PER_S = 2000.0
"""New flows a second over all hosts.

Determines the share of flows that the budget can copy.
"""

_Key = tuple[ids.ServiceId, ids.Address]


def score(name: str, service: ids.ServiceId, caller: ids.Address) -> int:
    """Return the rendezvous score of ``name`` for a flow."""
    text = f"{name} {service} {caller}"
    return xxhash.xxh3_64_intdigest(text.encode())


class HostTables:
    """State of one host of an alternative design."""

    def __init__(self, view: placement.HostView) -> None:
        self.view = view
        self.hosts: tuple[placement.HostView, ...] = ()
        self.upstreams: tuple[placement.UpstreamView, ...] = ()
        self.flows: dict[_Key, ids.UpstreamId] = {}
        self.copies: dict[_Key, ids.UpstreamId] = {}

    def accepting(
        self, service: ids.ServiceId
    ) -> list[placement.UpstreamView]:
        """Return the upstreams that accept new flows, sorted by id."""
        found = (u for u in self.upstreams if u.service == service)
        return sorted(
            (u for u in found if u.accepts_new and u.weight > 0),
            key=lambda item: item.upstream,
        )

    def is_listed(self, upstream: ids.UpstreamId) -> bool:
        """Return whether the host's list has an upstream."""
        return any(u.upstream == upstream for u in self.upstreams)


class StatelessRendezvous(_fleet.PartitionedDesign):
    """Rendezvous hashing without state; base of all alternatives."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._hosts: dict[ids.HostId, HostTables] = {}
        super().__init__(self._hosts)

    def add_host(self, view: placement.HostView, now: float) -> None:
        """Start an entry host without any flows."""
        self._hosts[view.host] = HostTables(view)

    def kill(self, host: ids.HostId) -> None:
        """Stop an entry host at once."""
        self._hosts.pop(host, None)

    def leave(self, host: ids.HostId, now: float) -> None:
        """Do nothing: these designs have no hand-over."""

    def set_hosts(
        self,
        host: ids.HostId,
        views: tuple[placement.HostView, ...],
        now: float,
    ) -> None:
        """Replace the list of hosts that ``host`` has."""
        if host in self._hosts:
            self._hosts[host].hosts = views

    def set_upstreams(
        self,
        host: ids.HostId,
        views: tuple[placement.UpstreamView, ...],
        now: float,
    ) -> None:
        """Replace the list of upstreams that ``host`` has."""
        if host in self._hosts:
            self._hosts[host].upstreams = views

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Return the upstream that gets a packet which enters at ``host``."""
        return self._choose(self._hosts[host], service, caller)

    def _choose(
        self,
        host_state: HostTables,
        service: ids.ServiceId,
        caller: ids.Address,
    ) -> ids.UpstreamId | None:
        """Choose by rendezvous among the upstreams that accept new flows."""
        accepting = host_state.accepting(service)
        if not accepting:
            return None
        best = max(
            accepting, key=lambda item: score(item.upstream, service, caller)
        )
        return best.upstream

    def tick(self, now: float) -> None:
        """Advance the design's timers to ``now``."""


class Modulo(StatelessRendezvous):
    """Hashing modulo the number of upstreams."""

    def _choose(
        self,
        host_state: HostTables,
        service: ids.ServiceId,
        caller: ids.Address,
    ) -> ids.UpstreamId | None:
        """Choose by the hash modulo the number of upstreams."""
        accepting = host_state.accepting(service)
        if not accepting:
            return None
        return accepting[score("", service, caller) % len(accepting)].upstream


class Owner(StatelessRendezvous):
    """Design b: one owner for each flow, to which the others relay."""

    backups = 0
    """Number of other hosts that get a copy of each flow."""

    def _rank_hosts(
        self,
        host_state: HostTables,
        service: ids.ServiceId,
        caller: ids.Address,
    ) -> list[ids.HostId]:
        """Return the live hosts in rendezvous order, best first."""
        live = (
            view.host
            for view in host_state.hosts
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
        """Relay to the flow's owner, which stores the assignment."""
        ranked_hosts = self._rank_hosts(self._hosts[host], service, caller)
        owner = ranked_hosts[0] if ranked_hosts else host
        if owner != host and not self._reaches(host, owner):
            return None
        host_state = self._hosts[owner]
        key = (service, caller)
        known = host_state.flows.get(key) or host_state.copies.get(key)
        if known is not None and host_state.is_listed(known):
            return known
        found = self._choose(host_state, service, caller)
        if found is not None:
            host_state.flows[key] = found
            self._copy(owner, ranked_hosts[1 : 1 + self.backups], key, found)
        return found

    def _copy(
        self,
        owner: ids.HostId,
        backups: abc.Iterable[ids.HostId],
        key: _Key,
        upstream: ids.UpstreamId,
    ) -> None:
        """Copy a flow to backups with the probability the budget allows."""
        rate = NEW_FLOWS_PER_S / len(self._hosts)
        part = BUDGET_BYTES_PER_S / (rate * FLOW_COPY_BYTES)
        for host in backups:
            if self._rng.random() < part and self._reaches(owner, host):
                self._hosts[host].copies[key] = upstream


class OwnerAndBackup(Owner):
    """Design c: an owner and one backup for each flow."""

    backups = 1


class TableAndDigests(StatelessRendezvous):
    """Design a: any host places; after a change it sends digests.

    A host stores the flows that it has seen. When its table changes, it
    sends the flows that the new table would move to all other hosts, in
    order, as its budget allows.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._digests: dict[
            _Key, tuple[float, ids.UpstreamId, ids.HostId]
        ] = {}

    def set_upstreams(
        self,
        host: ids.HostId,
        views: tuple[placement.UpstreamView, ...],
        now: float,
    ) -> None:
        """Replace the upstreams and send digests of the moved flows."""
        host_state = self._hosts.get(host)
        if host_state is None:
            return
        host_state.upstreams = views
        seconds_per_flow = DIGEST_BYTES_PER_FLOW * max(1, len(self._hosts) - 1)
        seconds_per_flow /= BUDGET_BYTES_PER_S
        due = now
        for key, upstream in host_state.flows.items():
            if self._choose(host_state, *key) == upstream:
                continue
            due += seconds_per_flow
            earlier = self._digests.get(key)
            if earlier is None or earlier[0] > due:
                self._digests[key] = (due, upstream, host)

    def kill(self, host: ids.HostId) -> None:
        """Stop a host; its unsent digests are lost."""
        super().kill(host)
        gone = [
            key
            for key, (due, _, origin) in self._digests.items()
            if origin == host and due > self._now
        ]
        for key in gone:
            del self._digests[key]

    _now = 0.0

    def tick(self, now: float) -> None:
        """Store the time, by which digests count as sent."""
        self._now = now

    def packet(
        self,
        host: ids.HostId,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
    ) -> ids.UpstreamId | None:
        """Place by the host's own flows, then digests, then the table."""
        host_state = self._hosts[host]
        key = (service, caller)
        known = host_state.flows.get(key)
        digest = self._digests.get(key)
        if known is None and digest is not None and digest[0] <= now:
            if self._reaches(digest[2], host) or digest[2] not in self._hosts:
                known = digest[1]
        if known is None or not host_state.is_listed(known):
            known = self._choose(host_state, service, caller)
        if known is not None:
            host_state.flows[key] = known
        return known
