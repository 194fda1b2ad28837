"""Placement of idempotent requests, with bounded retries."""

import dataclasses
import heapq
import itertools
import random
import typing

import xxhash

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _base
from foxtailworks.requests import _budget
from foxtailworks.requests import _messages

MAX_REQUESTS = 20_000
MAX_PLACEMENTS = 3
PLACEMENT_TIMEOUT_S = 0.5
BACKOFF_S = 0.02
MIN_RETRY_AFTER_S = 1.0
RETRY_JITTER_S = 2.0
DEADLINE_MARGIN_S = 0.02

# Token of one placement on one upstream, repeated in its answer.
PlacementToken = typing.NewType("PlacementToken", int)


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotentRequest:
    """A GET, PUT or DELETE that this host has received."""

    attempt: _messages.AttemptId
    service: ids.ServiceId
    remaining_ms: int
    """Milliseconds until its deadline."""
    handle: object
    """Opaque to the core; identifies the caller to answer."""
    is_safe: bool = True
    """True for GET: it does no harm if another host runs a copy of it."""
    upstream: ids.UpstreamId | None = None
    """The only upstream allowed: that of the body's other blocks."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceIdempotent:
    """Send the request to an upstream now."""

    token: PlacementToken
    upstream: ids.UpstreamId
    remaining_ms: int
    handle: object


@dataclasses.dataclass(frozen=True, slots=True)
class CancelIdempotent:
    """Cancel a placement whose answer isn't awaited any more."""

    token: PlacementToken
    upstream: ids.UpstreamId


IdempotentAction = (
    PlaceIdempotent
    | CancelIdempotent
    | _actions.Answer
    | _actions.Refuse
    | _actions.Unknown
)


@dataclasses.dataclass(slots=True)
class _ActiveRequest:
    """A request that hasn't been answered."""

    arrival: IdempotentRequest
    deadline_at: float
    placements: dict[PlacementToken, ids.UpstreamId] = dataclasses.field(
        default_factory=dict
    )
    """Upstreams of the placements that haven't been answered."""
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    placement_count: int = 0
    may_have_run: bool = False
    """Whether a placement was lost with its upstream and may have run."""
    retry_after_s: float = 0.0
    wake_at: float = 0.0
    is_backing_off: bool = False


