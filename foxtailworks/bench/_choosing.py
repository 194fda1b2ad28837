"""Simulated comparison of policies that choose an upstream for a new flow.

The flows carry a token. Upstreams have a few slots and a short queue; hosts
see only their own flows, or those of all hosts with a delay; arrivals are
Poisson, in virtual time.
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
from foxtailworks.bench import _workloads

LOADS = (0.5, 0.8, 0.95, 1.2, 2.0)
"""Offered work as a share of the capacity of all slots."""
ARRIVALS = 12_000
"""Number of requests in one run."""
QUEUE_LIMIT = 8
"""Most requests in an upstream's queue; it sheds the others."""
SUBSET = 12
"""Upstreams that a host chooses among when it keeps to a subset."""
UPDATE_S = 0.05
"""Seconds between the hosts' updates of their open flows."""
SEED = 1


WORK_SIGMA = 0.5
"""Standard deviation of the logarithm of service times, as on the sheets."""


@dataclasses.dataclass(slots=True)
class UpstreamQueue:
    """Slots and queue of an upstream.

    The queue holds tuples of arrival time, service time, host and kind.
    """

    busy: int = 0
    """Number of slots in use."""
    queue: collections.deque[
        tuple[float, float, int, _workloads.RequestKind]
    ] = dataclasses.field(default_factory=collections.deque)
    """Requests that wait for a slot, oldest first."""


class HostView(typing.NamedTuple):
    """State that a host may use when it chooses an upstream."""

    own: list[int]
    """Open flows of this host, by upstream."""
    shared: list[int]
    """All hosts' open flows at the last update plus its own since."""
    subset: tuple[int, ...]
    """Upstreams that this host and few others use."""
    idle_slots: collections.deque[int]
    """Upstreams with idle slots that were assigned to this host."""
    rng: random.Random
    """Random numbers, such as for ties."""


Policy = abc.Callable[[HostView], int]


def _index_of_least(counts: list[int], rng: random.Random) -> int:
    """Return the index of the least count, at random among equals."""
    least = min(counts)
    return rng.choice([i for i, n in enumerate(counts) if n == least])


def choose_random(view: HostView) -> int:
    """Choose any upstream with equal probability."""
    return view.rng.randrange(len(view.own))


def choose_least_own(view: HostView) -> int:
    """Choose by the host's own open flows, as steering does."""
    return _index_of_least(view.own, view.rng)


def choose_least_shared(view: HostView) -> int:
    """Choose by the open flows of all hosts, late by up to an update."""
    return _index_of_least(view.shared, view.rng)


def choose_better_of_two(view: HostView) -> int:
    """Choose the better of two random upstreams by the shared view."""
    one, two = view.rng.sample(range(len(view.shared)), 2)
    return one if view.shared[one] <= view.shared[two] else two


def choose_in_subset(view: HostView) -> int:
    """Choose by the host's own open flows, among few upstreams."""
    own = [view.own[index] for index in view.subset]
    return view.subset[_index_of_least(own, view.rng)]


def choose_idle_slot(view: HostView) -> int:
    """Choose an idle slot assigned to this host, else by the own view."""
    return (
        view.idle_slots.popleft()
        if view.idle_slots
        else choose_least_own(view)
    )


POLICIES: dict[str, Policy] = {
    "random": choose_random,
    "own": choose_least_own,
    "shared": choose_least_shared,
    "two": choose_better_of_two,
    "subset": choose_in_subset,
    "idle": choose_idle_slot,
}


@dataclasses.dataclass
class CallerOutcome:
    """Results of one run from the callers' side."""

    offered: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Number of requests sent, by kind."""
    in_target: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Requests answered within their target, by kind."""
    latencies_s: list[float] = dataclasses.field(default_factory=list)
    """Seconds to the answer of each answered request."""
    shed_while_free: int = 0
    """Requests shed by a full upstream while another had a free slot."""

    def share_in_target(self) -> float:
        """Return the share of all requests answered within their target."""
        return self.in_target.total() / self.offered.total()

    def p99_ms(self) -> float:
        """Return the 99th percentile of the time to an answer, in ms."""
        ordered = sorted(self.latencies_s)
        return ordered[int(len(ordered) * 0.99)] * 1000


