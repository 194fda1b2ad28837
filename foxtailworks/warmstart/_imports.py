"""Imports in steps."""

import gc
import importlib
import typing

COORDINATOR_MODULES = (
    "logging",
    "asyncio",
    "uvloop",
    "logbook",
    "cattrs",
    "msgspec",
    "h11",
    "foxtailworks.steering",
    "foxtailworks.agreement",
    "foxtailworks.coordinator",
)
"""Modules of a coordinator; each takes a few hundredths of a second."""


def import_modules(
    names: typing.Iterable[str], between: typing.Callable[[], None]
) -> None:
    """Import modules in turn and call ``between`` after each of them.

    The garbage collector rests meanwhile, since nothing that a module
    creates is garbage, and ignores these objects afterwards.
    """
    gc.disable()
    for name in names:
        importlib.import_module(name)
        between()
    gc.freeze()
    gc.enable()
