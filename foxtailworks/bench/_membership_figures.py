"""Single measurements of membership and the directory."""

from collections import abc
import contextlib
import gc
import random
import statistics
import tracemalloc

from foxtailworks.bench import _figure
from foxtailworks.bench import _virtual_cluster
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import upstreams

REGIONS = 3
SETTLE_S = 60.0
STEADY_S = 30.0
KNOWN_LIMIT_S = 30.0
FILL_LIMIT_S = 180.0
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
        self.cluster = _virtual_cluster.Cluster(
            hosts, zones, REGIONS, seed, self._observe
        )
        self.cluster.start_all()
        self.cluster.run(10)
        for number in range(count):
            self.announce(make_announcement(number, zones))
        self.cluster.run(SETTLE_S)

    def _observe(
        self, process: _virtual_cluster.Process, event: object, now: float
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
            process.usage = _virtual_cluster.Usage()

    def usage(
        self, relays: bool | None
    ) -> abc.Iterator[_virtual_cluster.Usage]:
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


@contextlib.contextmanager
def _no_collector() -> abc.Iterator[None]:
    """Keep the garbage collector's pauses out of what is measured.

    It would walk the tables of all hosts and count for one of them.
    """
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def measure_steady(
    bench: Bench, count: int, suffix: str
) -> abc.Iterator[_figure.Figure]:
    """Yield what a quiet minute at the target's churn costs."""
    bench.reset()
    with _no_collector():
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


def _seconds_until_all(
    bench: Bench, processes: list[_virtual_cluster.Process], count: int
) -> float:
    """Return how long it takes until each process knows all upstreams."""
    began = bench.cluster.now
    while bench.cluster.now - began < FILL_LIMIT_S:
        bench.cluster.run(0.5)
        known = (len(item.directory.all()) for item in processes)
        if min(known) >= count:
            break
    return bench.cluster.now - began


def measure_cold_start(bench: Bench, count: int) -> _figure.Figure:
    """Return how long hosts need when all upstreams announce at once."""
    for number in range(count):
        bench.announce(make_announcement(number, bench.zones))
    processes = list(bench.cluster.processes.values())
    return _figure.Figure(
        f"membership_cold_start_s_{count}_upstreams",
        _seconds_until_all(bench, processes, count),
        "s",
    )


def measure_join(bench: Bench, count: int) -> abc.Iterator[_figure.Figure]:
    """Yield what a host that joins spends until it knows all upstreams."""
    bench.cluster.kill(9)
    bench.cluster.run(10)
    process = bench.cluster.start(9)
    with _no_collector():
        seconds = _seconds_until_all(bench, [process], count)
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
    me = _virtual_cluster.make_host(0, 9, REGIONS)
    rng = random.Random(1)
    directory = upstreams.Directory(me.id, me.zone, rng, 0.0)
    core = membership.Membership(me, (), rng, 0.0, tables=(directory,))
    for number in range(1, hosts):
        join = membership.MESSAGES[104](
            _virtual_cluster.make_host(number, 9, 3)
        )
        list(core.on_message(me.address, join, 0.0))
    for number in range(count):
        list(directory.announce(make_announcement(number, 9), 0.0))
        service = ids.ServiceId(f"service-{number // 10}")
        directory.candidates(CUSTOMER, service, 1.0)
    list(core.on_tick(1.0))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before
