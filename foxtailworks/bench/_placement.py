"""Benchmark of placement: broken flows, imbalance, control bytes, time."""

from collections import abc
import functools
import random
import statistics
import time

from foxtailworks.bench import _alternatives
from foxtailworks.bench import _figure
from foxtailworks.bench import _fleet
from foxtailworks.bench import _flow_trace
from foxtailworks.bench import _flow_trace_events
from foxtailworks.bench import _slot_waiting
from foxtailworks.bench import _trace_cluster
from foxtailworks import ids
from foxtailworks import placement

SEEDS = (1,)
"""Seeds of the traces for broken flows, one trace each."""
WAITING_SEEDS = (1, 2, 3)
"""Seeds of the request traces, whose figures are averaged."""
WAITING_S = 30.0
"""Length of a request trace in seconds."""
LOADS = (0.5, 0.8, 0.95, 1.2)
"""Offered work as a share of the capacity of all slots."""
FLOW_COUNTS = (10_000, 100_000, 300_000)
"""Numbers of open flows at which control bytes are measured."""
MEAN_FLOW_LIFETIME_S = 150.0
"""Mean lifetime of a flow: 2,000 new ones a second at 300,000 open."""
WARM_UP_S = 200.0
"""Seconds of churn before control bytes are counted."""
CONTROL_S = 60.0
"""Seconds in which control bytes are counted."""

DESIGNS: dict[str, abc.Callable[[], _fleet.Design]] = {
    "modulo": lambda: _alternatives.Modulo(random.Random(5)),
    "rendezvous": lambda: _alternatives.StatelessRendezvous(random.Random(5)),
    "table and digests": lambda: _alternatives.TableAndDigests(
        random.Random(5)
    ),
    "owner": lambda: _alternatives.Owner(random.Random(5)),
    "owner and backup": lambda: _alternatives.OwnerAndBackup(random.Random(5)),
    "chosen": lambda: _fleet.Fleet(random.Random(5)),
}
"""The designs compared; the last is the implemented one."""


def measure_broken_flows(
    designs: abc.Iterable[str] = tuple(DESIGNS),
) -> abc.Iterator[_figure.Figure]:
    """Yield the broken flows by service, event and design."""
    for size in _slot_waiting.SIZES:
        for event in _flow_trace_events.EVENTS:
            base = _broken_flows_per_10k("modulo", size, event)
            for name in designs:
                yield _figure.Figure(
                    f"broken_flows_per_10k[{size.name},{event},{name}]",
                    _broken_flows_per_10k(name, size, event),
                    "flows",
                    base,
                    0.0,
                )


@functools.cache
def _broken_flows_per_10k(
    name: str, size: _slot_waiting.ServiceSize, event: str
) -> float:
    """Return the broken flows of 10,000 in one design."""
    runs = [
        _flow_trace_events.run_event(DESIGNS[name](), size, event, seed)
        for seed in SEEDS
    ]
    part = statistics.fmean(run.broken / run.flows for run in runs)
    return round(10_000 * part, 1)


def _make_policies(
    size: _slot_waiting.ServiceSize,
) -> dict[str, list[placement.Policy]]:
    """Return an instance of each policy for each host."""
    views = [
        placement.HostView(
            ids.HostId(f"entry-{i}"), ids.ZoneId(f"zone-{i % size.zones}")
        )
        for i in range(size.hosts)
    ]
    least_local_load = [placement.LeastLocalLoad(view.zone) for view in views]
    for policy, view in zip(least_local_load, views):
        policy.set_hosts(view.host, views)
    hosts = range(size.hosts)
    return {
        "random": [placement.RandomChoice() for _ in hosts],
        "round robin": [placement.RoundRobin() for _ in hosts],
        "least reported": [placement.LeastReportedLoad() for _ in hosts],
        "power of two": [placement.PowerOfTwo() for _ in hosts],
        "chosen": list(least_local_load),
    }


def measure_waiting() -> abc.Iterator[_figure.Figure]:
    """Yield imbalance and waiting time by service, load and policy."""
    for size in _slot_waiting.SIZES:
        for load in LOADS:
            runs = {
                name: _mean_waiting(size, load, name)
                for name in _make_policies(size)
            }
            base = runs["random"]
            for name, run in runs.items():
                case = f"[{size.name},{load:.0%},{name}]"
                yield _figure.Figure(
                    f"imbalance_max_over_mean{case}",
                    run.imbalance,
                    "ratio",
                    base.imbalance,
                )
                yield _figure.Figure(
                    f"slot_waiting_p99{case}", run.p99_ms, "ms", base.p99_ms
                )


