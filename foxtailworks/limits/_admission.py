"""Admission of requests by rate, number in flight, priority, deadline."""

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
HIGH_PRIORITY_RESERVE = 0.1
HOLD_S = 1.0
"""Leases that end within this time don't count for requests in flight."""
REFRESH_S = 0.05
MEASURE_S = 0.25
"""Minimum span over which the demand is measured."""
SMOOTHING = 0.3
"""Weight of the newest value in exponential averages."""
RETRY_SPREAD_S = 2.0
"""Range of the random part of the time after which callers may retry."""
_HIGH = contracts.Priority.HIGH
_Resource = _shares.Resource


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that is offered for admission."""

    number: int
    """Id of the request until it has ended."""
    priority: contracts.Priority
    deadline_at: float
    handle: object
    """Object of the caller, which the decision returns."""
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Decision to place the request now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """Decision to reject the request, which hasn't been placed."""

    ticket: Ticket
    retry_after_s: float


Decision = Admit | Reject


@dataclasses.dataclass(slots=True)
class _Meter:
    """Demand of the traffic on this host, measured over short spans."""

    since: float = 0.0
    """Start of the current span."""
    offered: int = 0
    """Requests offered in the current span."""
    peak: int = 0
    """Most requests in flight or queued in the current span."""
    rate: float = 0.0
    """Average of the requests offered per second."""
    depth: float = 0.0
    """Recent peak, which decays."""

    def end_span(self, now: float) -> None:
        """Update the averages from a span and start the next one."""
        span_s = max(now - self.since, MEASURE_S)
        self.rate += SMOOTHING * (self.offered / span_s - self.rate)
        self.depth = max(self.peak, self.depth * (1 - SMOOTHING))
        self.since, self.offered, self.peak = now, 0, 0


