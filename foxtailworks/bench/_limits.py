"""Benchmarks of admission and of leased shares of limits."""

from collections import abc
import dataclasses
import functools
import heapq
import itertools
import random
import typing

from foxtailworks.bench import _figure
from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks import limits

HOSTS = tuple(ids.HostId(f"h{i}") for i in range(6))
CUSTOMER = ids.CustomerId("balans")
SERVICE = ids.ServiceId("slot-desk")
UPSTREAMS = 7
SLOTS = 3
SERVICE_TIME_S = 0.05
UPSTREAM_QUEUE = 64
CAPACITY_PER_S = UPSTREAMS * SLOTS / SERVICE_TIME_S
DEADLINE_S = 1.0
HIGH_SHARE = 0.2
SECONDS = 20.0
WARM_UP_S = 5.0
TICK_S = 0.02
LINK_DELAY_S = 0.0005
WINDOW_S = 1.0
Event = typing.Callable[[], None]
_High = contracts.Priority.HIGH


class _EventLoop:
    """Runs events in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Event]] = []
        self._serial = itertools.count()

    def schedule(self, delay_s: float, event: Event) -> None:
        """Schedule ``event`` after ``delay_s`` seconds."""
        item = (self.now + delay_s, next(self._serial), event)
        heapq.heappush(self._events, item)

    def run(self, until: float) -> None:
        """Run events until virtual time ``until``."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def every(self, seconds: float, event: Event) -> None:
        """Run ``event`` at once and every ``seconds`` thereafter."""
        event()
        self.schedule(seconds, lambda: self.every(seconds, event))


@dataclasses.dataclass(slots=True)
class _Upstream:
    """An upstream with slots and a queue that sheds when full."""

    running: int = 0
    queue: list[Event] = dataclasses.field(default_factory=list)


class _OverloadSimulation:
    """Simulates hosts that offer more load than the upstreams can run."""

    def __init__(self, has_admission: bool, load: float, seed: int) -> None:
        self.loop = _EventLoop()
        self._rng = random.Random(seed)
        self._upstreams = [_Upstream() for _ in range(UPSTREAMS)]
        self._admissions: dict[ids.HostId, limits.Admission] = {}
        self._load = load
        self._serial = itertools.count()
        self.offered = dict.fromkeys(contracts.Priority, 0)
        self.answered_in_time = dict.fromkeys(contracts.Priority, 0)
        for host in HOSTS if has_admission else ():
            self._admissions[host] = self._make_admission(host)

    def _make_admission(self, host: ids.HostId) -> limits.Admission:
        """Return one host's admission, with limits above the load."""
        shares = limits.Shares(host, 0.0, True, self._rng)
        for resource in limits.Resource:
            limit = limits.LimitId(CUSTOMER, SERVICE, resource)
            shares.set_limit(limit, 2000.0, len(HOSTS))
        admission = limits.Admission(CUSTOMER, SERVICE, shares, self._rng)
        self.loop.every(
            TICK_S, lambda: self._decide(host, admission.tick(self.loop.now))
        )
        return admission

    def arrive(self) -> None:
        """Let one request arrive and schedule the next."""
        gap_s = self._rng.expovariate(CAPACITY_PER_S * self._load)
        self.loop.schedule(gap_s, self.arrive)
        is_high = self._rng.random() < HIGH_SHARE
        priority = _High if is_high else contracts.Priority.NORMAL
        now = self.loop.now
        ticket = limits.Ticket(
            next(self._serial), priority, now + DEADLINE_S, None, now
        )
        if now >= WARM_UP_S:
            self.offered[priority] += 1
        host = self._rng.choice(HOSTS)
        admission = self._admissions.get(host)
        if admission is None:
            self._place(host, ticket)
        else:
            self._decide(host, admission.offer(now, ticket))

    def _decide(
        self, host: ids.HostId, decisions: tuple[limits.Decision, ...]
    ) -> None:
        """Place the admitted requests."""
        for item in decisions:
            if isinstance(item, limits.Admit):
                self._place(host, item.ticket)

    def _place(self, host: ids.HostId, ticket: limits.Ticket) -> None:
        """Place a request at the less loaded of two random upstreams."""
        pair = self._rng.sample(self._upstreams, 2)
        upstream = min(pair, key=lambda u: u.running + len(u.queue))
        began = self.loop.now

        def finish() -> None:
            """End a request and start the next in the queue."""
            upstream.running -= 1
            if upstream.queue:
                upstream.queue.pop(0)()
            self._on_ended(host, ticket, began, True)

        def start() -> None:
            """Run the request in a slot."""
            upstream.running += 1
            self.loop.schedule(
                SERVICE_TIME_S * self._rng.uniform(0.5, 1.5), finish
            )

        if upstream.running < SLOTS:
            start()
        elif len(upstream.queue) < UPSTREAM_QUEUE:
            upstream.queue.append(start)
        else:
            self.loop.schedule(
                LINK_DELAY_S,
                lambda: self._on_ended(host, ticket, began, False),
            )

    def _on_ended(
        self,
        host: ids.HostId,
        ticket: limits.Ticket,
        began: float,
        is_answered: bool,
    ) -> None:
        """Pass the end of a request to admission; count answers in time."""
        now = self.loop.now
        is_in_time = is_answered and now <= ticket.deadline_at
        if is_in_time and ticket.arrived_at >= WARM_UP_S:
            self.answered_in_time[ticket.priority] += 1
        admission = self._admissions.get(host)
        if admission is not None:
            if is_answered:
                admission.record_latency(now - began)
            self._decide(
                host, admission.finish(now, ticket.number, is_in_time)
            )


