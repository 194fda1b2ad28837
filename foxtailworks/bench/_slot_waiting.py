"""Simulated waiting time of requests for a slot, by policy."""

from collections import abc
import dataclasses
import heapq
import itertools
import random

from foxtailworks import ids
from foxtailworks import placement

WORK_S = 0.05
"""Mean service time of a request in seconds."""
REPORT_EVERY_S = 2.0
"""Seconds between an upstream's load reports."""
WINDOW_S = 1.0
"""Length in seconds of the windows over which imbalance is taken."""
QUEUE_PER_SLOT = 20
"""Most queued requests per slot; the upstream sheds more."""


@dataclasses.dataclass(frozen=True)
class ServiceSize:
    """Dimensions of a service of one of the users."""

    name: str
    """Name of the service."""
    upstreams: int
    """Number of upstreams."""
    slots: int
    """Number of slots of each upstream."""
    zones: int
    """Number of availability zones."""
    hosts: int
    """Number of entry hosts."""


SIZES = (
    ServiceSize("check-in", 7, 3, 4, 7),
    ServiceSize("photo", 4, 3, 4, 7),
    ServiceSize("slot-desk", 7, 2, 3, 6),
    ServiceSize("letter-vault", 3, 2, 3, 6),
)


@dataclasses.dataclass
class Server:
    """A simulated upstream with slots and one queue."""

    upstream: ids.UpstreamId
    zone: ids.ZoneId
    slots: int
    busy: int = 0
    queue: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    reported: float = 0.0
    reported_at: float = 0.0
    placed: int = 0

    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return self.busy + len(self.queue)


@dataclasses.dataclass(frozen=True)
class WaitingResult:
    """Results of one simulation."""

    imbalance: float
    """Mean over windows of the highest upstream load by the mean load."""
    p99_ms: float
    """99th percentile of the wait of served requests for a slot, in ms."""
    shed_share: float
    """Share of the requests that were shed or found no upstream."""


class WaitingSimulation:
    """Simulates one request trace with one policy, in virtual time."""

    def __init__(
        self,
        size: ServiceSize,
        load: float,
        policies: list[placement.Balancer],
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._balancers = policies
        self._rate = load * size.upstreams * size.slots / WORK_S
        self._servers = {
            name: Server(name, zone, size.slots)
            for name, zone in _make_upstreams(size)
        }
        self._events: list[tuple[float, int, str, int, ids.UpstreamId]] = []
        self._serials = itertools.count()
        self._waits: list[float] = []
        self._shed = 0
        self._load_seconds: dict[ids.UpstreamId, float] = dict.fromkeys(
            self._servers, 0.0
        )
        self._imbalances: list[float] = []

    def simulate(self, seconds: float) -> WaitingResult:
        """Run the trace and return its results."""
        self._schedule(0.0, "arrive")
        for name in self._servers:
            self._schedule(
                self._rng.uniform(0, REPORT_EVERY_S), "report", 0, name
            )
        last = 0.0
        window = WINDOW_S
        while True:
            now, _, kind, host, name = heapq.heappop(self._events)
            if now > seconds:
                break
            self._add_load(now - last)
            last = now
            if now > window:
                self._close_window()
                window += WINDOW_S
            getattr(self, "_" + kind)(now, host, name)
        return self._result()

    def _schedule(
        self,
        at: float,
        kind: str,
        host: int = 0,
        name: ids.UpstreamId = ids.UpstreamId(""),
    ) -> None:
        """Schedule an event; ``kind`` names the method that handles it."""
        heapq.heappush(
            self._events, (at, next(self._serials), kind, host, name)
        )

    def _add_load(self, span: float) -> None:
        """Add ``span`` seconds of the present load to the window's sums."""
        for server in self._servers.values():
            self._load_seconds[server.upstream] += span * server.load()

    def _close_window(self) -> None:
        """Record the imbalance of a window and begin the next."""
        values = list(self._load_seconds.values())
        mean = sum(values) / len(values)
        if mean:
            self._imbalances.append(max(values) / mean)
        self._load_seconds = dict.fromkeys(self._servers, 0.0)

    def _arrive(self, now: float, _: int, name: ids.UpstreamId) -> None:
        """Place a request through a random host."""
        self._schedule(now + self._rng.expovariate(self._rate), "arrive")
        host = self._rng.randrange(len(self._balancers))
        balancer = self._balancers[host]
        views = [
            placement.Candidate(
                s.upstream, s.zone, s.slots, 1.0, s.reported, s.reported_at
            )
            for s in self._servers.values()
        ]
        found = balancer.choose(views, now, self._rng)
        if found is None:
            self._shed += 1
            return
        server = self._servers[found.upstream]
        balancer.on_sent(found.upstream)
        server.placed += 1
        if server.busy < server.slots:
            self._begin(server, now, now, host)
        elif len(server.queue) < QUEUE_PER_SLOT * server.slots:
            server.queue.append((now, host))
        else:
            self._shed += 1
            balancer.on_ended(
                server.upstream, placement.Outcome.SHED, now, self._rng
            )

    def _begin(
        self, server: Server, now: float, queued_at: float, host: int
    ) -> None:
        """Run a request in a slot."""
        server.busy += 1
        self._waits.append(now - queued_at)
        work_s = self._rng.expovariate(1 / WORK_S)
        self._schedule(now + work_s, "finish", host, server.upstream)

    def _finish(self, now: float, host: int, name: ids.UpstreamId) -> None:
        """End a request and start the next in the queue."""
        server = self._servers[name]
        server.busy -= 1
        self._balancers[host].on_ended(
            name, placement.Outcome.ANSWERED, now, self._rng
        )
        if server.queue:
            queued_at, waiting = server.queue.pop(0)
            self._begin(server, now, queued_at, waiting)

    def _report(self, now: float, _: int, name: ids.UpstreamId) -> None:
        """Report the load, which hosts use until the next report."""
        server = self._servers[name]
        server.reported = server.load()
        server.reported_at = now
        self._schedule(now + REPORT_EVERY_S, "report", 0, name)

    def _result(self) -> WaitingResult:
        """Return the results of the simulation."""
        waits = sorted(self._waits)
        total = len(waits) + self._shed
        return WaitingResult(
            sum(self._imbalances) / len(self._imbalances),
            1000 * waits[int(0.99 * len(waits))],
            self._shed / total,
        )


def _make_upstreams(
    size: ServiceSize,
) -> abc.Iterator[tuple[ids.UpstreamId, ids.ZoneId]]:
    """Yield id and zone of each upstream, spread over the zones."""
    for i in range(size.upstreams):
        upstream = ids.UpstreamId(f"10.9.{i}.1:9000#1")
        yield upstream, ids.ZoneId(f"zone-{i % size.zones}")
