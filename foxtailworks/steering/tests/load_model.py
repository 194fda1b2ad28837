"""Model of a load near the capacity of 60 upstreams, in virtual time.

Hosts are real ``Steering`` objects; their reports and views pass through the
real ``LoadExchange`` of three coordinators.  Run as a program, it plays the
ways to choose that docs/design/load-view.md compares::

    python -m foxtailworks.steering.tests.load_model
"""

import collections
import contextlib
import dataclasses
import heapq
import itertools
import math
import random
import sys

from foxtailworks.coordinator import _load
from foxtailworks.coordinator.tests import world
from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import steering
from foxtailworks.steering import _load_view

ZONES = tuple(ids.ZoneId(name) for name in "abc")
HOSTS = (25, 25, 22)
UPSTREAMS = 60
SLOTS = 2
QUEUE = 8
FEED = ids.Address("198.18.0.1", 443)
VOTE = ids.Address("198.18.0.2", 443)
WORK_S = {FEED: 0.055, VOTE: 0.072}
"""Mean time of a request by kind; every fourth is of the second kind."""
SIGMA = 0.5
RATE = 740.0
SWING = 0.27
SWING_S = 6.0
SLOWDOWN = 5.0
TARGET_S = 0.4
RETRIES = 2
HOP_S = 0.0005
ZONE_HOP_S = 0.002
TICK_S = 0.1
LAST_S = 1.2
"""Time after the last phase, longer than any request in time."""


def make_table():
    share = steering.Share(ids.ServiceId("desk"), 1)
    kinds = steering.RequestKind
    routes = (
        steering.Route(FEED, (share,), kinds.IDEMPOTENT, 2500, 400, 1),
        steering.Route(VOTE, (share,), kinds.IDEMPOTENT, 2500, 400, 2),
    )
    return steering.RouteTable(1, routes, 15_000)


class Phase:
    """A span of the load; ``slow`` is the share of slow upstreams."""

    def __init__(self, seconds, rate, slow=0.0):
        self.seconds, self.rate, self.slow = seconds, rate, slow


PHASES = {
    "usual": Phase(1.0, 1.0),
    "rush": Phase(6.0, 2.4),
    "pause": Phase(1.5, 1.0),
    "slow": Phase(7.0, 2.0, 0.2),
    "after": Phase(1.0, 1.0),
}


class Request:
    def __init__(self, sent_at, zone, kind, phase, rng):
        self.sent_at, self.zone, self.kind = sent_at, zone, kind
        self.phase = phase
        mu = math.log(WORK_S[kind]) - SIGMA**2 / 2
        self.work_s = rng.lognormvariate(mu, SIGMA)
        self.attempts = 0
        self.done_at = math.inf

    @property
    def is_in_time(self):
        return self.done_at - self.sent_at <= TARGET_S


class Upstream:
    def __init__(self, zone):
        self.zone = zone
        self.busy = 0
        self.queue = collections.deque()
        self.is_slow = False


class Model:
    """Callers, upstreams and the clock; subclasses place the requests."""

    def __init__(self, seed, phases=None):
        self.rng = random.Random(seed)
        self.phases = PHASES if phases is None else phases
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.requests = []
        self.met_full = collections.Counter()
        self.attempts = 0
        self.crossed = 0
        self.upstreams = [Upstream(ZONES[n % 3]) for n in range(UPSTREAMS)]

    def at(self, time, call, *args):
        heapq.heappush(self.events, (time, next(self.order), call, args))

    def run(self):
        start = 0.0
        for name, phase in self.phases.items():
            self.at(start, self.set_slow, phase.slow)
            at = start
            while at < start + phase.seconds:
                at += self.rng.expovariate(RATE * phase.rate)
                self.at(at, self.arrive, name)
            start += phase.seconds
        while self.events and self.now < start + LAST_S:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    def set_slow(self, share):
        slow = self.rng.sample(self.upstreams, round(share * UPSTREAMS))
        for upstream in self.upstreams:
            upstream.is_slow = upstream in slow

    def arrive(self, phase):
        turn = 2 * math.pi * self.now / SWING_S
        weights = [
            1 + SWING * math.sin(turn + 2 * math.pi * n / 3) for n in range(3)
        ]
        zone = self.rng.choices(range(3), weights)[0]
        kind = VOTE if self.rng.random() < 0.25 else FEED
        request = Request(self.now, zone, kind, phase, self.rng)
        self.requests.append(request)
        self.attempt(request)

    def attempt(self, request):
        raise NotImplementedError

    def share_in_time(self, **wanted):
        found = [
            request.is_in_time
            for request in self.requests
            if all(getattr(request, k) == v for k, v in wanted.items())
        ]
        return sum(found) / len(found)

    def zone_shares(self, **wanted):
        return [self.share_in_time(zone=n, **wanted) for n in range(3)]


