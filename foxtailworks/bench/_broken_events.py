"""The events of the traces by which flows may break."""

from collections import abc

from foxtailworks.bench import _broken
from foxtailworks.bench import _fleet
from foxtailworks.bench import _waiting


def _uneven(world: _broken.World) -> None:
    """Drain and add at once while hosts learn within 2 s."""
    world.learn_s = _broken.UNEVEN_S
    world.drain()
    world.add_upstream()
    world.join()


def _both(world: _broken.World) -> None:
    """Drain, add, and lose an entry host at once."""
    world.drain()
    world.add_upstream()
    world.crash_host()


def _drain_then_crash(world: _broken.World) -> None:
    """Lose an entry host 30 s after a drain."""
    world.drain()
    world.at(world.now + 30, world.crash_host)


EVENTS: dict[str, abc.Callable[[_broken.World], None]] = {
    "drain": _broken.World.drain,
    "addition": _broken.World.add_upstream,
    "upstream crash": _broken.World.crash_upstream,
    "entry crash": _broken.World.crash_host,
    "entry restart": _broken.World.restart_host,
    "entry join": _broken.World.join,
    "entry leave": _broken.World.leave,
    "drain, then entry crash": _drain_then_crash,
    "both at once": _both,
    "views that differ": _uneven,
    "zone cut": _broken.World.cut,
}


def run_event(
    design: _fleet.Design, size: _waiting.Size, event: str, seed: int
) -> _broken.Broken:
    """Run one trace with one event."""
    world = _broken.World(design, size, seed)
    world.at(_broken.EVENT_S, lambda: EVENTS[event](world))
    return world.run()
