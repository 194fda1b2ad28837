"""Benchmarks of admission and of shares of limits."""

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
RUN_S = 0.05
UPSTREAM_QUEUE = 64
CAPACITY_PER_S = UPSTREAMS * SLOTS / RUN_S
DEADLINE_S = 1.0
HIGH_SHARE = 0.2
SECONDS = 20.0
WARM_UP_S = 5.0
TICK_S = 0.02
LINK_S = 0.0005
WINDOW_S = 1.0
Event = typing.Callable[[], None]
_High = contracts.Priority.HIGH


class _Loop:
    """Virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Event]] = []
        self._serial = itertools.count()

    def at(self, delay_s: float, event: Event) -> None:
        """Do ``event`` later."""
        item = (self.now + delay_s, next(self._serial), event)
        heapq.heappush(self._events, item)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def every(self, seconds: float, event: Event) -> None:
        """Do ``event`` again and again."""
        event()
        self.at(seconds, lambda: self.every(seconds, event))


@dataclasses.dataclass(slots=True)
class _Upstream:
    """Some slots and a queue; sheds when the queue is full."""

    running: int = 0
    queue: list[Event] = dataclasses.field(default_factory=list)


class _Overload:
    """Hosts that offer twice what the upstreams can do."""

    def __init__(self, has_admission: bool, load: float, seed: int) -> None:
        self.loop = _Loop()
        self._rng = random.Random(seed)
        self._upstreams = [_Upstream() for _ in range(UPSTREAMS)]
        self._doors: dict[ids.HostId, limits.Admission] = {}
        self._load = load
        self._serial = itertools.count()
        self.offered = dict.fromkeys(contracts.Priority, 0)
        self.good = dict.fromkeys(contracts.Priority, 0)
        for host in HOSTS if has_admission else ():
            self._doors[host] = self._make_door(host)

    def _make_door(self, host: ids.HostId) -> limits.Admission:
        """Return the admission of one host; its contract is generous."""
        shares = limits.Shares(host, 0.0, True, self._rng)
        for resource in limits.Resource:
            limit = limits.LimitId(CUSTOMER, SERVICE, resource)
            shares.set_limit(limit, 2000.0, len(HOSTS))
        door = limits.Admission(CUSTOMER, SERVICE, shares, self._rng)
        self.loop.every(
            TICK_S, lambda: self._decide(host, door.tick(self.loop.now))
        )
        return door

    def arrive(self) -> None:
        """Let one request arrive and plan the next."""
        gap_s = self._rng.expovariate(CAPACITY_PER_S * self._load)
        self.loop.at(gap_s, self.arrive)
        is_high = self._rng.random() < HIGH_SHARE
        priority = _High if is_high else contracts.Priority.NORMAL
        now = self.loop.now
        ticket = limits.Ticket(
            next(self._serial), priority, now + DEADLINE_S, None, now
        )
        if now >= WARM_UP_S:
            self.offered[priority] += 1
        host = self._rng.choice(HOSTS)
        door = self._doors.get(host)
        if door is None:
            self._place(host, ticket)
        else:
            self._decide(host, door.offer(now, ticket))

    def _decide(
        self, host: ids.HostId, decisions: tuple[limits.Decision, ...]
    ) -> None:
        """Place what was let in."""
        for item in decisions:
            if isinstance(item, limits.Admit):
                self._place(host, item.ticket)

    def _place(self, host: ids.HostId, ticket: limits.Ticket) -> None:
        """Take the shorter queue of two upstreams."""
        pair = self._rng.sample(self._upstreams, 2)
        upstream = min(pair, key=lambda u: u.running + len(u.queue))
        began = self.loop.now

        def finish() -> None:
            """End a run and start the next."""
            upstream.running -= 1
            if upstream.queue:
                upstream.queue.pop(0)()
            self._done(host, ticket, began, True)

        def start() -> None:
            """Use a slot."""
            upstream.running += 1
            self.loop.at(RUN_S * self._rng.uniform(0.5, 1.5), finish)

        if upstream.running < SLOTS:
            start()
        elif len(upstream.queue) < UPSTREAM_QUEUE:
            upstream.queue.append(start)
        else:
            self.loop.at(
                LINK_S, lambda: self._done(host, ticket, began, False)
            )

    def _done(
        self,
        host: ids.HostId,
        ticket: limits.Ticket,
        began: float,
        is_answered: bool,
    ) -> None:
        """Count an answer in time."""
        now = self.loop.now
        is_good = is_answered and now <= ticket.deadline_at
        if is_good and ticket.arrived_at >= WARM_UP_S:
            self.good[ticket.priority] += 1
        door = self._doors.get(host)
        if door is not None:
            if is_answered:
                door.record_latency(now - began)
            self._decide(host, door.finish(now, ticket.number, is_good))


def measure_goodput(
    has_admission: bool, load: float = 2.0
) -> dict[str, float]:
    """Return percent of offered that is answered in time, by priority.

    ``total`` is in percent of what the upstreams can do.
    """
    bench = _Overload(has_admission, load, 7)
    bench.arrive()
    bench.loop.run(WARM_UP_S + SECONDS)
    shares = {
        item.value: 100.0 * bench.good[item] / bench.offered[item]
        for item in contracts.Priority
    }
    most = CAPACITY_PER_S * SECONDS
    shares["total"] = 100.0 * sum(bench.good.values()) / most
    return shares


class _Moving:
    """Traffic against a rate limit over all hosts."""

    def __init__(self, limit: float, does_move: bool, seed: int) -> None:
        self.loop = _Loop()
        self._rng = random.Random(seed)
        self._limit = limit
        self._does_move = does_move
        self._busy: tuple[ids.HostId, ...] = HOSTS
        self.admitted: list[float] = []
        self.sent_bytes = 0
        self._codec = limits.make_codec()
        self._shares: dict[ids.HostId, limits.Shares] = {}
        self._doors: dict[ids.HostId, limits.Admission] = {}
        self._serial = itertools.count()
        for host in HOSTS:
            self._start(host)

    def _start(self, host: ids.HostId) -> None:
        """Start a host with its even share."""
        shares = limits.Shares(host, 0.0, True, self._rng)
        shares.set_live_hosts(HOSTS)
        for resource in limits.Resource:
            amount = self._limit
            if resource is not limits.Resource.REQUESTS_PER_S:
                amount = 1e6
            limit = limits.LimitId(CUSTOMER, SERVICE, resource)
            shares.set_limit(limit, amount, len(HOSTS))
        self._shares[host] = shares
        door = limits.Admission(CUSTOMER, SERVICE, shares, self._rng)
        self._doors[host] = door
        self.loop.every(TICK_S, lambda: self._tick(host))

    def _tick(self, host: ids.HostId) -> None:
        """Let a host act."""
        now = self.loop.now
        self._decide(host, self._doors[host].tick(now))
        self._post(host, self._shares[host].tick(now))

    def _post(self, host: ids.HostId, sends: tuple[limits.Send, ...]) -> None:
        """Carry messages between hosts."""
        for item in sends:
            data = self._codec.encode(item.message)
            self.sent_bytes += len(data)
            self.loop.at(LINK_S, self._delivery(host, item.host, data))

    def _delivery(
        self, source: ids.HostId, target: ids.HostId, data: bytes
    ) -> Event:
        """Return the arrival of a message."""

        def deliver() -> None:
            """Hand the message over."""
            message = self._codec.decode(data)
            shares = self._shares[target]
            self._post(target, shares.receive(self.loop.now, source, message))

        return deliver

    def arrive(self) -> None:
        """Let a request come to one of the busy hosts: twice the limit."""
        self.loop.at(self._rng.expovariate(2 * self._limit), self.arrive)
        host = self._rng.choice(self._busy)
        now = self.loop.now
        ticket = limits.Ticket(
            next(self._serial), contracts.Priority.NORMAL, now + 1, None, now
        )
        self._decide(host, self._doors[host].offer(now, ticket))

    def move(self) -> None:
        """Send the traffic to one or two other hosts."""
        if self._does_move:
            self._busy = tuple(
                self._rng.sample(HOSTS, self._rng.choice([1, 2]))
            )

    def _decide(
        self, host: ids.HostId, decisions: tuple[limits.Decision, ...]
    ) -> None:
        """Count what was let in; it is answered at once."""
        for item in decisions:
            if isinstance(item, limits.Admit):
                self.admitted.append(self.loop.now)
                end = functools.partial(self._end, host, item.ticket.number)
                self.loop.at(0.001, end)

    def _end(self, host: ids.HostId, number: int) -> None:
        """End a request."""
        door = self._doors[host]
        self._decide(host, door.finish(self.loop.now, number, True))


@dataclasses.dataclass(frozen=True)
class Tolerance:
    """How well a rate limit holds."""

    overshoot_percent: float
    """The busiest second over the limit."""
    used_percent: float
    """Of the limit, on average."""
    bytes_per_s_per_host: float
    """Control traffic."""


def measure_overshoot(does_move: bool, limit: float = 600.0) -> Tolerance:
    """Return how a limit holds while twice as much is offered."""
    bench = _Moving(limit, does_move, 5)
    bench.loop.every(8.0, bench.move)
    bench.arrive()
    end_s = WARM_UP_S + 2 * SECONDS
    bench.loop.run(end_s)
    times = [at for at in bench.admitted if at >= WARM_UP_S]
    first = 0
    worst = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    rate = len(times) / (end_s - WARM_UP_S)
    return Tolerance(
        100.0 * (worst / WINDOW_S / limit - 1.0),
        100.0 * rate / limit,
        bench.sent_bytes / end_s / len(HOSTS),
    )


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield every figure of the limits."""
    ours = measure_goodput(True)
    fifo = measure_goodput(False)
    for name, value in ours.items():
        yield _figure.Figure(
            f"goodput_at_200_percent_{name}", value, "percent", fifo[name]
        )
    for name, does_move in (("steady", False), ("moving", True)):
        held = measure_overshoot(does_move)
        yield _figure.Figure(
            f"limit_overshoot_percent_{name}",
            held.overshoot_percent,
            "percent",
            target=10.0,
        )
        yield _figure.Figure(
            f"limit_used_percent_{name}", held.used_percent, "percent"
        )
        yield _figure.Figure(
            f"lease_bytes_per_s_per_host_{name}",
            held.bytes_per_s_per_host,
            "B/s",
        )
