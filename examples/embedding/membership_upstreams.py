"""Membership and upstreams: live hosts and the directory of upstreams.

Shows: four hosts discover each other; an upstream announced to one of them
reaches all; a host that stops is declared dead by the others; an upstream
that stops announcing itself is no longer a candidate.
"""

from collections import abc
import heapq
import itertools
import random

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import upstreams

TICK_S = 0.1
DELAY_S = 0.002
HOSTS = 4
CUSTOMER = ids.CustomerId("balans")
SERVICE = ids.ServiceId("check-ins")
ANNOUNCEMENT = upstreams.Announcement(
    ids.Address("10.0.9.1", 5683),
    CUSTOMER,
    SERVICE,
    ids.ZoneId("zone-0"),
    ids.Incarnation(1),
    lifetime_s=5.0,
)


def make_host(number: int) -> membership.Host:
    """Return the initial membership record of a host."""
    return membership.Host(
        ids.HostId(f"host-{number}"),
        ids.ZoneId(f"zone-{number % 2}"),
        ids.RegionId("region-0"),
        ids.Address(f"10.0.0.{number + 1}", 7000),
        ids.Incarnation(1),
    )


class Node:
    """A host with two cores; membership replicates the directory."""

    def __init__(
        self, me: membership.Host, seeds: list[ids.Address], seed: int
    ) -> None:
        rng = random.Random(f"{seed} {me.id}")
        self.directory = upstreams.Directory(me.id, me.zone, rng, 0.0)
        self.core = membership.Membership(
            me, seeds, rng, 0.0, tables=(self.directory,)
        )

    def on_message(
        self, src: ids.Address, msg: object, now: float
    ) -> abc.Iterator[object]:
        """Pass a message to the core that handles its type."""
        if isinstance(msg, tuple(upstreams.MESSAGES.values())):
            return self.directory.on_message(src, msg, now)
        return self.core.on_message(src, msg, now)


class Adapter:
    """Executes actions with a queue of datagrams and a virtual clock."""

    def __init__(self, seed: int) -> None:
        hosts = [make_host(number) for number in range(HOSTS)]
        seeds = [hosts[0].address]
        self.now = 0.0
        self.nodes = {h.address: Node(h, seeds, seed) for h in hosts}
        self.events: list[object] = []
        self._serial = itertools.count()
        self._queue: list[
            tuple[float, int, ids.Address, ids.Address, object]
        ] = []

    def perform(self, src: ids.Address, actions: abc.Iterable[object]) -> None:
        """Queue messages for delivery; record all other actions as events."""
        for item in actions:
            if not isinstance(item, membership.Send):
                self.events.append(item)
                continue
            at = self.now + DELAY_S
            order = next(self._serial)
            heapq.heappush(self._queue, (at, order, src, item.to, item.msg))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        until = self.now + seconds
        while self.now < until:
            self._deliver(self.now + TICK_S)
            self.now += TICK_S
            for address, node in self.nodes.items():
                self.perform(address, node.core.on_tick(self.now))

    def _deliver(self, until: float) -> None:
        """Deliver the messages due by ``until`` to running hosts."""
        while self._queue and self._queue[0][0] <= until:
            at, _, src, to, msg = heapq.heappop(self._queue)
            if to in self.nodes:
                actions = self.nodes[to].on_message(src, msg, at)
                self.perform(to, actions)


def announce(adapter: Adapter, seconds: int) -> None:
    """Announce the upstream each second, to the first host only."""
    for _ in range(seconds):
        address, node = next(iter(adapter.nodes.items()))
        actions = node.directory.announce(ANNOUNCEMENT, adapter.now)
        adapter.perform(address, actions)
        adapter.run(1.0)


def candidate_counts(adapter: Adapter) -> list[int]:
    """Return the number of candidate upstreams on each host."""
    return [
        len(node.directory.candidates(CUSTOMER, SERVICE, adapter.now))
        for node in adapter.nodes.values()
    ]


def run(seed: int) -> abc.Iterator[str]:
    """Run the scenario and yield a line for each result."""
    adapter = Adapter(seed)
    announce(adapter, 10)
    views = {node.core.view_hash() for node in adapter.nodes.values()}
    live = [len(node.core.live()) for node in adapter.nodes.values()]
    assert live == [HOSTS] * HOSTS and len(views) == 1
    yield f"hosts that each host considers live: {live}"
    assert candidate_counts(adapter) == [1] * HOSTS
    yield f"candidate upstreams on each host: {candidate_counts(adapter)}"

    stopped = make_host(HOSTS - 1)
    del adapter.nodes[stopped.address]
    announce(adapter, 15)
    states = {n.core.state_of(stopped.id) for n in adapter.nodes.values()}
    assert states == {membership.HostState.DEAD}
    yield f"{stopped.id} stopped; the others declared it dead"

    adapter.run(10.0)
    assert candidate_counts(adapter) == [0] * (HOSTS - 1)
    changes = [e for e in adapter.events if _is_upstream_gone(e)]
    assert len(changes) == HOSTS - 1
    yield "the upstream's lifetime ran out; it is no candidate on any host"


def _is_upstream_gone(event: object) -> bool:
    """Return whether an event reports that an upstream ended or expired."""
    return isinstance(event, upstreams.UpstreamChanged) and not event.is_open


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
