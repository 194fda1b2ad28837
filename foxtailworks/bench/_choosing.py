"""Ways to choose an upstream for a flow that carries a token, in a model.

Upstreams with a few slots and a short queue, hosts that see only their own
flows or the others' with a delay, Poisson arrivals, in virtual time.
"""

import collections
from collections import abc
import dataclasses
import heapq
import itertools
import math
import random
import typing

from foxtailworks.bench import _figure

LOADS = (0.5, 0.8, 0.95, 1.2, 2.0)
"""Offered work, in slots' worth."""
ARRIVALS = 12_000
"""Requests of one run."""
QUEUE = 8
"""Requests that an upstream keeps waiting; it sheds more."""
UPDATE_S = 0.05
"""Hosts tell one another their open flows so often, where they do."""
SEED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request."""

    name: str
    """As on the users' sheets."""
    share: float
    """Of all requests to the service."""
    work_s: float
    """Mean time at work."""
    aim_s: float
    """Time to an answer that callers are content with."""


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """One user's busiest service."""

    name: str
    """Whose."""
    hosts: int
    """Edge hosts."""
    upstreams: int
    """Servers of the service."""
    slots: int
    """Requests that each works on at once."""
    kinds: tuple[Kind, ...]
    """What is asked."""


WORKLOADS = (
    Workload(
        "huaylas",
        6,
        7,
        3,
        (
            Kind("route-list", 0.78, 0.055, 0.250),
            Kind("walk-checkin", 0.22, 0.072, 0.300),
        ),
    ),
    Workload(
        "balans",
        7,
        7,
        2,
        (
            Kind("slot-look", 0.78, 0.015, 0.100),
            Kind("book-conf", 0.22, 0.020, 0.120),
        ),
    ),
)
SPREAD = 0.5
"""Of the work's logarithm, as on the sheets."""


