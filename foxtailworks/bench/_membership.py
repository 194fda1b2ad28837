"""What membership and the directory cost, over hosts and upstreams.

Run with ``python -m foxtailworks.bench._membership [--largest 690]``.
"""

from collections import abc
import dataclasses
import random
import statistics
import tracemalloc
import typing

import typer

from foxtailworks.bench import _figure
from foxtailworks.bench import _virtual
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import upstreams

# (hosts, availability zones); three regions throughout.
HOST_SIZES = ((7, 3), (30, 3), (77, 3), (150, 6), (300, 9), (690, 9))
UPSTREAM_SIZES = (20, 200, 1_000, 3_900)
REGIONS = 3
SETTLE_S = 60.0
STEADY_S = 30.0
KNOWN_LIMIT_S = 30.0
BUSY_BAD_DAY_S = 30.0
REGION_CUT_S = 120.0

TARGET_HOSTS = 690
TARGET_UPSTREAMS = 3_900
DAY_S = 86_400
RESTARTS_PER_DAY = 1_500
UPSTREAM_CHANGES_PER_DAY = 3 * TARGET_UPSTREAMS
# Membership and directory may take half of what control may.
TARGET_BYTES_PER_S = 15_000.0
TARGET_CORE_SHARE = 0.016
TARGET_STATE_BYTES = 32_000_000.0
TARGET_DRAIN_S = 3.0

CUSTOMER = ids.CustomerId("customer-0")
_HostState = membership.HostState


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points."""

    figure: str
    """What was measured."""
    unit: str
    """Unit of the value."""
    per: str
    """What the value was measured over."""
    points: tuple[tuple[float, float], ...]
    """Size and value."""
    slope: float
    """Growth of the value for one more."""
    intercept: float
    """Value at none."""
    spread: float
    """Largest distance of a point from the line."""

    def to_json(self) -> str:
        """Return the slope as one line of JSON."""
        return _figure.render(self)


def fit(
    figure: str,
    unit: str,
    per: str,
    points: abc.Sequence[tuple[float, float]],
) -> Slope:
    """Return the least-squares line through ``points``."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    spread = max(abs(y - line.intercept - line.slope * x) for x, y in points)
    return Slope(
        figure,
        unit,
        per,
        tuple(points),
        line.slope,
        line.intercept,
        spread,
    )


def make_announcement(
    number: int, zones: int, incarnation: int = 1, draining: bool = False
) -> upstreams.Announcement:
    """Return upstream ``number``; ten to a service."""
    states = upstreams.UpstreamState
    return upstreams.Announcement(
        address=ids.Address(f"10.200.{number // 250}.{number % 250}", 5683),
        customer=CUSTOMER,
        service=ids.ServiceId(f"service-{number // 10}"),
        zone=ids.ZoneId(f"zone-{number % zones}"),
        incarnation=ids.Incarnation(incarnation),
        slots=3,
        lifetime_s=3_600.0,
        state=states.DRAINING if draining else states.READY,
    )


