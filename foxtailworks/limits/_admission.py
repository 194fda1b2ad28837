"""Lets requests of one service in: rate, in flight, priority, deadline."""

import collections
import dataclasses
import random

from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks.limits import _bucket
from foxtailworks.limits import _shares

MAX_QUEUED = 256
MAX_WAIT_S = 0.5
HIGH_PER_NORMAL = 4
HIGH_RESERVE = 0.1
HOLD_S = 1.0
REFRESH_S = 0.05
MEASURE_S = 0.25
SMOOTHING = 0.3
RETRY_SPREAD_S = 2.0
_High = contracts.Priority.HIGH
_Resource = _shares.Resource


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to be let in."""

    number: int
    """Names it until it is done."""
    priority: contracts.Priority
    deadline_at: float
    handle: object
    """The program's own."""
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Place the request now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """Refuse the request: it wasn't let in."""

    ticket: Ticket
    retry_after_s: float


Decision = Admit | Reject


@dataclasses.dataclass(slots=True)
class _Meter:
    """What the traffic here would use, measured over short spans."""

    since: float = 0.0
    offered: int = 0
    peak: int = 0
    rate: float = 0.0
    depth: float = 0.0

    def turn(self, now: float) -> None:
        """End a span."""
        span_s = max(now - self.since, MEASURE_S)
        self.rate += SMOOTHING * (self.offered / span_s - self.rate)
        self.depth = max(self.peak, self.depth * (1 - SMOOTHING))
        self.since, self.offered, self.peak = now, 0, 0


