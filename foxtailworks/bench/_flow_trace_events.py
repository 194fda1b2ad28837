"""Events that may move flows, run in the simulated traces."""

from collections import abc

from foxtailworks.bench import _fleet
from foxtailworks.bench import _flow_trace
from foxtailworks.bench import _slot_waiting


def _change_with_differing_views(trace: _flow_trace.FlowTrace) -> None:
    """Change hosts and upstreams while hosts are notified within 2 s."""
    trace.notify_s = _flow_trace.NOTIFY_UNEVENLY_S
    trace.drain()
    trace.add_upstream()
    trace.join()


def _change_upstreams_and_crash_host(trace: _flow_trace.FlowTrace) -> None:
    """Drain, add an upstream and crash an entry host at once."""
    trace.drain()
    trace.add_upstream()
    trace.crash_host()


def _drain_then_crash_host(trace: _flow_trace.FlowTrace) -> None:
    """Crash an entry host 30 s after a drain."""
    trace.drain()
    trace.schedule(trace.now + 30, trace.crash_host)


EVENTS: dict[str, abc.Callable[[_flow_trace.FlowTrace], None]] = {
    "drain": _flow_trace.FlowTrace.drain,
    "addition": _flow_trace.FlowTrace.add_upstream,
    "upstream crash": _flow_trace.FlowTrace.crash_upstream,
    "entry crash": _flow_trace.FlowTrace.crash_host,
    "entry restart": _flow_trace.FlowTrace.restart_host,
    "entry join": _flow_trace.FlowTrace.join,
    "entry leave": _flow_trace.FlowTrace.leave,
    "drain, then entry crash": _drain_then_crash_host,
    "both at once": _change_upstreams_and_crash_host,
    "views that differ": _change_with_differing_views,
    "zone cut": _flow_trace.FlowTrace.isolate_zone,
}


def run_event(
    design: _fleet.Design,
    size: _slot_waiting.ServiceSize,
    event: str,
    seed: int,
) -> _flow_trace.TraceResult:
    """Run one trace of a design with one event."""
    trace = _flow_trace.FlowTrace(design, size, seed)
    trace.schedule(_flow_trace.EVENT_S, lambda: EVENTS[event](trace))
    return trace.run()