class Placed(Model):
    """Requests are placed by hosts.

    :param make_view: creates the view of a host; None for own counts only
    """

    def __init__(self, seed, make_view=_load_view.LoadView, **kwargs):
        super().__init__(seed, **kwargs)
        registry = discovery.Registry(1, 100.0)
        self.by_name = {}
        for number, upstream in enumerate(self.upstreams):
            item = making.instance(
                f"i-{number}",
                address=ids.Address(f"10.0.2.{number + 1}", 80),
                zone=upstream.zone,
                slots=SLOTS,
            )
            registry.announce(item, 0.0)
            self.by_name[item.instance] = upstream
        self.hosts = []
        for number, count in enumerate(HOSTS):
            self.hosts.append(
                [
                    self.make_host(ZONES[number], registry, make_view)
                    for _ in range(count)
                ]
            )
        self.ports = itertools.count()
        if make_view is not None:
            self.start_views()

    def make_host(self, zone, registry, make_view):
        roster = discovery.Roster()
        roster.merge(world.address(1), registry.changes(0, 0), 0.0)
        host = steering.Steering(roster, zone, self.rng)
        host.put_routes(make_table())
        if make_view is not None:
            host.load_view = make_view(
                host._flows, host._tokens, zone, self.rng, host._cfg
            )
            host._chooser._view = host.load_view
        self.at(TICK_S * self.rng.random(), self.tick, host)
        return host

    def start_views(self):
        self.exchanges = [
            _load.LoadExchange(
                world.address(n), True, lambda _: True, self.core
            )
            for n in range(3)
        ]
        self.by_address = {}
        for number, host in enumerate(itertools.chain(*self.hosts)):
            address = world.edge_address(number)
            self.by_address[address] = host
            first = polling.LOAD_INTERVAL_S * self.rng.random()
            self.at(first, self.report, address, number % 3)
        for number in range(3):
            first = polling.LOAD_INTERVAL_S * self.rng.random()
            self.at(first, self.send_views, number)

    def delay(self):
        return self.now + self.rng.uniform(0.002, 0.006)

    def report(self, address, number):
        loads = self.by_address[address].load_view.take_report()
        msg = polling.LoadReport(polling.pack_loads(loads))
        exchange = self.exchanges[number]
        self.at(
            self.delay(),
            lambda: exchange.on_message(msg, address, self.now),
        )

    def core(self):
        return tuple(world.address(n) for n in range(3))

    def send_views(self, number):
        for due in self.exchanges[number].due(self.now):
            is_sum = not isinstance(due.msg, polling.LoadView)
            receive = self.on_sum if is_sum else self.on_view
            for address in due.targets:
                if address != world.address(number):
                    self.at(self.delay(), receive, address, due.msg, number)
        self.at(self.now + 0.05, self.send_views, number)

    def on_sum(self, address, msg, number):
        exchange = self.exchanges[self.core().index(address)]
        exchange.on_message(msg, world.address(number), self.now)

    def on_view(self, address, view, number):
        loads = polling.unpack_loads(view.loads)
        self.by_address[address].load_view.put(loads, self.now)
        next_at = self.now + polling.REPORT_AFTER_S + self.rng.random() / 50
        self.at(next_at, self.report, address, number)

    def tick(self, host):
        for _ in host.on_tick(self.now):
            pass
        self.at(self.now + TICK_S, self.tick, host)

    def attempt(self, request):
        host = self.rng.choice(self.hosts[request.zone])
        self.attempts += 1
        request.attempts += 1
        flow = steering.FlowKey(next(self.ports).to_bytes(12, "big"))
        found = host.open(steering.Syn(flow, request.kind, 0, b""), self.now)
        assert isinstance(found, steering.Forward)
        upstream = self.by_name[found.instance.instance]
        is_near = upstream.zone == ZONES[request.zone]
        hop = HOP_S if is_near else ZONE_HOP_S
        self.crossed += not is_near
        packet = steering.Packet(flow, request.kind, found.token, False)
        task = (request, host, packet, hop)
        self.at(self.now + 2 * hop, self.data, upstream, task)

    def data(self, upstream, task):
        request, host, packet, hop = task
        host.forward(packet, self.now)
        self.at(self.now + hop, self.accept, upstream, task)

    def accept(self, upstream, task):
        if upstream.busy < SLOTS:
            self.work(upstream, task)
        elif len(upstream.queue) < QUEUE:
            upstream.queue.append(task)
        else:
            self.met_full[task[0].phase] += 1
            self.at(self.now + task[3], self.refused, task)

    def refused(self, task):
        self.close(task)
        if task[0].attempts <= RETRIES:
            wait_s = self.rng.uniform(0.05, 0.2)
            self.at(self.now + wait_s, self.attempt, task[0])

    def work(self, upstream, task):
        upstream.busy += 1
        work_s = task[0].work_s * (SLOWDOWN if upstream.is_slow else 1)
        self.at(self.now + work_s, self.finish, upstream, task)

    def finish(self, upstream, task):
        upstream.busy -= 1
        self.at(self.now + task[3], self.answered, task)
        if upstream.queue:
            self.work(upstream, upstream.queue.popleft())

    def answered(self, task):
        task[0].done_at = self.now
        self.close(task)

    def close(self, task):
        _, host, packet, _ = task
        host.forward(
            steering.Packet(
                packet.flow, packet.destination, packet.token, True, False
            ),
            self.now,
        )


