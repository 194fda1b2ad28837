"""How long requests wait for a slot, by policy; in virtual time."""

from collections import abc
import dataclasses
import heapq
import itertools
import random

from foxtailworks import ids
from foxtailworks import placement

WORK_S = 0.05
"""Mean time of a request in a slot."""
REPORT_EVERY_S = 2.0
"""Upstreams report their load so often."""
WINDOW_S = 1.0
"""Imbalance is taken over windows of this length."""
QUEUE_PER_SLOT = 20
"""A longer queue sheds."""


@dataclasses.dataclass(frozen=True)
class Size:
    """A service of one of the users."""

    name: str
    """As in the brief."""
    upstreams: int
    """Servers."""
    slots: int
    """Slots of each."""
    zones: int
    """Availability zones."""
    hosts: int
    """Entry hosts."""


SIZES = (
    Size("check-in", 7, 3, 4, 7),
    Size("photo", 4, 3, 4, 7),
    Size("slot-desk", 7, 2, 3, 6),
    Size("letter-vault", 3, 2, 3, 6),
)


@dataclasses.dataclass
class Server:
    """An upstream with slots and one queue."""

    upstream: ids.UpstreamId
    zone: ids.ZoneId
    slots: int
    busy: int = 0
    queue: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    reported: float = 0.0
    reported_at: float = 0.0
    placed: int = 0

    def load(self) -> int:
        """Return running and waiting requests."""
        return self.busy + len(self.queue)


@dataclasses.dataclass(frozen=True)
class Waiting:
    """What one run gave."""

    imbalance: float
    """Mean over windows of the most loaded slot by the mean load."""
    p99_ms: float
    """Of the time that served requests waited for a slot."""
    shed_part: float
    """Part of the requests that were shed or found no upstream."""


class Run:
    """One trace through one policy."""

    def __init__(
        self,
        size: Size,
        load: float,
        policies: list[placement.Balancer],
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._balancers = policies
        self._rate = load * size.upstreams * size.slots / WORK_S
        self._servers = {
            name: Server(name, zone, size.slots) for name, zone in _names(size)
        }
        self._events: list[tuple[float, int, str, int, ids.UpstreamId]] = []
        self._numbers = itertools.count()
        self._waits: list[float] = []
        self._lost = 0
        self._area: dict[ids.UpstreamId, float] = dict.fromkeys(
            self._servers, 0.0
        )
        self._ratios: list[float] = []

    def go(self, seconds: float) -> Waiting:
        """Run the trace and return its figures."""
        self._push(0.0, "arrive")
        for name in self._servers:
            self._push(self._rng.uniform(0, REPORT_EVERY_S), "report", 0, name)
        last = 0.0
        window = WINDOW_S
        while True:
            now, _, kind, host, name = heapq.heappop(self._events)
            if now > seconds:
                break
            self._note_area(now - last)
            last = now
            if now > window:
                self._close_window()
                window += WINDOW_S
            getattr(self, "_" + kind)(now, host, name)
        return self._result()

    def _push(
        self,
        at: float,
        kind: str,
        host: int = 0,
        name: ids.UpstreamId = ids.UpstreamId(""),
    ) -> None:
        """Schedule an event."""
        heapq.heappush(
            self._events, (at, next(self._numbers), kind, host, name)
        )

    def _note_area(self, span: float) -> None:
        """Add up load over time."""
        for server in self._servers.values():
            self._area[server.upstream] += span * server.load()

    def _close_window(self) -> None:
        """Note the imbalance of a window."""
        values = list(self._area.values())
        mean = sum(values) / len(values)
        if mean:
            self._ratios.append(max(values) / mean)
        self._area = dict.fromkeys(self._servers, 0.0)

    def _arrive(self, now: float, _: int, name: ids.UpstreamId) -> None:
        """Place a request through a host drawn at random."""
        self._push(now + self._rng.expovariate(self._rate), "arrive")
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
            self._lost += 1
            return
        server = self._servers[found.upstream]
        balancer.on_sent(found.upstream)
        server.placed += 1
        if server.busy < server.slots:
            self._begin(server, now, now, host)
        elif len(server.queue) < QUEUE_PER_SLOT * server.slots:
            server.queue.append((now, host))
        else:
            self._lost += 1
            balancer.on_ended(
                server.upstream, placement.Outcome.SHED, now, self._rng
            )

    def _begin(
        self, server: Server, now: float, since: float, host: int
    ) -> None:
        """Run a request in a slot."""
        server.busy += 1
        self._waits.append(now - since)
        work = self._rng.expovariate(1 / WORK_S)
        self._push(now + work, "finish", host, server.upstream)

    def _finish(self, now: float, host: int, name: ids.UpstreamId) -> None:
        """End a request and begin the next in the queue."""
        server = self._servers[name]
        server.busy -= 1
        self._balancers[host].on_ended(
            name, placement.Outcome.ANSWERED, now, self._rng
        )
        if server.queue:
            since, waiting = server.queue.pop(0)
            self._begin(server, now, since, waiting)

    def _report(self, now: float, _: int, name: ids.UpstreamId) -> None:
        """Report the load; it is used until the next report."""
        server = self._servers[name]
        server.reported = server.load()
        server.reported_at = now
        self._push(now + REPORT_EVERY_S, "report", 0, name)

    def _result(self) -> Waiting:
        """Return the figures."""
        waits = sorted(self._waits)
        total = len(waits) + self._lost
        return Waiting(
            sum(self._ratios) / len(self._ratios),
            1000 * waits[int(0.99 * len(waits))],
            self._lost / total,
        )


def _names(
    size: Size,
) -> abc.Iterator[tuple[ids.UpstreamId, ids.ZoneId]]:
    """Yield the upstreams of a service, spread over the zones."""
    for i in range(size.upstreams):
        upstream = ids.UpstreamId(f"10.9.{i}.1:9000#1")
        yield upstream, ids.ZoneId(f"zone-{i % size.zones}")
