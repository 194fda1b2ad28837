"""Command line of ``foxtail-entry``."""

import asyncio
import pathlib
import random
import signal
import sys
import time
import traceback
import typing

import typer
import uvloop

import foxtailworks
from foxtailworks.entry import _host
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import settings

EXIT_SETTINGS = 2
EXIT_STOPPED_AT_ONCE = 130

_EVENTS = observe.Events("entry")

app = typer.Typer(add_completion=False)


def main() -> None:
    """Run the command line."""
    app()


def _show_version(wanted: bool) -> None:
    """Print the version and end."""
    if wanted:
        typer.echo(foxtailworks.VERSION)
        raise typer.Exit


@app.command()
def run(
    settings_file: typing.Annotated[
        pathlib.Path,
        typer.Option("--settings", help="JSON with comments"),
    ],
    check: typing.Annotated[
        bool, typer.Option("--check", help="check the settings and end")
    ] = False,
    version: typing.Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True),
    ] = False,
) -> None:
    """Take callers' packets and place them on upstreams.

    SIGTERM leaves gracefully; a second one ends at once.
    """
    try:
        cfg = settings.load(settings_file, settings.EntrySettings)
    except errors.FoxtailError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(EXIT_SETTINGS) from exc
    if check:
        return
    with observe.logging_to(sys.stderr, cfg.log_level.value):
        uvloop.run(_serve(cfg))


async def _serve(cfg: settings.EntrySettings) -> None:
    """Serve until told to stop."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_fault)
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            sys.exit(EXIT_STOPPED_AT_ONCE)
        stop.set()

    for item in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(item, on_signal)
    incarnation = ids.Incarnation(time.time_ns() // 1000)
    rng = random.Random(f"{cfg.host} {incarnation}")
    with observe.open_metrics(
        cfg.statsd, f"foxtail.entry.{cfg.host}"
    ) as metrics:
        host = _host.EntryHost(cfg, incarnation, rng, metrics, loop.time)
        async with host.opened(stop):
            _EVENTS.info("ready", host=cfg.host, zone=cfg.zone)
            await stop.wait()
            if host.failed is not None:
                raise host.failed
            _EVENTS.info("leaving", host=cfg.host)
            await host.leave()
    _EVENTS.info("stopped", host=cfg.host)


def _log_fault(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    """Log what a callback raised; the program goes on."""
    exc = context.get("exception")
    _EVENTS.error(
        "fault",
        code=errors.Code.INTERNAL.value,
        what=context["message"],
        reason=repr(exc),
        at=traceback.format_exception(exc)[-2:] if exc else "",
    )