class IdempotentRequests:
    """Places each request and retries it on another upstream.

    A retry needs the budget of its service, time before the deadline and
    an upstream not used before.  Each placement has its own token, so that an
    answer reaches only the request that it belongs to, and only once.

    :param host: this host
    :param incarnation: incarnation of this process
    :param choose: returns an upstream of a service outside the excluded ones,
        or none if there is none
    :param rng: source of the jitter of retries
    :param max_requests: maximum number of requests in progress
    """

    def __init__(
        self,
        host: ids.HostId,
        incarnation: ids.Incarnation,
        choose: _base.Chooser,
        rng: random.Random,
        max_requests: int = MAX_REQUESTS,
    ) -> None:
        self._choose = choose
        self._rng = rng
        self._max = max_requests
        self._active: dict[_messages.AttemptId, _ActiveRequest] = {}
        self._tokens: dict[PlacementToken, _messages.AttemptId] = {}
        self._wakes: list[tuple[float, int, _messages.AttemptId]] = []
        self._serial = itertools.count(1)
        seed = xxhash.xxh3_64_intdigest(f"{host}|{incarnation}".encode())
        self._next_token = seed
        self.budgets: dict[ids.ServiceId, _budget.RetryBudget] = {}

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._active)

    def request(
        self, now: float, arrival: IdempotentRequest
    ) -> tuple[IdempotentAction, ...]:
        """Place a request; drop a retransmission of one in progress."""
        if arrival.attempt in self._active:
            return ()
        deadline_at = now + arrival.remaining_ms / 1000
        active = _ActiveRequest(arrival, deadline_at)
        if len(self._active) >= self._max:
            return (self._final_action(active),)
        budget = self.budgets.setdefault(
            arrival.service, _budget.RetryBudget()
        )
        budget.deposit()
        self._active[arrival.attempt] = active
        return tuple(self._place(now, active))

    def on_answer(
        self, token: PlacementToken, answer: bytes
    ) -> tuple[IdempotentAction, ...]:
        """Process an upstream's complete answer to one placement."""
        active = self._find(token)
        if active is None:
            return ()
        self._end_placement(active, token)
        cancels = self._close(active)
        arrival = active.arrival
        return (
            _actions.Answer(arrival.attempt, arrival.handle, answer),
            *cancels,
        )

    def on_shed(
        self, now: float, token: PlacementToken, retry_after_s: float = 0.0
    ) -> tuple[IdempotentAction, ...]:
        """Process that an upstream didn't run a placement and won't."""
        active = self._find(token)
        if active is None:
            return ()
        self._end_placement(active, token)
        active.retry_after_s = max(active.retry_after_s, retry_after_s)
        if active.placements:
            return ()
        return tuple(self._schedule_retry(now, active))

    def on_upstream_lost(
        self, now: float, upstream: ids.UpstreamId
    ) -> tuple[IdempotentAction, ...]:
        """Retry the requests that were placed on a dead upstream."""
        lost = [
            (token, active)
            for active in self._active.values()
            for token, name in active.placements.items()
            if name == upstream
        ]
        actions: list[IdempotentAction] = []
        for token, active in lost:
            self._end_placement(active, token)
            active.may_have_run = True
            if not active.placements:
                actions += self._schedule_retry(now, active)
        return tuple(actions)

    def on_caller_cancelled(
        self, attempt: _messages.AttemptId
    ) -> tuple[IdempotentAction, ...]:
        """Cancel the placements of a request that its caller has abandoned."""
        active = self._active.get(attempt)
        return () if active is None else tuple(self._close(active))

    def tick(self, now: float) -> tuple[IdempotentAction, ...]:
        """Process the due timers; call it several times a second."""
        actions: list[IdempotentAction] = []
        while self._wakes and self._wakes[0][0] <= now:
            at, _, attempt = heapq.heappop(self._wakes)
            active = self._active.get(attempt)
            if active is not None and active.wake_at == at:
                actions += self._on_wake(now, active)
        return tuple(actions)

    def _on_wake(
        self, now: float, active: _ActiveRequest
    ) -> typing.Iterator[IdempotentAction]:
        """Fail at the deadline, or use another upstream."""
        if now >= active.deadline_at:
            yield from self._fail(active)
        elif active.is_backing_off:
            yield from self._place(now, active)
        else:
            yield from self._schedule_retry(now, active)

    def _place(
        self, now: float, active: _ActiveRequest
    ) -> typing.Iterator[IdempotentAction]:
        """Place the request on an upstream that it hasn't used."""
        active.is_backing_off = False
        left_s = active.deadline_at - now
        upstream = self._choose_upstream(active)
        if left_s <= DEADLINE_MARGIN_S or upstream is None:
            yield from self._wait_or_fail(active)
            return
        token = self._new_token()
        active.placements[token] = upstream
        active.excluded.add(upstream)
        active.placement_count += 1
        self._tokens[token] = active.arrival.attempt
        yield PlaceIdempotent(
            token, upstream, int(left_s * 1000), active.arrival.handle
        )
        self._wake(active, min(now + PLACEMENT_TIMEOUT_S, active.deadline_at))

    def _schedule_retry(
        self, now: float, active: _ActiveRequest
    ) -> typing.Iterator[IdempotentAction]:
        """Schedule a retry with backoff, if the budget allows it."""
        pause_s = BACKOFF_S * 2**active.placement_count
        pause_s *= 0.5 + self._rng.random()
        at = now + pause_s
        is_bound = active.arrival.upstream is not None
        if (
            is_bound
            or active.placement_count >= MAX_PLACEMENTS
            or at >= active.deadline_at
        ):
            yield from self._wait_or_fail(active)
        elif not self.budgets[active.arrival.service].spend():
            yield from self._wait_or_fail(active)
        else:
            active.is_backing_off = True
            self._wake(active, at)

    def _wait_or_fail(
        self, active: _ActiveRequest
    ) -> typing.Iterator[IdempotentAction]:
        """Wait for the open placements; without any, fail at once."""
        if active.placements:
            self._wake(active, active.deadline_at)
        else:
            yield from self._fail(active)

    def _fail(
        self, active: _ActiveRequest
    ) -> typing.Iterator[IdempotentAction]:
        """Report the failure and cancel the open placements."""
        yield self._final_action(active)
        yield from self._close(active)

    def _final_action(self, active: _ActiveRequest) -> IdempotentAction:
        """Return the report on a request that failed: not run, or unknown."""
        arrival = active.arrival
        base_s = max(active.retry_after_s, MIN_RETRY_AFTER_S)
        retry_s = base_s + RETRY_JITTER_S * self._rng.random()
        is_proven = not active.placements and not active.may_have_run
        if arrival.is_safe and is_proven:
            return _actions.Refuse(arrival.attempt, arrival.handle, retry_s)
        return _actions.Unknown(arrival.attempt, arrival.handle, retry_s)

    def _close(self, active: _ActiveRequest) -> list[IdempotentAction]:
        """Remove a request; return the cancellations of its placements."""
        self._active.pop(active.arrival.attempt, None)
        for token in active.placements:
            del self._tokens[token]
        return [CancelIdempotent(*item) for item in active.placements.items()]

    def _end_placement(
        self, active: _ActiveRequest, token: PlacementToken
    ) -> None:
        """Remove a placement that isn't awaited any more."""
        del self._tokens[token]
        del active.placements[token]

    def _find(self, token: PlacementToken) -> _ActiveRequest | None:
        """Return the request of a placement that is still awaited."""
        attempt = self._tokens.get(token)
        if attempt is None:
            return None
        return self._active[attempt]

    def _choose_upstream(
        self, active: _ActiveRequest
    ) -> ids.UpstreamId | None:
        """Return the upstream for the next placement, if there is one."""
        arrival = active.arrival
        if arrival.upstream is None:
            return self._choose(arrival.service, active.excluded)
        is_new = arrival.upstream not in active.excluded
        return arrival.upstream if is_new else None

    def _wake(self, active: _ActiveRequest, at: float) -> None:
        """Set the timer of the request to ``at``."""
        active.wake_at = at
        item = (at, next(self._serial), active.arrival.attempt)
        heapq.heappush(self._wakes, item)

    def _new_token(self) -> PlacementToken:
        """Return a token that is unique on this host."""
        self._next_token = (self._next_token + 1) & (2**64 - 1)
        return PlacementToken(self._next_token)