class Admission:
    """Admission, queueing and rejection of requests of one service.

    High priority goes first, except for one normal request after each
    ``HIGH_PER_NORMAL`` if both wait, and a tenth of the requests in flight
    is reserved for it.  A request that can't be answered by its deadline at
    the current rate of admission is rejected on arrival.  Customers and
    services share no queue.

    :param customer: customer that the service belongs to
    :param service: name of the service
    :param shares: this host's shares of the limits
    :param rng: randomizes the times after which callers may retry
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
        self._rate_limit = _shares.LimitId(
            customer, service, _Resource.REQUESTS_PER_S
        )
        self._in_flight_limit = _shares.LimitId(
            customer, service, _Resource.IN_FLIGHT
        )
        self._queues: dict[contracts.Priority, collections.deque[Ticket]] = {
            item: collections.deque() for item in contracts.Priority
        }
        self._bucket = _bucket.TokenBucket()
        self._window = _bucket.Window()
        self._in_flight: dict[int, Ticket] = {}
        self._max_in_flight = 0
        self._share_valid_until = 0.0
        self._meter = _Meter()
        self._consecutive_highs = 0
        self._latency_s = 0.0
        self._admit_interval_s = 0.0
        self._admitted_at = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are placed and not ended."""
        return len(self._in_flight)

    @property
    def queue_length(self) -> int:
        """Return the number of requests that are queued."""
        return sum(len(queue) for queue in self._queues.values())

    def offer(self, now: float, ticket: Ticket) -> tuple[Decision, ...]:
        """Decide about a request; return nothing if it is queued."""
        self._meter.offered += 1
        self._refresh(now)
        queue = self._queues[ticket.priority]
        if not queue and self._has_capacity(ticket.priority):
            return (self._admit(now, ticket),)
        if len(queue) >= MAX_QUEUED or self._cannot_meet_deadline(now, ticket):
            return (self._reject(ticket),)
        queue.append(ticket)
        return ()

    def finish(
        self, now: float, number: int, is_success: bool
    ) -> tuple[Decision, ...]:
        """Record the end of a request and admit queued ones.

        :param is_success: answered in time; not shed, late or abandoned
        """
        ticket = self._in_flight.pop(number, None)
        if ticket is None:
            return ()
        if is_success:
            self._window.on_success(len(self._in_flight) + 1)
        else:
            self._window.on_overload(now)
        return self._admit_queued(now)

    def reset_demand(self) -> None:
        """Set the demand to 0 after the traffic has ended."""
        self._meter = _Meter()
        self._shares.set_demand(self._rate_limit, 0.0)
        self._shares.set_demand(self._in_flight_limit, 0.0)

    def record_latency(self, seconds: float) -> None:
        """Update the average latency of the upstreams, in seconds."""
        self._latency_s += SMOOTHING * (seconds - self._latency_s)

    def tick(self, now: float) -> tuple[Decision, ...]:
        """Reject expired requests and admit others; must be called often."""
        if now >= self._meter.since + MEASURE_S:
            self._meter.end_span(now)
            self._shares.set_demand(self._rate_limit, self._meter.rate)
            self._shares.set_demand(self._in_flight_limit, self._meter.depth)
        self._share_valid_until = 0.0
        expired = [
            self._reject(ticket)
            for queue in self._queues.values()
            for ticket in self._take_expired(now, queue)
        ]
        return (*expired, *self._admit_queued(now))

    def _refresh(self, now: float) -> None:
        """Update the limits from the shares, at most every ``REFRESH_S``."""
        if now < self._share_valid_until:
            self._bucket.refill(now, self._bucket.rate)
            return
        self._share_valid_until = now + REFRESH_S
        self._bucket.refill(now, self._shares.share(now, self._rate_limit))
        share = self._shares.share(now, self._in_flight_limit, HOLD_S)
        self._max_in_flight = int(share + _shares.ROUNDING)

    def _has_capacity(self, priority: contracts.Priority) -> bool:
        """Return whether one more request may be placed now."""
        capacity = min(self._max_in_flight, self._window.size)
        if priority is not _HIGH:
            capacity *= (
                1 - HIGH_PRIORITY_RESERVE
                if capacity >= 1 / HIGH_PRIORITY_RESERVE
                else 1
            )
        return (
            self._bucket.tokens >= 1.0 and len(self._in_flight) + 1 <= capacity
        )

    def _admit(self, now: float, ticket: Ticket) -> Admit:
        """Admit a request and count it as in flight."""
        self._bucket.take()
        self._in_flight[ticket.number] = ticket
        depth = len(self._in_flight) + self.queue_length
        self._meter.peak = max(self._meter.peak, depth)
        gap_s = min(now - self._admitted_at, MAX_WAIT_S)
        self._admit_interval_s += (
            SMOOTHING / 4 * (gap_s - self._admit_interval_s)
        )
        self._admitted_at = now
        return Admit(ticket)

    def _reject(self, ticket: Ticket) -> Reject:
        """Reject a request, with a randomized time after which to retry."""
        wait_s = MAX_WAIT_S + RETRY_SPREAD_S * self._rng.random()
        return Reject(ticket, wait_s)

    def _admit_queued(self, now: float) -> tuple[Decision, ...]:
        """Admit queued requests while capacity lasts; reject expired ones."""
        self._refresh(now)
        decisions: list[Decision] = []
        while True:
            priority = self._next_priority()
            if priority is None or not self._has_capacity(priority):
                return tuple(decisions)
            ticket = self._queues[priority].popleft()
            if self._is_expired(now, ticket):
                decisions.append(self._reject(ticket))
            else:
                decisions.append(self._admit(now, ticket))

    def _next_priority(self) -> contracts.Priority | None:
        """Return the priority to admit next, None if no request waits."""
        high = self._queues[_HIGH]
        normal = self._queues[contracts.Priority.NORMAL]
        if not high or not normal:
            waiting = _HIGH if high else contracts.Priority.NORMAL
            return waiting if high or normal else None
        self._consecutive_highs += 1
        if self._consecutive_highs > HIGH_PER_NORMAL:
            self._consecutive_highs = 0
            return contracts.Priority.NORMAL
        return _HIGH

    def _cannot_meet_deadline(self, now: float, ticket: Ticket) -> bool:
        """Return whether a request would wait too long or end too late."""
        ahead = len(self._queues[ticket.priority])
        slowdown = HIGH_PER_NORMAL + 1 if self._queues[_HIGH] else 1
        if ticket.priority is _HIGH:
            slowdown = 1
        wait_s = (ahead + 1) * slowdown * self._admit_interval_s
        if wait_s > MAX_WAIT_S:
            return True
        return now + wait_s + self._latency_s > ticket.deadline_at

    def _is_expired(self, now: float, ticket: Ticket) -> bool:
        """Return whether a queued request has to be rejected by now."""
        if now - ticket.arrived_at > MAX_WAIT_S:
            return True
        return now + self._latency_s > ticket.deadline_at

    def _take_expired(
        self, now: float, queue: collections.deque[Ticket]
    ) -> list[Ticket]:
        """Remove and return the requests that waited too long."""
        expired = [ticket for ticket in queue if self._is_expired(now, ticket)]
        if expired:
            kept = [item for item in queue if not self._is_expired(now, item)]
            queue.clear()
            queue.extend(kept)
        return expired