@dataclasses.dataclass(slots=True)
class Upstream:
    """Slots and a queue; the queue holds arrival, work, host and kind."""

    busy: int = 0
    """Slots at work."""
    queue: collections.deque[tuple[float, float, int, Kind]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    """Waiting, oldest first."""


class View(typing.NamedTuple):
    """What a host may look at when it chooses."""

    own: list[int]
    """Its own open flows, by upstream."""
    shared: list[int]
    """All hosts' open flows as of the last update, and its own since."""
    idle: collections.deque[int]
    """Idle slots that were assigned to this host."""
    rng: random.Random
    """For ties."""


Policy = abc.Callable[[View], int]


def _least(counts: list[int], rng: random.Random) -> int:
    """Return the place of a least count, at random among equals."""
    least = min(counts)
    return rng.choice([i for i, n in enumerate(counts) if n == least])


def choose_random(view: View) -> int:
    """Ignore all that is known."""
    return view.rng.randrange(len(view.own))


def choose_own(view: View) -> int:
    """Least open flows of the host itself; what steering does."""
    return _least(view.own, view.rng)


def choose_shared(view: View) -> int:
    """Least open flows of all hosts, late by up to an update."""
    return _least(view.shared, view.rng)


def choose_two(view: View) -> int:
    """The better of two at random, by the shared view."""
    one, two = view.rng.sample(range(len(view.shared)), 2)
    return one if view.shared[one] <= view.shared[two] else two


def choose_idle(view: View) -> int:
    """An idle slot assigned to this host, else by the own view."""
    return view.idle.popleft() if view.idle else choose_own(view)


POLICIES: dict[str, Policy] = {
    "random": choose_random,
    "own": choose_own,
    "shared": choose_shared,
    "two": choose_two,
    "idle": choose_idle,
}


@dataclasses.dataclass
class Outcome:
    """What callers got."""

    asked: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """By kind."""
    in_aim: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """By kind."""
    latencies_s: list[float] = dataclasses.field(default_factory=list)
    """Of answered requests."""
    shed_while_free: int = 0
    """Shed by a full upstream while another had a free slot."""

    def share_in_target(self) -> float:
        """Return the share of all requests answered within their aim."""
        return self.in_aim.total() / self.asked.total()

    def p99_ms(self) -> float:
        """Return the 99th percentile of the time to an answer."""
        ordered = sorted(self.latencies_s)
        return ordered[int(len(ordered) * 0.99)] * 1000


class Model:
    """One run; ``policy`` None is one queue in front of all slots."""

    def __init__(
        self, sheet: Workload, load: float, policy: Policy | None, seed: int
    ) -> None:
        self._sheet = sheet
        self._policy = policy
        # Arrivals and work are the same for every way to choose.
        self._trace = random.Random(seed)
        self._rng = random.Random(seed)
        self._upstreams = [Upstream() for _ in range(sheet.upstreams)]
        self._one_queue: collections.deque[tuple[float, float, int, Kind]]
        self._one_queue = collections.deque()
        self._own = [[0] * sheet.upstreams for _ in range(sheet.hosts)]
        self._told = [0] * sheet.upstreams
        self._since = [[0] * sheet.upstreams for _ in range(sheet.hosts)]
        self._idle: list[collections.deque[int]] = [
            collections.deque() for _ in range(sheet.hosts)
        ]
        for place in range(sheet.upstreams * sheet.slots):
            self._idle[place % sheet.hosts].append(place % sheet.upstreams)
        mean_s = sum(k.share * k.work_s for k in sheet.kinds)
        capacity = sheet.upstreams * sheet.slots / mean_s
        self._gap_s = 1 / (load * capacity)
        self._events: list[tuple[float, int, str, typing.Any]] = []
        self._order = itertools.count()
        self.outcome = Outcome()

    def run(self, arrivals: int) -> Outcome:
        """Play so many arrivals and what follows them."""
        self._at(0.0, "arrive", arrivals)
        self._at(UPDATE_S, "update", None)
        while self._events:
            now, _, name, item = heapq.heappop(self._events)
            if name == "arrive":
                self._arrive(now, item)
            elif name == "end":
                self._end(now, item)
            elif self._events:
                self._update(now)
        return self.outcome

    def _at(self, when: float, name: str, item: typing.Any) -> None:
        """Let something happen later."""
        heapq.heappush(self._events, (when, next(self._order), name, item))

    def _arrive(self, now: float, left: int) -> None:
        """A request comes to a host, which places it."""
        if left > 1:
            gap_s = self._trace.expovariate(1 / self._gap_s)
            self._at(now + gap_s, "arrive", left - 1)
        kind = self._trace.choices(
            self._sheet.kinds, [k.share for k in self._sheet.kinds]
        )[0]
        center = math.log(kind.work_s) - SPREAD**2 / 2
        work_s = self._trace.lognormvariate(center, SPREAD)
        host = self._trace.randrange(self._sheet.hosts)
        self.outcome.asked[kind.name] += 1
        job = (now, work_s, host, kind)
        if self._policy is None:
            self._arrive_in_one_queue(now, job)
        else:
            self._place(now, job, self._policy)

    def _arrive_in_one_queue(
        self, now: float, job: tuple[float, float, int, Kind]
    ) -> None:
        """Take any free slot, or wait for the first that is."""
        free = self._free()
        if free:
            self._start(now, free[0], job)
        elif len(self._one_queue) < QUEUE * self._sheet.upstreams:
            self._one_queue.append(job)

    def _place(
        self, now: float, job: tuple[float, float, int, Kind], policy: Policy
    ) -> None:
        """Place a request as a host with its view does."""
        host = job[2]
        shared = [
            a + b for a, b in zip(self._told, self._since[host], strict=True)
        ]
        view = View(self._own[host], shared, self._idle[host], self._rng)
        place = policy(view)
        upstream = self._upstreams[place]
        if upstream.busy < self._sheet.slots:
            self._start(now, place, job)
        elif len(upstream.queue) < QUEUE:
            upstream.queue.append(job)
        else:
            self.outcome.shed_while_free += bool(self._free())
            return
        self._own[host][place] += 1
        self._since[host][place] += 1

    def _free(self) -> list[int]:
        """Return the upstreams with a free slot."""
        return [
            place
            for place, item in enumerate(self._upstreams)
            if item.busy < self._sheet.slots
        ]

    def _start(
        self, now: float, place: int, job: tuple[float, float, int, Kind]
    ) -> None:
        """Begin to work on a request."""
        self._upstreams[place].busy += 1
        self._at(now + job[1], "end", (place, job))

    def _end(
        self, now: float, item: tuple[int, tuple[float, float, int, Kind]]
    ) -> None:
        """Answer a request and take the next."""
        place, (came_at, _, host, kind) = item
        latencies_s = now - came_at
        self.outcome.latencies_s.append(latencies_s)
        self.outcome.in_aim[kind.name] += latencies_s <= kind.aim_s
        upstream = self._upstreams[place]
        upstream.busy -= 1
        if self._policy is None:
            if self._one_queue:
                self._start(now, place, self._one_queue.popleft())
            return
        self._own[host][place] -= 1
        self._since[host][place] -= 1
        if upstream.queue:
            self._start(now, place, upstream.queue.popleft())
        else:
            owner = self._rng.randrange(self._sheet.hosts)
            self._idle[owner].append(place)

    def _update(self, now: float) -> None:
        """Let all hosts know of all open flows."""
        self._told = [sum(counts) for counts in zip(*self._own, strict=True)]
        self._since = [
            [0] * self._sheet.upstreams for _ in range(self._sheet.hosts)
        ]
        self._at(now + UPDATE_S, "update", None)


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield what callers get from each way at each load."""
    for sheet in WORKLOADS:
        for load in LOADS:
            ideal = Model(sheet, load, None, SEED).run(ARRIVALS)
            for name, policy in POLICIES.items():
                found = Model(sheet, load, policy, SEED).run(ARRIVALS)
                where = f"choosing.{sheet.name}.{load:g}.{name}"
                yield _figure.Figure(
                    f"{where}.in_aim",
                    found.share_in_target(),
                    "share",
                    baseline=ideal.share_in_target(),
                )
                yield _figure.Figure(
                    f"{where}.p99",
                    found.p99_ms(),
                    "ms",
                    baseline=ideal.p99_ms(),
                )
                yield _figure.Figure(
                    f"{where}.shed_while_free", found.shed_while_free, "count"
                )