def _mean_waiting(
    size: _slot_waiting.ServiceSize, load: float, name: str
) -> _slot_waiting.WaitingResult:
    """Return the mean results of the request traces."""
    runs = []
    for seed in WAITING_SEEDS:
        balancers = [placement.Balancer(p) for p in _make_policies(size)[name]]
        runs.append(
            _slot_waiting.WaitingSimulation(
                size, load, balancers, seed
            ).simulate(WAITING_S)
        )
    return _slot_waiting.WaitingResult(
        round(statistics.fmean(run.imbalance for run in runs), 3),
        round(statistics.fmean(run.p99_ms for run in runs), 1),
        round(statistics.fmean(run.shed_share for run in runs), 4),
    )


def measure_control_bytes() -> abc.Iterator[_figure.Figure]:
    """Yield control bytes by number of open flows, and their slopes."""
    values = [_control_bytes_per_s(count, 7, 21) for count in FLOW_COUNTS]
    for count, value in zip(FLOW_COUNTS, values):
        yield _figure.Figure(
            f"control_bytes_per_s_per_host[{count}]",
            value,
            "B/s",
            _copy_bytes_per_s(count, 7),
            3000.0,
        )
    per_flow = (values[1] - values[0]) / (FLOW_COUNTS[1] - FLOW_COUNTS[0])
    yield _figure.Figure(
        "control_bytes_slope[flows]", round(per_flow * 1000, 2), "B/s/1000"
    )
    for name, hosts, upstreams in (("hosts", 14, 21), ("upstreams", 7, 42)):
        more = _control_bytes_per_s(FLOW_COUNTS[0], hosts, upstreams)
        each = (more - values[0]) / (hosts - 7 or upstreams - 21)
        yield _figure.Figure(
            f"control_bytes_slope[{name}]", round(each, 2), "B/s"
        )


def _copy_bytes_per_s(flows: int, hosts: int) -> float:
    """Return the bytes a second to copy each new flow to one host."""
    return round(
        flows / MEAN_FLOW_LIFETIME_S / hosts * _alternatives.FLOW_COPY_BYTES, 1
    )


def _control_bytes_per_s(flows: int, hosts: int, upstreams: int) -> float:
    """Return the control bytes that a host sends a second under churn.

    The bytes are averaged over all ``hosts``.
    """
    size = _slot_waiting.ServiceSize("control", upstreams, 1, 4, hosts)
    fleet = _fleet.Fleet(
        random.Random(5),
        placement.PlacementConfig(flow_idle_s=MEAN_FLOW_LIFETIME_S),
    )
    trace = _flow_trace.FlowTrace(fleet, size, 1)
    trace.cluster.settle()
    trace.churn(flows / MEAN_FLOW_LIFETIME_S, WARM_UP_S)
    before = sum(p.control_bytes for p in fleet.placers.values())
    started = trace.cluster.now
    trace.churn(flows / MEAN_FLOW_LIFETIME_S, CONTROL_S)
    spent = sum(p.control_bytes for p in fleet.placers.values()) - before
    return round(spent / hosts / (trace.cluster.now - started), 1)


def measure_drain() -> abc.Iterator[_figure.Figure]:
    """Yield the seconds for which a draining upstream gets new flows."""
    for size in _slot_waiting.SIZES:
        trace = _flow_trace.FlowTrace(_fleet.Fleet(random.Random(5)), size, 1)
        yield _figure.Figure(
            f"new_work_after_drain_s_max[{size.name}]",
            round(trace.last_new_flow_after_drain(), 2),
            "s",
            None,
            3.0,
        )


def measure_placement_time() -> abc.Iterator[_figure.Figure]:
    """Yield the elapsed time to place one packet, relays included."""
    size = _slot_waiting.SIZES[0]
    fleet = _fleet.Fleet(random.Random(5))
    trace = _flow_trace.FlowTrace(fleet, size, 1)
    trace.cluster.settle()
    callers = [ids.Address(f"10.3.{i >> 8}.{i & 255}", 9) for i in range(5000)]
    for known in (False, True):
        started = time.perf_counter()
        for caller in callers:
            fleet.packet(
                ids.HostId("entry-0"),
                _trace_cluster.SERVICE,
                caller,
                trace.cluster.now,
            )
        spent = time.perf_counter() - started
        kind = "known flow" if known else "new flow"
        yield _figure.Figure(
            f"placement_us[{kind},with relay]",
            round(1e6 * spent / len(callers), 1),
            "us",
        )


def run() -> abc.Iterator[_figure.Figure]:
    """Yield all figures of the placement benchmark."""
    yield from measure_broken_flows()
    yield from measure_waiting()
    yield from measure_drain()
    yield from measure_control_bytes()
    yield from measure_placement_time()


def main() -> None:
    """Print all figures as lines of JSON."""
    for figure in run():
        print(figure.to_json(), flush=True)


if __name__ == "__main__":
    main()
