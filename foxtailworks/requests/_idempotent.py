"""Places requests that may be repeated, with bounded retries."""

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
MAX_TRIES = 3
TRY_TIMEOUT_S = 0.5
BACK_OFF_S = 0.02
MIN_RETRY_AFTER_S = 1.0
RETRY_SPREAD_S = 2.0
GIVE_UP_MARGIN_S = 0.02

# Token of one try at one upstream; the upstream's answer carries it back.
PlacementToken = typing.NewType("PlacementToken", int)


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotentRequest:
    """A GET, PUT or DELETE as this host got it."""

    attempt: _messages.AttemptId
    service: ids.ServiceId
    remaining_ms: int
    """Until its deadline, as of now."""
    handle: object
    """The program's own: who is answered."""
    is_safe: bool = True
    """GET: that another host may run its copy changes nothing."""
    upstream: ids.UpstreamId | None = None
    """The only one allowed: that of the body's other blocks."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceIdempotent:
    """Send the request to an upstream now."""

    token: PlacementToken
    upstream: ids.UpstreamId
    remaining_ms: int
    handle: object


@dataclasses.dataclass(frozen=True, slots=True)
class CancelIdempotent:
    """Tell an upstream that a try isn't waited for any more."""

    token: PlacementToken
    upstream: ids.UpstreamId


TryAction = (
    PlaceIdempotent
    | CancelIdempotent
    | _actions.Answer
    | _actions.Refuse
    | _actions.Unknown
)


@dataclasses.dataclass(slots=True)
class _Running:
    """A request that hasn't been answered."""

    arrival: IdempotentRequest
    deadline_at: float
    tries: dict[PlacementToken, ids.UpstreamId] = dataclasses.field(
        default_factory=dict
    )
    """Tries whose upstream hasn't answered."""
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    count: int = 0
    is_unproven: bool = False
    """A try was lost with its upstream and may have run."""
    retry_after_s: float = 0.0
    wake_at: float = 0.0
    is_backing_off: bool = False