class Limit(Model):
    """One queue with full knowledge of all slots: free fast ones first."""

    def __init__(self, seed, **kwargs):
        super().__init__(seed, **kwargs)
        self.queue = collections.deque()

    def attempt(self, request):
        self.attempts += 1
        if len(self.queue) >= UPSTREAMS * QUEUE:
            self.met_full[request.phase] += 1
        else:
            self.queue.append(request)
            self.work()

    def work(self):
        free = [item for item in self.upstreams if item.busy < SLOTS]
        free.sort(key=lambda item: item.is_slow)
        while self.queue and free:
            upstream = free[0]
            request = self.queue.popleft()
            upstream.busy += 1
            if upstream.busy == SLOTS:
                free.pop(0)
            work_s = request.work_s * (SLOWDOWN if upstream.is_slow else 1)
            self.at(self.now + work_s, self.finish, upstream, request)

    def finish(self, upstream, request):
        upstream.busy -= 1
        request.done_at = self.now + 4 * HOP_S
        self.work()


# Ways to choose that were compared and not taken.


def load_per_slot(view, pair):
    return view.load(pair[0].instance.key) / pair[0].instance.slots


class Drawn(_load_view.LoadView):
    """The less loaded of some candidates that are drawn at random."""

    COUNT = 2

    def _pick(self, usable):
        drawn = self._rng.sample(usable, min(self.COUNT, len(usable)))
        return min(drawn, key=lambda pair: load_per_slot(self, pair))[0]