class Model:
    """Simulates one run; ``policy`` None is one queue for all slots."""

    def __init__(
        self,
        workload: _workloads.Workload,
        load: float,
        policy: Policy | None,
        seed: int,
    ) -> None:
        self._workload = workload
        self._policy = policy
        # Arrivals and service times are the same for every policy.
        self._arrival_rng = random.Random(seed)
        self._choice_rng = random.Random(seed)
        self._upstreams = [UpstreamQueue() for _ in range(workload.upstreams)]
        self._one_queue: collections.deque[
            tuple[float, float, int, _workloads.RequestKind]
        ]
        self._one_queue = collections.deque()
        self._own = [[0] * workload.upstreams for _ in range(workload.hosts)]
        self._last_shared = [0] * workload.upstreams
        self._own_since_update = [
            [0] * workload.upstreams for _ in range(workload.hosts)
        ]
        self._idle_slots: list[collections.deque[int]] = [
            collections.deque() for _ in range(workload.hosts)
        ]
        for index in range(workload.upstreams * workload.slots):
            self._idle_slots[index % workload.hosts].append(
                index % workload.upstreams
            )
        self._subsets = [
            _subset_of(host, workload) for host in range(workload.hosts)
        ]
        mean_s = sum(k.share * k.work_s for k in workload.kinds)
        capacity = workload.upstreams * workload.slots / mean_s
        self._mean_gap_s = 1 / (load * capacity)
        self._events: list[tuple[float, int, str, typing.Any]] = []
        self._serials = itertools.count()
        self.outcome = CallerOutcome()

    def run(self, arrivals: int) -> CallerOutcome:
        """Simulate ``arrivals`` requests until all have ended."""
        self._schedule(0.0, "arrive", arrivals)
        self._schedule(UPDATE_S, "update", None)
        while self._events:
            now, _, name, item = heapq.heappop(self._events)
            if name == "arrive":
                self._arrive(now, item)
            elif name == "end":
                self._finish(now, item)
            elif self._events:
                self._update(now)
        return self.outcome

    def _schedule(self, when: float, name: str, item: typing.Any) -> None:
        """Schedule an event at virtual time ``when``."""
        heapq.heappush(self._events, (when, next(self._serials), name, item))

    def _arrive(self, now: float, remaining: int) -> None:
        """Let a request arrive at a random host and schedule the next."""
        if remaining > 1:
            gap_s = self._arrival_rng.expovariate(1 / self._mean_gap_s)
            self._schedule(now + gap_s, "arrive", remaining - 1)
        kind = self._arrival_rng.choices(
            self._workload.kinds, [k.share for k in self._workload.kinds]
        )[0]
        center = math.log(kind.work_s) - WORK_SIGMA**2 / 2
        work_s = self._arrival_rng.lognormvariate(center, WORK_SIGMA)
        host = self._arrival_rng.randrange(self._workload.hosts)
        self.outcome.offered[kind.name] += 1
        job = (now, work_s, host, kind)
        if self._policy is None:
            self._arrive_in_one_queue(now, job)
        else:
            self._place(now, job, self._policy)

    def _arrive_in_one_queue(
        self, now: float, job: tuple[float, float, int, _workloads.RequestKind]
    ) -> None:
        """Take any free slot, or wait in the common queue."""
        free = self._find_free_upstreams()
        if free:
            self._start(now, free[0], job)
        elif len(self._one_queue) < QUEUE_LIMIT * self._workload.upstreams:
            self._one_queue.append(job)

    def _place(
        self,
        now: float,
        job: tuple[float, float, int, _workloads.RequestKind],
        policy: Policy,
    ) -> None:
        """Place a request by the policy and the host's view."""
        host = job[2]
        shared = [
            a + b
            for a, b in zip(
                self._last_shared, self._own_since_update[host], strict=True
            )
        ]
        view = HostView(
            self._own[host],
            shared,
            self._subsets[host],
            self._idle_slots[host],
            self._choice_rng,
        )
        index = policy(view)
        upstream = self._upstreams[index]
        if upstream.busy < self._workload.slots:
            self._start(now, index, job)
        elif len(upstream.queue) < QUEUE_LIMIT:
            upstream.queue.append(job)
        else:
            self.outcome.shed_while_free += bool(self._find_free_upstreams())
            return
        self._own[host][index] += 1
        self._own_since_update[host][index] += 1

    def _find_free_upstreams(self) -> list[int]:
        """Return the indices of the upstreams with a free slot."""
        return [
            index
            for index, item in enumerate(self._upstreams)
            if item.busy < self._workload.slots
        ]

    def _start(
        self,
        now: float,
        index: int,
        job: tuple[float, float, int, _workloads.RequestKind],
    ) -> None:
        """Run a request in a slot."""
        self._upstreams[index].busy += 1
        self._schedule(now + job[1], "end", (index, job))

    def _finish(
        self,
        now: float,
        item: tuple[int, tuple[float, float, int, _workloads.RequestKind]],
    ) -> None:
        """Answer a request and start the next in the queue."""
        index, (arrived_at, _, host, kind) = item
        latency_s = now - arrived_at
        self.outcome.latencies_s.append(latency_s)
        self.outcome.in_target[kind.name] += latency_s <= kind.target_s
        upstream = self._upstreams[index]
        upstream.busy -= 1
        if self._policy is None:
            if self._one_queue:
                self._start(now, index, self._one_queue.popleft())
            return
        self._own[host][index] -= 1
        self._own_since_update[host][index] -= 1
        if upstream.queue:
            self._start(now, index, upstream.queue.popleft())
        else:
            owner = self._choice_rng.randrange(self._workload.hosts)
            self._idle_slots[owner].append(index)

    def _update(self, now: float) -> None:
        """Share the open flows of each host with all hosts."""
        self._last_shared = [
            sum(counts) for counts in zip(*self._own, strict=True)
        ]
        self._own_since_update = [
            [0] * self._workload.upstreams for _ in range(self._workload.hosts)
        ]
        self._schedule(now + UPDATE_S, "update", None)


def _subset_of(host: int, workload: _workloads.Workload) -> tuple[int, ...]:
    """Return consecutive upstreams, so that each gets as many hosts."""
    size = min(SUBSET, workload.upstreams)
    start = host * workload.upstreams // workload.hosts
    return tuple((start + n) % workload.upstreams for n in range(size))


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield the figures of each workload, load and policy."""
    for workload in _workloads.WORKLOADS:
        for load in LOADS:
            ideal = Model(workload, load, None, SEED).run(ARRIVALS)
            for name, policy in POLICIES.items():
                found = Model(workload, load, policy, SEED).run(ARRIVALS)
                where = f"choosing.{workload.name}.{load:g}.{name}"
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
