"""Figures of placement: broken flows, imbalance, control bytes, time."""

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
from foxtailworks import ids
from foxtailworks import placement

SEEDS = (1,)
"""One trace each for broken flows."""
WAITING_SEEDS = (1, 2, 3)
"""Traces of requests; their figures are averaged."""
WAITING_S = 30.0
"""Length of a trace of requests."""
LOADS = (0.5, 0.8, 0.95, 1.2)
"""Offered work by the slots there are."""
FLOWS = (10_000, 100_000, 300_000)
"""Open flows for the control bytes."""
FLOW_LIFE_S = 150.0
"""Mean life of a flow there: 2,000 new ones a second at 300,000 open."""
WARM_S = 200.0
"""Flows come and go for so long before the bytes are counted."""
CONTROL_S = 60.0
"""How long the bytes are counted."""

DESIGNS: dict[str, abc.Callable[[], _fleet.Design]] = {
    "modulo": lambda: _alternatives.Modulo(random.Random(5)),
    "rendezvous": lambda: _alternatives.Rival(random.Random(5)),
    "table and digests": lambda: _alternatives.TableAndDigests(
        random.Random(5)
    ),
    "owner": lambda: _alternatives.Owner(random.Random(5)),
    "owner and backup": lambda: _alternatives.OwnerAndBackup(random.Random(5)),
    "chosen": lambda: _fleet.Fleet(random.Random(5)),
}
"""The designs weighed; the last is the one built."""


def broken_flows(
    designs: abc.Iterable[str] = tuple(DESIGNS),
) -> abc.Iterator[_figure.Figure]:
    """Yield moved flows by size, event and design."""
    for size in _slot_waiting.SIZES:
        for event in _flow_trace_events.EVENTS:
            base = _broken_part("modulo", size, event)
            for name in designs:
                yield _figure.Figure(
                    f"broken_flows_per_10k[{size.name},{event},{name}]",
                    _broken_part(name, size, event),
                    "flows",
                    base,
                    0.0,
                )


@functools.cache
def _broken_part(name: str, size: _slot_waiting.Size, event: str) -> float:
    """Return the moved flows of 10,000 in one design."""
    runs = [
        _flow_trace_events.run_event(DESIGNS[name](), size, event, seed)
        for seed in SEEDS
    ]
    part = statistics.fmean(run.broken / run.flows for run in runs)
    return round(10_000 * part, 1)


def _policies(
    size: _slot_waiting.Size,
) -> dict[str, list[placement.Policy]]:
    """Return each policy, once for each host."""
    views = [
        placement.HostView(
            ids.HostId(f"entry-{i}"), ids.ZoneId(f"zone-{i % size.zones}")
        )
        for i in range(size.hosts)
    ]
    seen = [placement.LeastLocalLoad(view.zone) for view in views]
    for policy, view in zip(seen, views):
        policy.set_hosts(view.host, views)
    hosts = range(size.hosts)
    return {
        "random": [placement.RandomChoice() for _ in hosts],
        "round robin": [placement.RoundRobin() for _ in hosts],
        "least reported": [placement.LeastReportedLoad() for _ in hosts],
        "power of two": [placement.PowerOfTwo() for _ in hosts],
        "chosen": list(seen),
    }


