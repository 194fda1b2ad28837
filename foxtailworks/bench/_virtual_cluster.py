"""Simulated cluster of membership and directory cores in virtual time.

Datagrams pass through the real codec and may be lost, delayed, duplicated
and reordered; processes are killed, frozen and restarted. One seed determines
the whole run.
"""

from collections import abc
import dataclasses
import heapq
import itertools
import random
import time
import typing

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import upstreams
from foxtailworks import wire

TICK_S = 0.1
DATAGRAM_LIMIT_BYTES = 1_200
UDP_OVERHEAD_BYTES = 28
FROZEN_BUFFER = 256

_MESSAGES = membership.MESSAGES | upstreams.MESSAGES
_UPSTREAM_TYPES = tuple(upstreams.MESSAGES.values())


@dataclasses.dataclass(slots=True)
class Network:
    """Loss, duplication and delay of datagrams."""

    loss: float = 0.0
    """Share of datagrams that are lost."""
    doubled: float = 0.0
    """Share of datagrams that arrive twice."""
    zone_delay_s: float = 0.001
    """One-way delay within a region in seconds."""
    region_delay_s: float = 0.04
    """One-way delay between regions in seconds."""
    jitter_s: float = 0.005
    """Longest additional delay in seconds; reorders datagrams."""


@dataclasses.dataclass(slots=True)
class Usage:
    """Traffic and processor time of one process."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent: int = 0
    busy_s: float = 0.0


class Process:
    """One process of an entry host, from its start to its end."""

    def __init__(
        self,
        host: membership.Host,
        seeds: abc.Sequence[ids.Address],
        rng: random.Random,
        now: float,
        serial: int,
        upstream_config: upstreams.Config | None,
    ) -> None:
        self.host = host
        self.serial = serial
        self.directory = upstreams.Directory(
            host.id,
            host.zone,
            random.Random(rng.random()),
            now,
            upstream_config,
        )
        self.membership = membership.Membership(
            host,
            seeds,
            random.Random(rng.random()),
            now,
            tables=(self.directory,),
        )
        self.usage = Usage()
        self.frozen_until = 0.0
        self.alive = True
        self.leaving = False
        self.backlog: list[tuple[ids.Address, bytes]] = []


class Observer(typing.Protocol):
    """A callback for every event of every process."""

    def __call__(self, process: Process, event: object, now: float) -> None:
        """Handle one event of a process."""


def make_host(
    number: int, zones: int, regions: int, incarnation: int = 1
) -> membership.Host:
    """Return host ``number``; hosts spread evenly over zones and regions."""
    zone = number % zones
    return membership.Host(
        ids.HostId(f"host-{number}"),
        ids.ZoneId(f"zone-{zone}"),
        ids.RegionId(f"region-{zone % regions}"),
        ids.Address(f"10.{zone}.{number // 250}.{number % 250 + 1}", 7000),
        ids.Incarnation(incarnation),
    )


class Cluster:
    """Processes by host number with a simulated network and clock."""

    def __init__(
        self,
        hosts: int,
        zones: int,
        regions: int,
        seed: int,
        observer: Observer | None = None,
        upstream_config: upstreams.Config | None = None,
    ) -> None:
        self.now = 0.0
        self.network = Network()
        self.blocked: set[tuple[str, str]] = set()
        self.processes: dict[int, Process] = {}
        self._zones = zones
        self._regions = regions
        self._rng = random.Random(seed)
        self._codec = wire.Codec(_MESSAGES, limit=DATAGRAM_LIMIT_BYTES)
        self._observer = observer
        self._upstream_config = upstream_config
        self._serials = itertools.count()
        self._queue: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._by_address: dict[ids.Address, Process] = {}
        self._incarnations: dict[int, int] = {}
        spread = range(0, hosts, max(1, hosts // 5))
        self.seeds = [self.make_member(number).address for number in spread]
        self.size = hosts

    def make_member(self, number: int) -> membership.Host:
        """Return host ``number`` with its current incarnation."""
        incarnation = self._incarnations.get(number, 0)
        return make_host(number, self._zones, self._regions, incarnation)

    def start(self, number: int) -> Process:
        """Start a new process of host ``number``."""
        # Leaves room for the incarnations of the previous process's
        # refutations.
        self._incarnations[number] = self._incarnations.get(number, 0) + 1_000
        host = self.make_member(number)
        serial = next(self._serials)
        process = Process(
            host,
            self.seeds,
            self._rng,
            self.now,
            serial,
            self._upstream_config,
        )
        self.processes[number] = process
        self._by_address[host.address] = process
        self.schedule(
            self._rng.uniform(0, TICK_S), lambda: self._tick(process)
        )
        return process

    def start_all(self) -> None:
        """Start a process of every host."""
        for number in range(self.size):
            self.start(number)

    def kill(self, number: int) -> None:
        """End a process without a leave message."""
        process = self.processes.pop(number)
        process.alive = False
        del self._by_address[process.host.address]

    def freeze(self, number: int, seconds: float) -> None:
        """Freeze a process for ``seconds``; its socket buffers datagrams."""
        self.processes[number].frozen_until = self.now + seconds

    def leave(self, number: int) -> None:
        """Let a process announce its leave."""
        process = self.processes[number]
        process.leaving = True
        self.perform(process, process.membership.leave(self.now))

    def block(self, source: str, target: str) -> None:
        """Drop all datagrams from one host, zone or region to another."""
        self.blocked.add((source, target))

    def heal(self) -> None:
        """Remove all blocks and resume every frozen process."""
        self.blocked.clear()
        for process in self.processes.values():
            process.frozen_until = min(process.frozen_until, self.now)

    def run(self, seconds: float) -> None:
        """Run events for ``seconds`` of virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, action = heapq.heappop(self._queue)
            self.now = at
            action()
        self.now = end

    def schedule(self, delay: float, action: abc.Callable[[], None]) -> None:
        """Schedule ``action`` after ``delay`` seconds."""
        at = self.now + delay
        heapq.heappush(self._queue, (at, next(self._serials), action))

    def _tick(self, process: Process) -> None:
        """Run a process's timers at intervals until it ends."""
        if not process.alive:
            return
        self.schedule(TICK_S, lambda: self._tick(process))
        if self.now < process.frozen_until:
            return
        backlog, process.backlog = process.backlog, []
        for source, data in backlog:
            self._handle(process, source, data)
        self.perform(process, process.membership.on_tick(self.now))

    def perform(self, process: Process, actions: abc.Iterator[object]) -> None:
        """Carry out a core's actions and add up their cost."""
        started_at = time.thread_time()
        done = list(actions)
        datagrams = [
            (action.to, self._codec.encode(action.msg))
            for action in done
            if isinstance(action, membership.Send)
        ]
        process.usage.busy_s += time.thread_time() - started_at
        for to, data in datagrams:
            self._send(process, to, data)
        for action in done:
            if self._observer and not isinstance(action, membership.Send):
                self._observer(process, action, self.now)

    def run_timed(
        self, process: Process, call: abc.Callable[[], abc.Iterator[object]]
    ) -> None:
        """Call a core, carry out its actions and add up the time of both."""
        started_at = time.thread_time()
        actions = call()
        process.usage.busy_s += time.thread_time() - started_at
        self.perform(process, actions)

    def _send(self, process: Process, to: ids.Address, data: bytes) -> None:
        """Send a datagram, which the network may lose or duplicate."""
        assert len(data) <= DATAGRAM_LIMIT_BYTES, len(data)
        process.usage.sent += 1
        process.usage.sent_bytes += len(data) + UDP_OVERHEAD_BYTES
        target = self._by_address.get(to)
        if target is None or self._rng.random() < self.network.loss:
            return
        if self.blocked and self._is_blocked(process.host, target.host):
            return
        copies = 1 + (self._rng.random() < self.network.doubled)
        for _ in range(copies):
            self.schedule(
                self._delay(process.host, target.host),
                lambda: self._deliver(process.host.address, to, data),
            )

    def _is_blocked(
        self, source: membership.Host, target: membership.Host
    ) -> bool:
        """Return whether datagrams between two hosts are blocked."""
        return any(
            (a, b) in self.blocked
            for a in (source.id, source.zone, source.region)
            for b in (target.id, target.zone, target.region)
        )

    def _delay(
        self, source: membership.Host, target: membership.Host
    ) -> float:
        """Return the delay of one datagram in seconds."""
        net = self.network
        is_near = source.region == target.region
        base = net.zone_delay_s if is_near else net.region_delay_s
        return base + self._rng.uniform(0, net.jitter_s)

    def _deliver(
        self, source: ids.Address, to: ids.Address, data: bytes
    ) -> None:
        """Deliver a datagram to the current process at an address."""
        process = self._by_address.get(to)
        if process is None:
            return
        if self.now < process.frozen_until:
            if len(process.backlog) < FROZEN_BUFFER:
                process.backlog.append((source, data))
            return
        self._handle(process, source, data)

    def _handle(
        self, process: Process, source: ids.Address, data: bytes
    ) -> None:
        """Let a process handle a datagram."""
        process.usage.received_bytes += len(data) + UDP_OVERHEAD_BYTES
        self.run_timed(process, lambda: self._dispatch(process, source, data))

    def _dispatch(
        self, process: Process, source: ids.Address, data: bytes
    ) -> abc.Iterator[object]:
        """Decode a datagram and pass it to the core of its type."""
        msg = self._codec.decode(data)
        if isinstance(msg, _UPSTREAM_TYPES):
            return process.directory.on_message(source, msg, self.now)
        return process.membership.on_message(source, msg, self.now)

    def announce(
        self, number: int, announcement: upstreams.Announcement
    ) -> None:
        """Announce an upstream to one host unless the host is frozen."""
        process = self.processes[number]
        if self.now >= process.frozen_until:
            self.run_timed(
                process,
                lambda: process.directory.announce(announcement, self.now),
            )
