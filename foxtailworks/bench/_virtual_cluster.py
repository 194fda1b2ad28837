"""Many membership and directory cores in virtual time.

Datagrams pass through the real codec and may be lost, delayed, doubled and
reordered; processes are killed, frozen and restarted. One seed decides all.
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
    """How datagrams fare."""

    loss: float = 0.0
    """Share of datagrams that get lost."""
    doubled: float = 0.0
    """Share of datagrams that arrive twice."""
    zone_delay_s: float = 0.001
    """One way within a region."""
    region_delay_s: float = 0.04
    """One way between regions."""
    jitter_s: float = 0.005
    """Most additional delay; reorders datagrams."""


@dataclasses.dataclass(slots=True)
class Usage:
    """What one process spent."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent: int = 0
    busy_s: float = 0.0


class Process:
    """One run of an entry host's cores."""

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
    """Learns of every event of every process."""

    def __call__(self, process: Process, event: object, now: float) -> None:
        """Take one event in."""


def make_host(
    number: int, zones: int, regions: int, incarnation: int = 1
) -> membership.Host:
    """Return host ``number``, spread evenly over zones and regions."""
    zone = number % zones
    return membership.Host(
        ids.HostId(f"host-{number}"),
        ids.ZoneId(f"zone-{zone}"),
        ids.RegionId(f"region-{zone % regions}"),
        ids.Address(f"10.{zone}.{number // 250}.{number % 250 + 1}", 7000),
        ids.Incarnation(incarnation),
    )


class Cluster:
    """Processes by host number, a network, and one clock."""

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
        self._counter = itertools.count()
        self._queue: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._at: dict[ids.Address, Process] = {}
        self._incarnations: dict[int, int] = {}
        spread = range(0, hosts, max(1, hosts // 5))
        self.seeds = [self.make(number).address for number in spread]
        self.size = hosts

    def make(self, number: int) -> membership.Host:
        """Return host ``number`` under its present incarnation."""
        incarnation = self._incarnations.get(number, 0)
        return make_host(number, self._zones, self._regions, incarnation)

    def start(self, number: int) -> Process:
        """Start host ``number`` anew."""
        # Leaves room for the refutations of the process before.
        self._incarnations[number] = self._incarnations.get(number, 0) + 1_000
        host = self.make(number)
        serial = next(self._counter)
        process = Process(
            host,
            self.seeds,
            self._rng,
            self.now,
            serial,
            self._upstream_config,
        )
        self.processes[number] = process
        self._at[host.address] = process
        self.later(self._rng.uniform(0, TICK_S), lambda: self._tick(process))
        return process

    def start_all(self) -> None:
        """Start every host."""
        for number in range(self.size):
            self.start(number)

    def kill(self, number: int) -> None:
        """End a process without a word."""
        process = self.processes.pop(number)
        process.alive = False
        del self._at[process.host.address]

    def freeze(self, number: int, seconds: float) -> None:
        """Stop a process for a while; its socket buffers datagrams."""
        self.processes[number].frozen_until = self.now + seconds

    def leave(self, number: int) -> None:
        """Let a process announce its leave."""
        process = self.processes[number]
        process.leaving = True
        self.emit(process, process.membership.leave(self.now))

    def block(self, source: str, target: str) -> None:
        """Drop all datagrams from one host, zone or region to another."""
        self.blocked.add((source, target))

    def heal(self) -> None:
        """Let all datagrams through and thaw every process."""
        self.blocked.clear()
        for process in self.processes.values():
            process.frozen_until = min(process.frozen_until, self.now)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, action = heapq.heappop(self._queue)
            self.now = at
            action()
        self.now = end

    def later(self, delay: float, action: abc.Callable[[], None]) -> None:
        """Do ``action`` after ``delay`` seconds."""
        at = self.now + delay
        heapq.heappush(self._queue, (at, next(self._counter), action))

    def _tick(self, process: Process) -> None:
        """Tick a process until it ends."""
        if not process.alive:
            return
        self.later(TICK_S, lambda: self._tick(process))
        if self.now < process.frozen_until:
            return
        backlog, process.backlog = process.backlog, []
        for source, data in backlog:
            self._handle(process, source, data)
        self.emit(process, process.membership.on_tick(self.now))

    def emit(self, process: Process, actions: abc.Iterator[object]) -> None:
        """Carry out a core's actions and count what they cost."""
        began = time.thread_time()
        done = list(actions)
        datagrams = [
            (action.to, self._codec.encode(action.msg))
            for action in done
            if isinstance(action, membership.Send)
        ]
        process.usage.busy_s += time.thread_time() - began
        for to, data in datagrams:
            self._send(process, to, data)
        for action in done:
            if self._observer and not isinstance(action, membership.Send):
                self._observer(process, action, self.now)

    def timed(
        self, process: Process, call: abc.Callable[[], abc.Iterator[object]]
    ) -> None:
        """Carry out a call of a core and count the time of all of it."""
        began = time.thread_time()
        actions = call()
        process.usage.busy_s += time.thread_time() - began
        self.emit(process, actions)

    def _send(self, process: Process, to: ids.Address, data: bytes) -> None:
        """Hand a datagram to the network."""
        assert len(data) <= DATAGRAM_LIMIT_BYTES, len(data)
        process.usage.sent += 1
        process.usage.sent_bytes += len(data) + UDP_OVERHEAD_BYTES
        target = self._at.get(to)
        if target is None or self._rng.random() < self.network.loss:
            return
        if self.blocked and self._is_blocked(process.host, target.host):
            return
        copies = 1 + (self._rng.random() < self.network.doubled)
        for _ in range(copies):
            self.later(
                self._delay(process.host, target.host),
                lambda: self._deliver(process.host.address, to, data),
            )

    def _is_blocked(
        self, source: membership.Host, target: membership.Host
    ) -> bool:
        """Tell whether a cut lies between two hosts."""
        return any(
            (a, b) in self.blocked
            for a in (source.id, source.zone, source.region)
            for b in (target.id, target.zone, target.region)
        )

    def _delay(
        self, source: membership.Host, target: membership.Host
    ) -> float:
        """Return how long one datagram takes."""
        net = self.network
        is_near = source.region == target.region
        base = net.zone_delay_s if is_near else net.region_delay_s
        return base + self._rng.uniform(0, net.jitter_s)

    def _deliver(
        self, source: ids.Address, to: ids.Address, data: bytes
    ) -> None:
        """Give a datagram to the process that owns the address now."""
        process = self._at.get(to)
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
        """Let a process take a datagram in."""
        process.usage.received_bytes += len(data) + UDP_OVERHEAD_BYTES
        self.timed(process, lambda: self._dispatch(process, source, data))

    def _dispatch(
        self, process: Process, source: ids.Address, data: bytes
    ) -> abc.Iterator[object]:
        """Decode a datagram and hand it to its core."""
        msg = self._codec.decode(data)
        if isinstance(msg, _UPSTREAM_TYPES):
            return process.directory.on_message(source, msg, self.now)
        return process.membership.on_message(source, msg, self.now)

    def announce(
        self, number: int, announcement: upstreams.Announcement
    ) -> None:
        """Let an upstream announce itself to one host."""
        process = self.processes[number]
        if self.now >= process.frozen_until:
            self.timed(
                process,
                lambda: process.directory.announce(announcement, self.now),
            )