class IdempotentRequests:
    """Places each request and retries it on another upstream.

    A retry needs the budget of its service, time before the deadline and
    an upstream that wasn't tried.  Each try has its own token, so that an
    answer reaches only the request that it belongs to, and only once.

    :param host: this host
    :param incarnation: of this start of the process
    :param choose: upstream for a service, but for some; none if there is none
    :param rng: spreads retries
    :param max_requests: how many may be under way
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
        self._running: dict[_messages.AttemptId, _Running] = {}
        self._tokens: dict[PlacementToken, _messages.AttemptId] = {}
        self._wakes: list[tuple[float, int, _messages.AttemptId]] = []
        self._serial = itertools.count(1)
        seed = xxhash.xxh3_64_intdigest(f"{host}|{incarnation}".encode())
        self._next_token = seed
        self.budgets: dict[ids.ServiceId, _budget.RetryBudget] = {}

    def __len__(self) -> int:
        """Return how many requests are under way."""
        return len(self._running)

    def request(
        self, now: float, arrival: IdempotentRequest
    ) -> tuple[TryAction, ...]:
        """Place a request; a retransmission of one under way is dropped."""
        if arrival.attempt in self._running:
            return ()
        deadline_at = now + arrival.remaining_ms / 1000
        running = _Running(arrival, deadline_at)
        if len(self._running) >= self._max:
            return (self._final(running),)
        budget = self.budgets.setdefault(
            arrival.service, _budget.RetryBudget()
        )
        budget.earn()
        self._running[arrival.attempt] = running
        return tuple(self._try(now, running))

    def on_answer(
        self, token: PlacementToken, answer: bytes
    ) -> tuple[TryAction, ...]:
        """Take in an upstream's whole answer to one try."""
        running = self._find(token)
        if running is None:
            return ()
        self._end_try(running, token)
        cancels = self._close(running)
        arrival = running.arrival
        return (
            _actions.Answer(arrival.attempt, arrival.handle, answer),
            *cancels,
        )

    def on_shed(
        self, now: float, token: PlacementToken, retry_after_s: float = 0.0
    ) -> tuple[TryAction, ...]:
        """Take in that an upstream didn't run a try and won't."""
        running = self._find(token)
        if running is None:
            return ()
        self._end_try(running, token)
        running.retry_after_s = max(running.retry_after_s, retry_after_s)
        if running.tries:
            return ()
        return tuple(self._retry_later(now, running))

    def on_upstream_lost(
        self, now: float, upstream: ids.UpstreamId
    ) -> tuple[TryAction, ...]:
        """Retry at once what was placed on a dead upstream."""
        lost = [
            (token, running)
            for running in self._running.values()
            for token, name in running.tries.items()
            if name == upstream
        ]
        actions: list[TryAction] = []
        for token, running in lost:
            self._end_try(running, token)
            running.is_unproven = True
            if not running.tries:
                actions += self._retry_later(now, running)
        return tuple(actions)

    def on_caller_cancelled(
        self, attempt: _messages.AttemptId
    ) -> tuple[TryAction, ...]:
        """Take in that the caller has given up; pass it on."""
        running = self._running.get(attempt)
        return () if running is None else tuple(self._close(running))

    def tick(self, now: float) -> tuple[TryAction, ...]:
        """Do what is due; call it some times a second."""
        actions: list[TryAction] = []
        while self._wakes and self._wakes[0][0] <= now:
            at, _, attempt = heapq.heappop(self._wakes)
            running = self._running.get(attempt)
            if running is not None and running.wake_at == at:
                actions += self._on_wake(now, running)
        return tuple(actions)

    def _on_wake(
        self, now: float, running: _Running
    ) -> typing.Iterator[TryAction]:
        """Stop at the deadline, or try another upstream."""
        if now >= running.deadline_at:
            yield from self._give_up(running)
        elif running.is_backing_off:
            yield from self._try(now, running)
        else:
            yield from self._retry_later(now, running)

    def _try(
        self, now: float, running: _Running
    ) -> typing.Iterator[TryAction]:
        """Place the request on an upstream that wasn't tried."""
        running.is_backing_off = False
        left_s = running.deadline_at - now
        upstream = self._pick(running)
        if left_s <= GIVE_UP_MARGIN_S or upstream is None:
            yield from self._wait_or_give_up(running)
            return
        token = self._new_token()
        running.tries[token] = upstream
        running.excluded.add(upstream)
        running.count += 1
        self._tokens[token] = running.arrival.attempt
        yield PlaceIdempotent(
            token, upstream, int(left_s * 1000), running.arrival.handle
        )
        self._wake(running, min(now + TRY_TIMEOUT_S, running.deadline_at))

    def _retry_later(
        self, now: float, running: _Running
    ) -> typing.Iterator[TryAction]:
        """Back off and try again, if the budget allows it."""
        pause_s = BACK_OFF_S * 2**running.count
        pause_s *= 0.5 + self._rng.random()
        at = now + pause_s
        is_bound = running.arrival.upstream is not None
        if is_bound or running.count >= MAX_TRIES or at >= running.deadline_at:
            yield from self._wait_or_give_up(running)
        elif not self.budgets[running.arrival.service].spend():
            yield from self._wait_or_give_up(running)
        else:
            running.is_backing_off = True
            self._wake(running, at)

    def _wait_or_give_up(
        self, running: _Running
    ) -> typing.Iterator[TryAction]:
        """Wait on for tries under way; without any, give up at once."""
        if running.tries:
            self._wake(running, running.deadline_at)
        else:
            yield from self._give_up(running)

    def _give_up(self, running: _Running) -> typing.Iterator[TryAction]:
        """Give the final answer and cancel what is under way."""
        yield self._final(running)
        yield from self._close(running)

    def _final(self, running: _Running) -> TryAction:
        """Return the truth about a request that wasn't answered."""
        arrival = running.arrival
        base_s = max(running.retry_after_s, MIN_RETRY_AFTER_S)
        retry_s = base_s + RETRY_SPREAD_S * self._rng.random()
        is_proven = not running.tries and not running.is_unproven
        if arrival.is_safe and is_proven:
            return _actions.Refuse(arrival.attempt, arrival.handle, retry_s)
        return _actions.Unknown(arrival.attempt, arrival.handle, retry_s)

    def _close(self, running: _Running) -> list[TryAction]:
        """Forget a request; cancel its tries that are under way."""
        self._running.pop(running.arrival.attempt, None)
        for token in running.tries:
            del self._tokens[token]
        return [CancelIdempotent(*item) for item in running.tries.items()]

    def _end_try(self, running: _Running, token: PlacementToken) -> None:
        """Await a try no longer."""
        del self._tokens[token]
        del running.tries[token]

    def _find(self, token: PlacementToken) -> _Running | None:
        """Return the request of a try that is still waited for."""
        attempt = self._tokens.get(token)
        if attempt is None:
            return None
        return self._running[attempt]

    def _pick(self, running: _Running) -> ids.UpstreamId | None:
        """Return where to place the next try."""
        arrival = running.arrival
        if arrival.upstream is None:
            return self._choose(arrival.service, running.excluded)
        is_new = arrival.upstream not in running.excluded
        return arrival.upstream if is_new else None

    def _wake(self, running: _Running, at: float) -> None:
        """Look at the request again at ``at``."""
        running.wake_at = at
        item = (at, next(self._serial), running.arrival.attempt)
        heapq.heappush(self._wakes, item)

    def _new_token(self) -> PlacementToken:
        """Return a token that no other try of this host has."""
        self._next_token = (self._next_token + 1) & (2**64 - 1)
        return PlacementToken(self._next_token)