class ThreeDrawn(Drawn):
    COUNT = 3


class ByPower(_load_view.LoadView):
    """Weights by a power of the free capacity."""

    POWER = 2

    def _pick(self, usable):
        weights = [room**self.POWER for _, room in usable]
        return self._rng.choices(usable, weights)[0][0]


class BySquareRoot(ByPower):
    POWER = 0.5


class Cut(_load_view.LoadView):
    """Weights by free capacity, upstreams with 7 or more requests last."""

    def _pick(self, usable):
        weights = [room if room > 3 else 0.02 for _, room in usable]
        return self._rng.choices(usable, weights)[0][0]


class Least(_load_view.LoadView):
    """The least loaded in the view, at random among equals."""

    def _pick(self, usable):
        least = min(load_per_slot(self, pair) for pair in usable)
        return self._rng.choice(
            [
                item
                for item, _ in usable
                if load_per_slot(self, (item, 0)) <= least
            ]
        )


class WithoutOwn(_load_view.LoadView):
    """By the view alone, without own flows since."""

    def load(self, key):
        return self._seen.get(key, 0)


class StaysInZone(_load_view.LoadView):
    def _draw_zone(self, usable, candidates):
        return self._zone


class AnyZone(_load_view.LoadView):
    def _draw_zone(self, usable, candidates):
        return None


def with_config(base=_load_view.LoadView, **changes):
    """Return a view with other settings."""

    def make(flows, tokens, zone, rng, config):
        return base(
            flows, tokens, zone, rng, dataclasses.replace(config, **changes)
        )

    return make


@contextlib.contextmanager
def exchange_of(interval_s, report_after_s):
    """Use other intervals of reports and views."""
    before = polling.LOAD_INTERVAL_S, polling.REPORT_AFTER_S
    polling.LOAD_INTERVAL_S, polling.REPORT_AFTER_S = (
        interval_s,
        report_after_s,
    )
    yield
    polling.LOAD_INTERVAL_S, polling.REPORT_AFTER_S = before


TRIES = {
    "own counts": None,
    "room": _load_view.LoadView,
    "two drawn": Drawn,
    "three drawn": ThreeDrawn,
    "square root of room": BySquareRoot,
    "square of room": ByPower,
    "room, cut at 7": Cut,
    "least loaded": Least,
    "room, without own": WithoutOwn,
    "room, stays in zone": StaysInZone,
    "room, any zone": AnyZone,
    "room, step 0.1": with_config(zone_share_step=0.1),
    "room, excess 0.1": with_config(kept_zone_excess=0.1),
    "room, views of 0.1 s": _load_view.LoadView,
}


def row_of(played):
    """Return the figures of one play."""
    zones = played.zone_shares()
    return [
        played.share_in_time(),
        played.share_in_time(phase="rush"),
        played.share_in_time(phase="slow"),
        *zones,
        max(zones) - min(zones),
        played.share_in_time(kind=FEED),
        played.share_in_time(kind=VOTE),
        played.met_full["rush"],
        played.met_full["slow"],
        sum(played.met_full.values()),
        played.crossed / played.attempts,
    ]


def play(name, seed):
    """Play one way to choose, or the limit."""
    if name == "limit":
        return Limit(seed).run()
    is_fast = name.endswith("0.1 s")
    with exchange_of(0.1, 0.03) if is_fast else contextlib.nullcontext():
        return Placed(seed, TRIES[name]).run()


def main():
    seeds = range(int(sys.argv[1]))
    for name in sys.argv[2:] or ["limit", *TRIES]:
        rows = [row_of(play(name, seed)) for seed in seeds]
        means = [sum(column) / len(rows) for column in zip(*rows)]
        shown = " | ".join(
            f"{value:.0f}" if value > 1 else f"{value:.3f}" for value in means
        )
        least = min(row[0] for row in rows)
        print(f"| {name} | {shown} | {least:.3f} |", flush=True)


if __name__ == "__main__":
    main()