def measure_goodput(
    has_admission: bool, load: float = 2.0
) -> dict[str, float]:
    """Return the percentage of requests answered in time, by priority.

    ``total`` is a percentage of the upstreams' capacity.
    """
    simulation = _OverloadSimulation(has_admission, load, 7)
    simulation.arrive()
    simulation.loop.run(WARM_UP_S + SECONDS)
    shares = {
        item.value: 100.0
        * simulation.answered_in_time[item]
        / simulation.offered[item]
        for item in contracts.Priority
    }
    most = CAPACITY_PER_S * SECONDS
    shares["total"] = 100.0 * sum(simulation.answered_in_time.values()) / most
    return shares


class _RateLimitSimulation:
    """Simulates requests above a rate limit that all hosts share."""

    def __init__(self, limit: float, moves_traffic: bool, seed: int) -> None:
        self.loop = _EventLoop()
        self._rng = random.Random(seed)
        self._limit = limit
        self._moves_traffic = moves_traffic
        self._busy_hosts: tuple[ids.HostId, ...] = HOSTS
        self.admitted: list[float] = []
        self.sent_bytes = 0
        self._codec = limits.make_codec()
        self._shares: dict[ids.HostId, limits.Shares] = {}
        self._admissions: dict[ids.HostId, limits.Admission] = {}
        self._serial = itertools.count()
        for host in HOSTS:
            self._start(host)

    def _start(self, host: ids.HostId) -> None:
        """Start a host with an even share of the limit."""
        shares = limits.Shares(host, 0.0, True, self._rng)
        shares.set_live_hosts(HOSTS)
        for resource in limits.Resource:
            amount = self._limit
            if resource is not limits.Resource.REQUESTS_PER_S:
                amount = 1e6
            limit = limits.LimitId(CUSTOMER, SERVICE, resource)
            shares.set_limit(limit, amount, len(HOSTS))
        self._shares[host] = shares
        admission = limits.Admission(CUSTOMER, SERVICE, shares, self._rng)
        self._admissions[host] = admission
        self.loop.every(TICK_S, lambda: self._tick(host))

    def _tick(self, host: ids.HostId) -> None:
        """Run the timers of one host."""
        now = self.loop.now
        self._decide(host, self._admissions[host].tick(now))
        self._send_all(host, self._shares[host].tick(now))

    def _send_all(
        self, host: ids.HostId, sends: tuple[limits.Send, ...]
    ) -> None:
        """Send messages between hosts through the codec."""
        for item in sends:
            data = self._codec.encode(item.message)
            self.sent_bytes += len(data)
            self.loop.schedule(
                LINK_DELAY_S, self._make_delivery(host, item.host, data)
            )

    def _make_delivery(
        self, source: ids.HostId, target: ids.HostId, data: bytes
    ) -> Event:
        """Return the event that delivers a message."""

        def deliver() -> None:
            """Decode the message and deliver it to its target."""
            message = self._codec.decode(data)
            shares = self._shares[target]
            self._send_all(
                target, shares.receive(self.loop.now, source, message)
            )

        return deliver

    def arrive(self) -> None:
        """Let a request arrive at a busy host, at twice the limit's rate."""
        self.loop.schedule(self._rng.expovariate(2 * self._limit), self.arrive)
        host = self._rng.choice(self._busy_hosts)
        now = self.loop.now
        ticket = limits.Ticket(
            next(self._serial), contracts.Priority.NORMAL, now + 1, None, now
        )
        self._decide(host, self._admissions[host].offer(now, ticket))

    def move_traffic(self) -> None:
        """Move all traffic to one or two random hosts."""
        if self._moves_traffic:
            self._busy_hosts = tuple(
                self._rng.sample(HOSTS, self._rng.choice([1, 2]))
            )

    def _decide(
        self, host: ids.HostId, decisions: tuple[limits.Decision, ...]
    ) -> None:
        """Count the admitted requests and end each after 1 ms."""
        for item in decisions:
            if isinstance(item, limits.Admit):
                self.admitted.append(self.loop.now)
                end = functools.partial(self._end, host, item.ticket.number)
                self.loop.schedule(0.001, end)

    def _end(self, host: ids.HostId, number: int) -> None:
        """Report the end of a request to admission."""
        admission = self._admissions[host]
        self._decide(host, admission.finish(self.loop.now, number, True))


