"""Imports in steps."""

import gc
import importlib
import sys
import typing

COORDINATOR_MODULES = (
    "logging",
    "asyncio",
    "uvloop",
    "logbook",
    "msgspec",
    "httptools",
    "foxtailworks.steering",
    "foxtailworks.agreement",
    "foxtailworks.coordinator",
)
"""Modules of a coordinator; each takes a few hundredths of a second."""


class _Interruptions:
    """Calls a function whenever a module is searched for.

    A finder that finds nothing itself; an import of one package searches for
    dozens of modules.
    """

    def __init__(self, call: typing.Callable[[], None]) -> None:
        self._call = call

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> None:
        """Call the function; leave the search to the other finders."""
        self._call()


def import_modules(
    names: typing.Iterable[str], between: typing.Callable[[], None]
) -> None:
    """Import modules in turn and call ``between`` before each of them.

    That includes the modules that they import themselves: a package takes
    up to a tenth of a second.

    The garbage collector rests meanwhile, since nothing that a module
    creates is garbage, and ignores these objects afterwards.
    """
    gc.disable()
    finder = _Interruptions(between)
    sys.meta_path.insert(0, typing.cast(typing.Any, finder))
    try:
        for name in names:
            importlib.import_module(name)
            between()
    finally:
        sys.meta_path.remove(typing.cast(typing.Any, finder))
    gc.freeze()
    gc.enable()