def waiting() -> abc.Iterator[_figure.Figure]:
    """Yield imbalance and waiting by size, load and policy."""
    for size in _slot_waiting.SIZES:
        for load in LOADS:
            runs = {
                name: _run_waiting(size, load, name)
                for name in _policies(size)
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


def _run_waiting(
    size: _slot_waiting.Size, load: float, name: str
) -> _slot_waiting.Waiting:
    """Return the mean of several traces."""
    runs = []
    for seed in WAITING_SEEDS:
        balancers = [placement.Balancer(p) for p in _policies(size)[name]]
        runs.append(
            _slot_waiting.Run(size, load, balancers, seed).go(WAITING_S)
        )
    return _slot_waiting.Waiting(
        round(statistics.fmean(run.imbalance for run in runs), 3),
        round(statistics.fmean(run.p99_ms for run in runs), 1),
        round(statistics.fmean(run.shed_part for run in runs), 4),
    )


def control_bytes() -> abc.Iterator[_figure.Figure]:
    """Yield control bytes by open flows, and the slopes."""
    values = [_control_rate(count, 7, 21) for count in FLOWS]
    for count, value in zip(FLOWS, values):
        yield _figure.Figure(
            f"control_bytes_per_s_per_host[{count}]",
            value,
            "B/s",
            _copied_rate(count, 7),
            3000.0,
        )
    per_flow = (values[1] - values[0]) / (FLOWS[1] - FLOWS[0])
    yield _figure.Figure(
        "control_bytes_slope[flows]", round(per_flow * 1000, 2), "B/s/1000"
    )
    for name, hosts, upstreams in (("hosts", 14, 21), ("upstreams", 7, 42)):
        more = _control_rate(FLOWS[0], hosts, upstreams)
        each = (more - values[0]) / (hosts - 7 or upstreams - 21)
        yield _figure.Figure(
            f"control_bytes_slope[{name}]", round(each, 2), "B/s"
        )


def _copied_rate(flows: int, hosts: int) -> float:
    """Return what copying each new flow to one host would take."""
    return round(flows / FLOW_LIFE_S / hosts * _alternatives.ENTRY_BYTES, 1)


def _control_rate(flows: int, hosts: int, upstreams: int) -> float:
    """Return bytes a second that a host sends while flows come and go.

    One host in ``hosts`` is run with its share of the flows; the others
    acknowledge.
    """
    size = _slot_waiting.Size("control", upstreams, 1, 4, hosts)
    fleet = _fleet.Fleet(
        random.Random(5), placement.PlacementConfig(flow_idle_s=FLOW_LIFE_S)
    )
    world = _flow_trace.World(fleet, size, 1)
    world.settle()
    world.churn(flows / FLOW_LIFE_S, WARM_S)
    before = sum(p.control_bytes for p in fleet.placers.values())
    started = world.now
    world.churn(flows / FLOW_LIFE_S, CONTROL_S)
    spent = sum(p.control_bytes for p in fleet.placers.values()) - before
    return round(spent / hosts / (world.now - started), 1)


def drained() -> abc.Iterator[_figure.Figure]:
    """Yield how long a draining upstream gets new flows."""
    for size in _slot_waiting.SIZES:
        world = _flow_trace.World(_fleet.Fleet(random.Random(5)), size, 1)
        yield _figure.Figure(
            f"new_work_after_drain_s_max[{size.name}]",
            round(world.last_new_after_drain(), 2),
            "s",
            None,
            3.0,
        )


def placement_us() -> abc.Iterator[_figure.Figure]:
    """Yield the time of one packet at the flow's owner."""
    size = _slot_waiting.SIZES[0]
    fleet = _fleet.Fleet(random.Random(5))
    world = _flow_trace.World(fleet, size, 1)
    world.settle()
    callers = [ids.Address(f"10.3.{i >> 8}.{i & 255}", 9) for i in range(5000)]
    for known in (False, True):
        started = time.perf_counter()
        for caller in callers:
            fleet.packet(
                ids.HostId("entry-0"), _flow_trace.SERVICE, caller, world.now
            )
        spent = time.perf_counter() - started
        kind = "known flow" if known else "new flow"
        yield _figure.Figure(
            f"placement_us[{kind},with relay]",
            round(1e6 * spent / len(callers), 1),
            "us",
        )


def run() -> abc.Iterator[_figure.Figure]:
    """Yield all figures of placement."""
    yield from broken_flows()
    yield from waiting()
    yield from drained()
    yield from control_bytes()
    yield from placement_us()


def main() -> None:
    """Print all figures of placement."""
    for figure in run():
        print(figure.to_json(), flush=True)


if __name__ == "__main__":
    main()