class Admission:
    """Admits, queues or refuses requests of one service of a customer.

    High priority goes first, but for one normal request after each
    ``HIGH_PER_NORMAL`` when both wait, and a tenth of what may be in flight
    is kept for it.  What can't be answered by its deadline at the present
    pace is refused on arrival.  Customers and services share no queue.

    :param customer: whose service it is
    :param service: its name
    :param shares: this host's shares of the limits
    :param rng: spreads the times to come back
    """

    def __init__(
        self,
        customer: ids.CustomerId,
        service: ids.ServiceId,
        shares: _shares.Shares,
        rng: random.Random,
    ) -> None:
        self._shares = shares
        self._rng = rng
        self._rate = _shares.LimitId(
            customer, service, _Resource.REQUESTS_PER_S
        )
        self._flight = _shares.LimitId(customer, service, _Resource.IN_FLIGHT)
        self._queues: dict[contracts.Priority, collections.deque[Ticket]] = {
            item: collections.deque() for item in contracts.Priority
        }
        self._bucket = _bucket.TokenBucket()
        self._window = _bucket.Window()
        self._in_flight: dict[int, Ticket] = {}
        self._limit = 0
        self._fresh_until = 0.0
        self._meter = _Meter()
        self._highs = 0
        self._took_s = 0.0
        self._pace_s = 0.0
        self._admitted_at = 0.0

    @property
    def in_flight(self) -> int:
        """Return how many requests are placed and not done."""
        return len(self._in_flight)

    @property
    def queue_length(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues.values())

    def offer(self, now: float, ticket: Ticket) -> tuple[Decision, ...]:
        """Decide over a request; nothing is returned while it waits."""
        self._meter.offered += 1
        self._refresh(now)
        queue = self._queues[ticket.priority]
        if not queue and self._has_room(ticket.priority):
            return (self._admit(now, ticket),)
        if len(queue) >= MAX_QUEUED or self._is_hopeless(now, ticket):
            return (self._reject(ticket),)
        queue.append(ticket)
        return ()

    def finish(
        self, now: float, number: int, is_success: bool
    ) -> tuple[Decision, ...]:
        """Take in that a request has ended.

        :param is_good: answered in time; not shed, late or given up
        """
        ticket = self._in_flight.pop(number, None)
        if ticket is None:
            return ()
        if is_success:
            self._window.good(len(self._in_flight) + 1)
        else:
            self._window.bad(now)
        return self._serve(now)

    def reset_demand(self) -> None:
        """Take in that the traffic has ended: nothing is wanted."""
        self._meter = _Meter()
        self._shares.set_demand(self._rate, 0.0)
        self._shares.set_demand(self._flight, 0.0)

    def record_latency(self, seconds: float) -> None:
        """Take in how long an upstream took to answer."""
        self._took_s += SMOOTHING * (seconds - self._took_s)

    def tick(self, now: float) -> tuple[Decision, ...]:
        """Refuse what waited too long, let in what fits; call it often."""
        if now >= self._meter.since + MEASURE_S:
            self._meter.turn(now)
            self._shares.set_demand(self._rate, self._meter.rate)
            self._shares.set_demand(self._flight, self._meter.depth)
        self._fresh_until = 0.0
        expired = [
            self._reject(ticket)
            for queue in self._queues.values()
            for ticket in self._take_expired(now, queue)
        ]
        return (*expired, *self._serve(now))

    def _refresh(self, now: float) -> None:
        """Look up this host's shares, at most every ``REFRESH_S``."""
        if now < self._fresh_until:
            self._bucket.refill(now, self._bucket.rate)
            return
        self._fresh_until = now + REFRESH_S
        self._bucket.refill(now, self._shares.share(now, self._rate))
        share = self._shares.share(now, self._flight, HOLD_S)
        self._limit = int(share + _shares.ROUNDING)

    def _has_room(self, priority: contracts.Priority) -> bool:
        """Return whether one more request may be placed now."""
        room = min(self._limit, self._window.size)
        if priority is not _High:
            room *= 1 - HIGH_RESERVE if room >= 1 / HIGH_RESERVE else 1
        return self._bucket.tokens >= 1.0 and len(self._in_flight) + 1 <= room

    def _admit(self, now: float, ticket: Ticket) -> Admit:
        """Let a request in."""
        self._bucket.take()
        self._in_flight[ticket.number] = ticket
        depth = len(self._in_flight) + self.queue_length
        self._meter.peak = max(self._meter.peak, depth)
        gap_s = min(now - self._admitted_at, MAX_WAIT_S)
        self._pace_s += SMOOTHING / 4 * (gap_s - self._pace_s)
        self._admitted_at = now
        return Admit(ticket)

    def _reject(self, ticket: Ticket) -> Reject:
        """Refuse a request, with a spread time to come back."""
        wait_s = MAX_WAIT_S + RETRY_SPREAD_S * self._rng.random()
        return Reject(ticket, wait_s)

    def _serve(self, now: float) -> tuple[Decision, ...]:
        """Let waiting requests in while there is room."""
        self._refresh(now)
        admitted: list[Decision] = []
        while True:
            priority = self._next_priority()
            if priority is None or not self._has_room(priority):
                return tuple(admitted)
            ticket = self._queues[priority].popleft()
            if self._is_late(now, ticket):
                admitted.append(self._reject(ticket))
            else:
                admitted.append(self._admit(now, ticket))

    def _next_priority(self) -> contracts.Priority | None:
        """Return whose turn it is, or none when nobody waits."""
        high = self._queues[_High]
        normal = self._queues[contracts.Priority.NORMAL]
        if not high or not normal:
            waiting = _High if high else contracts.Priority.NORMAL
            return waiting if high or normal else None
        self._highs += 1
        if self._highs > HIGH_PER_NORMAL:
            self._highs = 0
            return contracts.Priority.NORMAL
        return _High

    def _is_hopeless(self, now: float, ticket: Ticket) -> bool:
        """Return whether it can't be served in time at the present pace."""
        ahead = len(self._queues[ticket.priority])
        slower = HIGH_PER_NORMAL + 1 if self._queues[_High] else 1
        if ticket.priority is _High:
            slower = 1
        wait_s = (ahead + 1) * slower * self._pace_s
        if wait_s > MAX_WAIT_S:
            return True
        return now + wait_s + self._took_s > ticket.deadline_at

    def _is_late(self, now: float, ticket: Ticket) -> bool:
        """Return whether a waiting request must be refused by now."""
        if now - ticket.arrived_at > MAX_WAIT_S:
            return True
        return now + self._took_s > ticket.deadline_at

    def _take_expired(
        self, now: float, queue: collections.deque[Ticket]
    ) -> list[Ticket]:
        """Remove and return what waited too long."""
        late = [ticket for ticket in queue if self._is_late(now, ticket)]
        if late:
            kept = [item for item in queue if not self._is_late(now, item)]
            queue.clear()
            queue.extend(kept)
        return late
