"""Runs a daemon on one event loop until it is signalled to stop."""

import asyncio
from collections import abc
import pathlib
import signal
import sys
import traceback
import typing

import typer
import uvloop

import foxtailworks
from foxtailworks import errors
from foxtailworks import observe
from foxtailworks import settings

EXIT_FAULT = 1
EXIT_SETTINGS = 2
EXIT_STOPPED_AT_ONCE = 130

_EVENTS = observe.Events("daemon")


class HasLogLevel(typing.Protocol):
    """Settings that contain a log level."""

    @property
    def log_level(self) -> settings.LogLevel:
        """Lowest level of events that are logged."""


_Settings = typing.TypeVar("_Settings", bound=HasLogLevel)


def _show_version(wanted: bool) -> None:
    """Print the version and exit."""
    if wanted:
        typer.echo(foxtailworks.VERSION)
        raise typer.Exit


SettingsFile = typing.Annotated[
    pathlib.Path, typer.Option("--settings", help="JSON with comments")
]
Check = typing.Annotated[
    bool, typer.Option("--check", help="check the settings and end")
]
Version = typing.Annotated[
    bool, typer.Option("--version", callback=_show_version, is_eager=True)
]


def run(
    path: pathlib.Path,
    kind: type[_Settings],
    check: bool,
    serve: abc.Callable[
        [_Settings], abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Load the settings and run ``serve`` until it ends.

    :param kind: type of the settings
    :param check: only load and validate the settings
    :raises Exit: with ``EXIT_SETTINGS`` or ``EXIT_FAULT``
    """
    try:
        cfg = settings.load(path, kind)
    except errors.FoxtailError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(EXIT_SETTINGS) from exc
    if check:
        return
    with observe.logging_to(sys.stderr, cfg.log_level.value):
        try:
            uvloop.run(serve(cfg))
        except errors.FoxtailError as exc:
            _EVENTS.failed("ended_by_fault", exc)
            raise typer.Exit(EXIT_FAULT) from exc


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set.

    A second signal ends the process at once.  Exceptions in callbacks of
    the running loop are logged from now on.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_fault)
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            sys.exit(EXIT_STOPPED_AT_ONCE)
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    return stop


def _log_fault(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    """Log an exception that a callback of the loop raised."""
    exc = context.get("exception")
    _EVENTS.error(
        "fault",
        code=errors.Code.INTERNAL.value,
        what=context["message"],
        reason=repr(exc),
        at=traceback.format_exception(exc)[-2:] if exc else "",
    )
