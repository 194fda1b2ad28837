"""The events of the traces by which flows may break."""

from collections import abc

from foxtailworks.bench import _fleet
from foxtailworks.bench import _flow_trace
from foxtailworks.bench import _slot_waiting


def _uneven(world: _flow_trace.World) -> None:
    """Drain and add at once while hosts learn within 2 s."""
    world.learn_s = _flow_trace.UNEVEN_S
    world.drain()
    world.add_upstream()
    world.join()


def _both(world: _flow_trace.World) -> None:
    """Drain, add, and lose an entry host at once."""
    world.drain()
    world.add_upstream()
    world.crash_host()


def _drain_then_crash(world: _flow_trace.World) -> None:
    """Lose an entry host 30 s after a drain."""
    world.drain()
    world.at(world.now + 30, world.crash_host)


EVENTS: dict[str, abc.Callable[[_flow_trace.World], None]] = {
    "drain": _flow_trace.World.drain,
    "addition": _flow_trace.World.add_upstream,
    "upstream crash": _flow_trace.World.crash_upstream,
    "entry crash": _flow_trace.World.crash_host,
    "entry restart": _flow_trace.World.restart_host,
    "entry join": _flow_trace.World.join,
    "entry leave": _flow_trace.World.leave,
    "drain, then entry crash": _drain_then_crash,
    "both at once": _both,
    "views that differ": _uneven,
    "zone cut": _flow_trace.World.cut,
}


def run_event(
    design: _fleet.Design, size: _slot_waiting.Size, event: str, seed: int
) -> _flow_trace.Broken:
    """Run one trace with one event."""
    world = _flow_trace.World(design, size, seed)
    world.at(_flow_trace.EVENT_S, lambda: EVENTS[event](world))
    return world.run()
