"""Events that may move flows, run in the simulated traces."""

from collections import abc

from foxtailworks.bench import _fleet
from foxtailworks.bench import _flow_trace
from foxtailworks.bench import _slot_waiting
from foxtailworks.bench import _trace_cluster


def _change_with_differing_views(cluster: _trace_cluster.TraceCluster) -> None:
    """Change hosts and upstreams while hosts are notified within 2 s."""
    cluster.notify_s = _trace_cluster.NOTIFY_UNEVENLY_S
    cluster.drain()
    cluster.add_upstream()
    cluster.join()


def _change_upstreams_and_crash_host(
    cluster: _trace_cluster.TraceCluster,
) -> None:
    """Drain, add an upstream and crash an entry host at once."""
    cluster.drain()
    cluster.add_upstream()
    cluster.crash_host()


def _drain_then_crash_host(cluster: _trace_cluster.TraceCluster) -> None:
    """Crash an entry host 30 s after a drain."""
    cluster.drain()
    cluster.schedule(cluster.now + 30, cluster.crash_host)


EVENTS: dict[str, abc.Callable[[_trace_cluster.TraceCluster], None]] = {
    "drain": _trace_cluster.TraceCluster.drain,
    "addition": _trace_cluster.TraceCluster.add_upstream,
    "upstream crash": _trace_cluster.TraceCluster.crash_upstream,
    "entry crash": _trace_cluster.TraceCluster.crash_host,
    "entry restart": _trace_cluster.TraceCluster.restart_host,
    "entry join": _trace_cluster.TraceCluster.join,
    "entry leave": _trace_cluster.TraceCluster.leave,
    "drain, then entry crash": _drain_then_crash_host,
    "both at once": _change_upstreams_and_crash_host,
    "views that differ": _change_with_differing_views,
    "zone cut": _trace_cluster.TraceCluster.isolate_zone,
}


def run_event(
    design: _fleet.Design,
    size: _slot_waiting.ServiceSize,
    event: str,
    seed: int,
) -> _flow_trace.TraceResult:
    """Run one trace of a design with one event."""
    trace = _flow_trace.FlowTrace(design, size, seed)
    cluster = trace.cluster
    cluster.schedule(_flow_trace.EVENT_S, lambda: EVENTS[event](cluster))
    return trace.run()