@dataclasses.dataclass(frozen=True)
class RateLimitResult:
    """Accuracy with which a rate limit was kept."""

    overshoot_percent: float
    """Excess of the busiest second over the limit, in percent."""
    used_percent: float
    """Mean rate of admitted requests, in percent of the limit."""
    bytes_per_s_per_host: float
    """Control bytes that a host sends a second."""


def measure_overshoot(
    moves_traffic: bool, limit: float = 600.0
) -> RateLimitResult:
    """Measure how closely a limit is kept under twice its load."""
    simulation = _RateLimitSimulation(limit, moves_traffic, 5)
    simulation.loop.every(8.0, simulation.move_traffic)
    simulation.arrive()
    end_s = WARM_UP_S + 2 * SECONDS
    simulation.loop.run(end_s)
    times = [at for at in simulation.admitted if at >= WARM_UP_S]
    first = 0
    worst = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    rate = len(times) / (end_s - WARM_UP_S)
    return RateLimitResult(
        100.0 * (worst / WINDOW_S / limit - 1.0),
        100.0 * rate / limit,
        simulation.sent_bytes / end_s / len(HOSTS),
    )


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield all figures of admission and limits."""
    with_admission = measure_goodput(True)
    without_admission = measure_goodput(False)
    for name, value in with_admission.items():
        yield _figure.Figure(
            f"goodput_at_200_percent_{name}",
            value,
            "percent",
            without_admission[name],
        )
    for name, moves_traffic in (("steady", False), ("moving", True)):
        result = measure_overshoot(moves_traffic)
        yield _figure.Figure(
            f"limit_overshoot_percent_{name}",
            result.overshoot_percent,
            "percent",
            target=10.0,
        )
        yield _figure.Figure(
            f"limit_used_percent_{name}", result.used_percent, "percent"
        )
        yield _figure.Figure(
            f"lease_bytes_per_s_per_host_{name}",
            result.bytes_per_s_per_host,
            "B/s",
        )
