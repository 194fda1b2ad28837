"""Choice of an upstream for each idempotent request."""

from collections import abc
import dataclasses
import enum
import itertools
import math
import random
import typing

from foxtailworks import ids
from foxtailworks.placement import _types

FIRST_PAUSE_S = 0.05
"""Seconds without requests after a failure; doubled at the next one."""
MAX_PAUSE_S = 2.0
"""Maximum pause in seconds."""
MAX_TRACKED_UPSTREAMS = 8192
"""Maximum number of upstreams tracked; idle ones are dropped first."""
REPORT_HALF_LIFE_S = 1.0
"""Seconds after which a load report counts half."""


class Outcome(enum.Enum):
    """Result of a request at an upstream; SILENT is no answer in time."""

    ANSWERED = "answered"
    SHED = "shed"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that accepts new work."""

    upstream: ids.UpstreamId
    """Address and incarnation of the upstream."""
    zone: ids.ZoneId
    """Availability zone of the upstream."""
    slots: int = 1
    """Number of requests that it runs concurrently."""
    weight: float = 1.0
    """Share of its slots that it may use, below 1 during its slow start."""
    reported: float = 0.0
    """Number of requests in flight by its own report."""
    reported_at: float = float("-inf")
    """Time of the report."""


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Load that this host has put on an upstream, and its pauses."""

    in_flight: int = 0
    """Number of requests sent by this host that haven't ended."""
    pause_s: float = 0.0
    """Seconds of the last pause after a failure, 0 after an answer."""
    paused_until: float = float("-inf")
    """Time before which no request is sent."""
    sent_count: int = 0
    """Number of requests sent so far."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceContext:
    """What a policy knows when it picks a candidate."""

    candidates: abc.Sequence[Candidate]
    """Upstreams to pick from, at least one."""
    load_of: abc.Callable[[ids.UpstreamId], UpstreamLoad]
    """Returns the load that this host has put on an upstream."""
    now: float
    """Time of the choice."""
    rng: random.Random
    """Source of random choices."""


class Policy(typing.Protocol):
    """Strategy that picks one of several candidates."""

    def pick(self, context: ChoiceContext) -> Candidate:
        """Return one of the candidates."""


class RandomChoice:
    """Random choice in proportion to the capacities."""

    def pick(self, context: ChoiceContext) -> Candidate:
        """Return a candidate drawn by capacity."""
        capacities = [_capacity(c) for c in context.candidates]
        return context.rng.choices(context.candidates, capacities)[0]


class RoundRobin:
    """Each candidate in turn, regardless of its load."""

    def __init__(self) -> None:
        self._turn = 0

    def pick(self, context: ChoiceContext) -> Candidate:
        """Return the next candidate in order."""
        self._turn += 1
        return context.candidates[self._turn % len(context.candidates)]


class LeastReportedLoad:
    """Least load per slot by the upstreams' own reports."""

    def pick(self, context: ChoiceContext) -> Candidate:
        """Return the candidate with the least load; ties at random."""
        candidates = context.candidates
        least = min(c.reported / _capacity(c) for c in candidates)
        return context.rng.choice(
            [c for c in candidates if c.reported / _capacity(c) <= least]
        )


class PowerOfTwo:
    """The better of two random candidates, by the load from this host.

    :param report_weight: weight of a recent report against the own requests
    """

    def __init__(self, report_weight: float = 0.0) -> None:
        self._report_weight = report_weight

    def pick(self, context: ChoiceContext) -> Candidate:
        """Draw two by capacity and return the one with less load per slot."""
        if len(context.candidates) == 1:
            return context.candidates[0]
        one, two = _draw_two(context.candidates, context.rng)
        if self._load(two, context) < self._load(one, context):
            return two
        return one

    def _load(self, item: Candidate, context: ChoiceContext) -> float:
        """Return the load per slot, with a weighted report."""
        own = context.load_of(item.upstream).in_flight
        age_s = max(0.0, context.now - item.reported_at)
        recency = math.exp2(-age_s / REPORT_HALF_LIFE_S)
        reported = self._report_weight * item.reported * recency
        return (own + reported) / _capacity(item)


