"""Which upstream an idempotent request goes to."""

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
"""An upstream that sheds is left alone for so long, then twice it."""
MAX_PAUSE_S = 2.0
"""Longest pause."""
MAX_SEEN = 8192
"""Upstreams remembered; idle ones are forgotten first."""
REPORT_FADES_S = 1.0
"""A report of load counts half after this time."""


class Outcome(enum.Enum):
    """How a request ended at an upstream."""

    ANSWERED = "answered"
    SHED = "shed"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that takes new work."""

    upstream: ids.UpstreamId
    """Its id."""
    zone: ids.ZoneId
    """Its availability zone."""
    slots: int = 1
    """Requests that it runs at once."""
    weight: float = 1.0
    """Below 1 while it is cold."""
    reported: float = 0.0
    """Requests in flight by its own report."""
    reported_at: float = float("-inf")
    """When it reported."""


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """What this host sees of one upstream."""

    in_flight: int = 0
    """Sent by this host and not ended."""
    pause_s: float = 0.0
    """Length of the last pause after a shed, 0 if all is well."""
    paused_until: float = float("-inf")
    """No request is sent before."""
    placed: int = 0
    """Sent so far."""


class Policy(typing.Protocol):
    """Picks one of several candidates."""

    def pick(
        self,
        candidates: abc.Sequence[Candidate],
        seen: abc.Callable[[ids.UpstreamId], UpstreamLoad],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        """Return one of ``candidates``, of which there is at least one."""


class RandomChoice:
    """Any candidate, by weight."""

    def pick(
        self,
        candidates: abc.Sequence[Candidate],
        seen: abc.Callable[[ids.UpstreamId], UpstreamLoad],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        """Return one at random."""
        return rng.choices(candidates, [_size(c) for c in candidates])[0]


class RoundRobin:
    """Each in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def pick(
        self,
        candidates: abc.Sequence[Candidate],
        seen: abc.Callable[[ids.UpstreamId], UpstreamLoad],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        """Return the next."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastReportedLoad:
    """The least load by the upstreams' own reports."""

    def pick(
        self,
        candidates: abc.Sequence[Candidate],
        seen: abc.Callable[[ids.UpstreamId], UpstreamLoad],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        """Return the one whose report is lowest; any of several."""
        least = min(c.reported / _size(c) for c in candidates)
        return rng.choice(
            [c for c in candidates if c.reported / _size(c) <= least]
        )


class PowerOfTwo:
    """The better of two at random, by what this host itself sees.

    :param hint: how much a fresh report counts next to the own view
    """

    def __init__(self, hint: float = 0.0) -> None:
        self._hint = hint

    def pick(
        self,
        candidates: abc.Sequence[Candidate],
        seen: abc.Callable[[ids.UpstreamId], UpstreamLoad],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        """Draw two by weight and return the one with less per slot."""
        if len(candidates) == 1:
            return candidates[0]
        one, two = _draw_two(candidates, rng)
        if self._load(two, seen, now) < self._load(one, seen, now):
            return two
        return one

    def _load(
        self,
        item: Candidate,
        seen: abc.Callable[[ids.UpstreamId], UpstreamLoad],
        now: float,
    ) -> float:
        """Return the load per slot."""
        own = seen(item.upstream).in_flight
        age_s = max(0.0, now - item.reported_at)
        fresh = math.exp2(-age_s / REPORT_FADES_S)
        hint = self._hint * item.reported * fresh
        return (own + hint) / _size(item)


class LeastLocalLoad:
    """The least load that this host itself sees; ties by availability zone.

    Of several with the same load one of the own zone is taken, and each
    host of the zone begins with another of them, so that hosts with little
    work of their own don't meet at one upstream.
    """

    def __init__(self, zone: ids.ZoneId) -> None:
        self._zone = zone
        self._zone_position = 0

    def set_hosts(
        self, me: ids.HostId, hosts: abc.Iterable[_types.HostView]
    ) -> None:
        """Take this host's place among the live hosts of its zone."""
        near = sorted(v.host for v in hosts if v.zone == self._zone)
        self._zone_position = near.index(me) if me in near else 0

    def pick(
        self,
        candidates: abc.Sequence[Candidate],
        seen: abc.Callable[[ids.UpstreamId], UpstreamLoad],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        """Return the least loaded, the first of several."""
        near = [c for c in candidates if c.zone == self._zone]
        far = [c for c in candidates if c.zone != self._zone]
        start = self._zone_position % len(near) if near else 0
        rng.shuffle(far)
        return min(
            itertools.chain(near[start:], near[:start], far),
            key=lambda c: (seen(c.upstream).in_flight + 1) / _size(c),
        )


def _size(item: Candidate) -> float:
    """Return the slots of a candidate, fewer while it is cold."""
    return max(item.slots * item.weight, 1e-6)


def _draw_two(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> tuple[Candidate, Candidate]:
    """Return two different candidates, drawn by size."""
    sizes = [_size(c) for c in candidates]
    one = rng.choices(range(len(sizes)), sizes)[0]
    sizes[one] = 0.0
    two = rng.choices(range(len(sizes)), sizes)[0]
    return candidates[one], candidates[two]


class Balancer:
    """Picks upstreams and keeps away from those that shed.

    :param policy: how to pick among the upstreams that take work
    """

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._seen: dict[ids.UpstreamId, UpstreamLoad] = {}

    def load_of(self, upstream: ids.UpstreamId) -> UpstreamLoad:
        """Return what this host sees of an upstream."""
        found = self._seen.get(upstream)
        if found is None:
            if len(self._seen) >= MAX_SEEN:
                self._forget()
            found = UpstreamLoad()
            self._seen[upstream] = found
        return found

    def _forget(self) -> None:
        """Forget upstreams without requests; all if none is idle."""
        busy = {u: s for u, s in self._seen.items() if s.in_flight}
        self._seen = busy if len(busy) < MAX_SEEN else {}

    def choose(
        self,
        candidates: abc.Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Candidate | None:
        """Return the upstream for one request, None if all must rest.

        :param candidates: in the same order on every host
        """
        ready = [c for c in candidates if self._is_ready(c, now)]
        if not ready:
            return None
        return self._policy.pick(ready, self.load_of, now, rng)

    def _is_ready(self, item: Candidate, now: float) -> bool:
        """Return whether an upstream may get a request now.

        After a pause one request at a time tries it, so that the callers
        who waited don't all return at once.
        """
        seen = self._seen.get(item.upstream)
        if seen is None or not seen.pause_s:
            return True
        return now >= seen.paused_until and seen.in_flight == 0

    def on_sent(self, upstream: ids.UpstreamId) -> None:
        """Note a request that went out."""
        seen = self.load_of(upstream)
        seen.in_flight += 1
        seen.placed += 1

    def on_ended(
        self,
        upstream: ids.UpstreamId,
        outcome: Outcome,
        now: float,
        rng: random.Random,
    ) -> None:
        """Note the end of a request that went out."""
        seen = self.load_of(upstream)
        seen.in_flight = max(0, seen.in_flight - 1)
        if outcome is Outcome.ANSWERED:
            seen.pause_s = 0.0
            return
        if now < seen.paused_until:
            return
        seen.pause_s = min(max(2 * seen.pause_s, FIRST_PAUSE_S), MAX_PAUSE_S)
        seen.paused_until = now + seen.pause_s * rng.uniform(0.5, 1.5)