class Bench:
    """A cluster that has settled, with what is measured on it."""

    def __init__(self, hosts: int, zones: int, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.zones = zones
        self.known: dict[int, float] = {}
        self._awaited: abc.Callable[[object], bool] | None = None
        self.cluster = _virtual.Cluster(
            hosts, zones, REGIONS, seed, self._observe
        )
        self.cluster.start_all()
        self.cluster.run(10)
        for number in range(count):
            self.announce(make_announcement(number, zones))
        self.cluster.run(SETTLE_S)

    def _observe(
        self, process: _virtual.Process, event: object, now: float
    ) -> None:
        """Note when each process learns of what is awaited."""
        if self._awaited is not None and self._awaited(event):
            self.known.setdefault(process.serial, now)

    def announce(self, announcement: upstreams.Announcement) -> None:
        """Announce an upstream to any host."""
        number = self.rng.choice(sorted(self.cluster.processes))
        self.cluster.announce(number, announcement)

    def seconds_until_known(
        self,
        act: abc.Callable[[], None],
        awaited: abc.Callable[[object], bool],
    ) -> float:
        """Return how long after ``act`` every process knows of it."""
        self.known.clear()
        self._awaited = awaited
        began = self.cluster.now
        act()
        serials = {item.serial for item in self.cluster.processes.values()}
        while self.cluster.now - began < KNOWN_LIMIT_S:
            self.cluster.run(0.1)
            if serials <= self.known.keys():
                break
        self._awaited = None
        return max(self.known.values(), default=began) - began

    def reset(self) -> None:
        """Count usage from now on."""
        for process in self.cluster.processes.values():
            process.usage = _virtual.Usage()

    def usage(self, relays: bool | None) -> abc.Iterator[_virtual.Usage]:
        """Yield the usage of relays, of others or of all."""
        for process in self.cluster.processes.values():
            if relays in (None, process.membership.is_relay()):
                yield process.usage

    def peak(self, seconds: float) -> tuple[float, float]:
        """Return the busiest second's bytes, mean and largest of a host."""
        mean = largest = 0.0
        for _ in range(int(seconds)):
            self.reset()
            self.cluster.run(1.0)
            sent = [item.sent_bytes for item in self.usage(None)]
            mean = max(mean, statistics.fmean(sent))
            largest = max(largest, max(sent))
        return mean, largest


def _host_awaited(
    host: ids.HostId, state: _HostState
) -> abc.Callable[[object], bool]:
    """Return a check for the news that ``host`` is in ``state``."""
    return lambda event: (
        isinstance(event, membership.HostChanged)
        and event.host.id == host
        and event.state is state
    )


def _upstream_awaited(
    upstream: ids.UpstreamId, takes_work: bool
) -> abc.Callable[[object], bool]:
    """Return a check for the news that an upstream takes work or not."""
    return lambda event: (
        isinstance(event, upstreams.UpstreamChanged)
        and event.id == upstream
        and event.takes_work == takes_work
    )


def _churn(bench: Bench, seconds: float, count: int) -> None:
    """Restart hosts and change upstreams at the rates of the target."""
    end = bench.cluster.now + seconds
    restart_s = DAY_S / RESTARTS_PER_DAY
    change_s = DAY_S / UPSTREAM_CHANGES_PER_DAY
    next_restart = bench.cluster.now + bench.rng.uniform(0, restart_s)
    next_change = bench.cluster.now
    incarnation = 1
    while bench.cluster.now < end:
        bench.cluster.run(0.5)
        if bench.cluster.now >= next_restart:
            next_restart += restart_s
            number = bench.rng.choice(sorted(bench.cluster.processes))
            bench.cluster.leave(number)
            bench.cluster.run(0.5)
            bench.cluster.kill(number)
            bench.cluster.start(number)
        if bench.cluster.now >= next_change and count:
            next_change += change_s
            incarnation += 1
            number = bench.rng.randrange(count)
            bench.announce(make_announcement(number, bench.zones, incarnation))


def measure_steady(
    bench: Bench, count: int, suffix: str
) -> abc.Iterator[_figure.Figure]:
    """Yield what a quiet minute at the target's churn costs."""
    bench.reset()
    _churn(bench, STEADY_S, count)
    for name, relays in (("host", False), ("relay", True)):
        usage = list(bench.usage(relays))
        if not usage:
            continue
        sent = [item.sent_bytes / STEADY_S for item in usage]
        received = [item.received_bytes / STEADY_S for item in usage]
        busy = [item.busy_s / STEADY_S for item in usage]
        messages = [item.sent / STEADY_S for item in usage]
        total = [a + b for a, b in zip(sent, received, strict=True)]
        rows = (
            ("bytes_per_s_mean", statistics.fmean(total), "bytes/s"),
            ("bytes_per_s_max", max(total), "bytes/s"),
            ("messages_per_s_mean", statistics.fmean(messages), "1/s"),
            ("core_share_mean", statistics.fmean(busy), "cores"),
            ("core_share_max", max(busy), "cores"),
        )
        targets = {
            "bytes_per_s_max": TARGET_BYTES_PER_S,
            "core_share_max": TARGET_CORE_SHARE,
        }
        for figure, value, unit in rows:
            yield _figure.Figure(
                f"membership_{name}_{figure}_{suffix}",
                value,
                unit,
                target=targets.get(figure),
            )


def measure_news(bench: Bench, suffix: str) -> abc.Iterator[_figure.Figure]:
    """Yield how long news takes to be known everywhere."""
    fresh = make_announcement(50_000, bench.zones)
    drained = make_announcement(50_000, bench.zones, draining=True)
    victim = bench.rng.choice(sorted(bench.cluster.processes))
    host = bench.cluster.processes[victim].host.id
    plan = (
        (
            "announcement",
            lambda: bench.announce(fresh),
            _upstream_awaited(fresh.id, True),
            None,
        ),
        (
            "drain",
            lambda: bench.announce(drained),
            _upstream_awaited(fresh.id, False),
            TARGET_DRAIN_S,
        ),
        (
            "crash",
            lambda: bench.cluster.kill(victim),
            _host_awaited(host, _HostState.DEAD),
            None,
        ),
    )
    for name, act, awaited, target in plan:
        value = bench.seconds_until_known(act, awaited)
        figure = f"membership_{name}_known_s_{suffix}"
        yield _figure.Figure(figure, value, "s", target=target)


def measure_bad_days(
    bench: Bench, suffix: str
) -> abc.Iterator[_figure.Figure]:
    """Yield the traffic of the bad days, the busiest second of each."""
    size = bench.cluster.size
    zone_0 = [n for n in range(size) if n % bench.zones == 0]
    plan: tuple[tuple[str, list[int]], ...] = (
        ("14_deaths", bench.rng.sample(range(size), min(14, size // 4))),
        ("rack", zone_0[: min(20, len(zone_0) // 2)]),
        ("zone", zone_0),
    )
    for name, victims in plan:
        victims = [n for n in victims if n in bench.cluster.processes]
        for number in victims:
            bench.cluster.kill(number)
        yield from _peak(bench, f"{name}_lost", suffix)
        for number in victims:
            bench.cluster.start(number)
        yield from _peak(bench, f"{name}_back", suffix)
    bench.cluster.block("region-0", "region-1")
    bench.cluster.block("region-1", "region-0")
    yield from _peak(bench, "regions_cut", suffix)
    _churn(bench, REGION_CUT_S, 20)
    bench.cluster.heal()
    yield from _peak(bench, "regions_healed", suffix)


def _peak(
    bench: Bench, name: str, suffix: str
) -> abc.Iterator[_figure.Figure]:
    """Yield the busiest second's traffic and how many views differ."""
    mean, largest = bench.peak(BUSY_BAD_DAY_S)
    for kind, value in (("mean", mean), ("max", largest)):
        yield _figure.Figure(
            f"membership_{name}_sent_peak_{kind}_{suffix}",
            value,
            "bytes/s",
            target=2 * TARGET_BYTES_PER_S,
        )
    views = {
        item.membership.view_hash()
        for item in bench.cluster.processes.values()
    }
    yield _figure.Figure(
        f"membership_{name}_views_{suffix}", len(views), "views", target=1
    )


def measure_join(count: int) -> abc.Iterator[_figure.Figure]:
    """Yield what a host that joins spends until it knows all upstreams."""
    bench = Bench(30, 3, count, seed=3)
    bench.cluster.kill(9)
    bench.cluster.run(10)
    process = bench.cluster.start(9)
    began = bench.cluster.now
    while bench.cluster.now - began < 120:
        bench.cluster.run(0.5)
        if len(process.directory.all()) >= count:
            break
    seconds = bench.cluster.now - began
    received = process.usage.received_bytes
    suffix = f"{count}_upstreams"
    yield _figure.Figure(f"membership_join_s_{suffix}", seconds, "s")
    yield _figure.Figure(
        f"membership_join_received_{suffix}", received, "bytes"
    )
    yield _figure.Figure(
        f"membership_join_core_s_{suffix}", process.usage.busy_s, "s"
    )


def measure_state(hosts: int, count: int) -> float:
    """Return the bytes that one host's tables take."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    me = _virtual.make_host(0, 9, REGIONS)
    rng = random.Random(1)
    directory = upstreams.Directory(me.id, me.zone, rng, 0.0)
    core = membership.Membership(me, (), rng, 0.0, replicas=(directory,))
    for number in range(1, hosts):
        join = membership.MESSAGES[104](_virtual.make_host(number, 9, 3))
        list(core.on_message(me.address, join, 0.0))
    for number in range(count):
        list(directory.announce(make_announcement(number, 9), 0.0))
        service = ids.ServiceId(f"service-{number // 10}")
        directory.candidates(CUSTOMER, service, 1.0)
    list(core.on_tick(1.0))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def count_lost(share_doubts: bool) -> int:
    """Return the requests lost to a dead upstream in its lifetime.

    The zone of the target's size, and its traffic: 77 hosts, each placing
    0.2 requests a second of a service with 11 upstreams.
    """
    config = upstreams.Config(share_doubts=share_doubts)
    cluster = _virtual.Cluster(77, 1, 1, 1, upstream_config=config)
    cluster.start_all()
    cluster.run(10)
    service = ids.ServiceId("service-0")
    rng = random.Random(1)
    chosen = [make_announcement(number, 1) for number in range(11)]
    for announcement in chosen:
        announcement = dataclasses.replace(announcement, service=service)
        cluster.announce(rng.randrange(77), announcement)
    cluster.run(60)
    lost = 0
    for _ in range(60 * 10):
        cluster.run(0.1)
        for process in cluster.processes.values():
            if rng.random() < 0.02:
                lost += _place(cluster, process, service, rng, chosen[0].id)
    return lost


def _place(
    cluster: _virtual.Cluster,
    process: _virtual.Process,
    service: ids.ServiceId,
    rng: random.Random,
    dead: ids.UpstreamId,
) -> bool:
    """Place one request; tell whether it went to the dead upstream."""
    directory = process.directory
    found = directory.candidates(CUSTOMER, service, cluster.now)
    weights = [item.weight for item in found]
    upstream_id = rng.choices(found, weights)[0].id
    directory.on_placed(upstream_id, cluster.now)
    is_lost = upstream_id == dead
    outcomes = upstreams.Outcome
    outcome = outcomes.SILENT if is_lost else outcomes.ANSWERED
    cluster.later(
        1.0 if is_lost else 0.01,
        lambda: directory.observe(
            upstream_id, outcome, 1_000.0 if is_lost else 10.0, cluster.now
        ),
    )
    return is_lost


def measure_doubts() -> _figure.Figure:
    """Return what sharing doubts about an upstream saves."""
    return _figure.Figure(
        "membership_requests_lost_to_a_dead_upstream",
        count_lost(share_doubts=True),
        "requests",
        baseline=count_lost(share_doubts=False),
    )


class Collector:
    """Prints figures and keeps the points of the slopes."""

    def __init__(self) -> None:
        self._points: dict[str, list[tuple[float, float]]] = {}
        self._units: dict[str, str] = {}

    def add(
        self, size: float, figures: abc.Iterable[_figure.Figure], suffix: str
    ) -> None:
        """Print ``figures`` of one size."""
        for figure in figures:
            print(figure.to_json(), flush=True)
            name = figure.figure.removesuffix(f"_{suffix}")
            self._points.setdefault(name, []).append((size, figure.value))
            self._units[name] = figure.unit

    def slopes(self, per: str) -> abc.Iterator[Slope]:
        """Yield a line through the points of each figure."""
        for name, points in self._points.items():
            if len(points) > 2:
                yield fit(name, self._units[name], per, points)


def run_hosts(largest: int) -> abc.Iterator[Slope]:
    """Print the figures over hosts; yield their slopes."""
    collector = Collector()
    for hosts, zones in HOST_SIZES:
        if hosts > largest:
            break
        suffix = f"{hosts}_hosts"
        bench = Bench(hosts, zones, 20, seed=hosts)
        collector.add(hosts, measure_steady(bench, 20, suffix), suffix)
        collector.add(hosts, measure_news(bench, suffix), suffix)
        if hosts >= 77:
            collector.add(hosts, measure_bad_days(bench, suffix), suffix)
        state = _figure.Figure(
            f"membership_state_bytes_{suffix}",
            measure_state(hosts, 0),
            "bytes",
        )
        collector.add(hosts, [state], suffix)
    yield from collector.slopes("host")


def run_upstreams(largest: int) -> abc.Iterator[Slope]:
    """Print the figures over upstreams; yield their slopes."""
    collector = Collector()
    for count in UPSTREAM_SIZES:
        if count > largest:
            break
        suffix = f"{count}_upstreams"
        bench = Bench(30, 3, count, seed=count)
        collector.add(count, measure_steady(bench, count, suffix), suffix)
        state = _figure.Figure(
            f"membership_state_bytes_{suffix}",
            measure_state(1, count),
            "bytes",
            target=TARGET_STATE_BYTES,
        )
        collector.add(count, [state], suffix)
        collector.add(count, measure_join(count), suffix)
    yield from collector.slopes("upstream")


def main(
    largest: typing.Annotated[int, typer.Option()] = TARGET_HOSTS,
    largest_upstreams: typing.Annotated[
        int, typer.Option()
    ] = TARGET_UPSTREAMS,
) -> None:
    """Print figures, then slopes, as lines of JSON."""
    slopes = [*run_hosts(largest), *run_upstreams(largest_upstreams)]
    print(measure_doubts().to_json())
    for slope in slopes:
        print(slope.to_json())


if __name__ == "__main__":
    typer.run(main)