class LeastLocalLoad:
    """Least load per slot from this host; ties by availability zone.

    Among equal candidates those of the own zone come first, and each host of
    the zone starts at another of them, so that hosts with few requests
    don't all choose the same upstream.
    """

    def __init__(self, zone: ids.ZoneId) -> None:
        self._zone = zone
        self._zone_position = 0

    def set_hosts(
        self, me: ids.HostId, hosts: abc.Iterable[_types.HostView]
    ) -> None:
        """Set this host's position among the live hosts of its zone."""
        near = sorted(v.host for v in hosts if v.zone == self._zone)
        self._zone_position = near.index(me) if me in near else 0

    def pick(self, context: ChoiceContext) -> Candidate:
        """Return the candidate with the least load; on a tie the first."""
        near = [c for c in context.candidates if c.zone == self._zone]
        far = [c for c in context.candidates if c.zone != self._zone]
        start = self._zone_position % len(near) if near else 0
        context.rng.shuffle(far)
        return min(
            itertools.chain(near[start:], near[:start], far),
            key=lambda c: (
                (context.load_of(c.upstream).in_flight + 1) / _capacity(c)
            ),
        )


def _capacity(item: Candidate) -> float:
    """Return the slots of a candidate, reduced during its slow start."""
    return max(item.slots * item.weight, 1e-6)


def _draw_two(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> tuple[Candidate, Candidate]:
    """Return two different candidates, drawn by capacity."""
    capacities = [_capacity(c) for c in candidates]
    one = rng.choices(range(len(capacities)), capacities)[0]
    capacities[one] = 0.0
    two = rng.choices(range(len(capacities)), capacities)[0]
    return candidates[one], candidates[two]


class Balancer:
    """Choice of upstreams, with pauses for those that fail requests.

    :param policy: picks among the upstreams that are not paused
    """

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._loads: dict[ids.UpstreamId, UpstreamLoad] = {}

    def load_of(self, upstream: ids.UpstreamId) -> UpstreamLoad:
        """Return the load that this host has put on an upstream."""
        found = self._loads.get(upstream)
        if found is None:
            if len(self._loads) >= MAX_TRACKED_UPSTREAMS:
                self._discard_idle()
            found = UpstreamLoad()
            self._loads[upstream] = found
        return found

    def _discard_idle(self) -> None:
        """Drop upstreams without requests; all if none is idle."""
        busy = {u: s for u, s in self._loads.items() if s.in_flight}
        self._loads = busy if len(busy) < MAX_TRACKED_UPSTREAMS else {}

    def choose(
        self,
        candidates: abc.Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Candidate | None:
        """Return the upstream for one request, None if all are paused.

        :param candidates: upstreams in the same order on every host
        """
        ready = [c for c in candidates if self._is_ready(c, now)]
        if not ready:
            return None
        return self._policy.pick(ChoiceContext(ready, self.load_of, now, rng))

    def _is_ready(self, item: Candidate, now: float) -> bool:
        """Return whether an upstream may get a request now.

        After a pause it gets one request at a time until one is answered, so
        that the waiting callers don't overload it again.
        """
        load = self._loads.get(item.upstream)
        if load is None or not load.pause_s:
            return True
        return now >= load.paused_until and load.in_flight == 0

    def on_sent(self, upstream: ids.UpstreamId) -> None:
        """Record a request that has been sent."""
        load = self.load_of(upstream)
        load.in_flight += 1
        load.sent_count += 1

    def on_ended(
        self,
        upstream: ids.UpstreamId,
        outcome: Outcome,
        now: float,
        rng: random.Random,
    ) -> None:
        """Record the end of a request; pause the upstream if it failed."""
        load = self.load_of(upstream)
        load.in_flight = max(0, load.in_flight - 1)
        if outcome is Outcome.ANSWERED:
            load.pause_s = 0.0
            return
        if now < load.paused_until:
            return
        load.pause_s = min(max(2 * load.pause_s, FIRST_PAUSE_S), MAX_PAUSE_S)
        load.paused_until = now + load.pause_s * rng.uniform(0.5, 1.5)
