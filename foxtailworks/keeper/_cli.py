"""Command line of ``foxtail-keeper``."""

import asyncio
import pathlib
import random
import signal
import sys
import typing

import typer
import uvloop

import foxtailworks
from foxtailworks import errors
from foxtailworks.keeper import _program
from foxtailworks import observe
from foxtailworks import settings

EXIT_FAULT = 1
EXIT_SETTINGS = 2
EXIT_STOPPED_AT_ONCE = 130

_EVENTS = observe.Events("keeper")

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
    """Keep a replica of the contract log on this host's disk.

    SIGTERM hands the lead over and ends; a second one ends at once.
    """
    try:
        cfg = settings.load(settings_file, settings.KeeperSettings)
    except errors.FoxtailError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(EXIT_SETTINGS) from exc
    if check:
        return
    with observe.logging_to(sys.stderr, cfg.log_level.value):
        try:
            uvloop.run(_serve(cfg))
        except errors.FoxtailError as exc:
            _EVENTS.failed("ended_by_fault", exc)
            raise typer.Exit(EXIT_FAULT) from exc


async def _serve(cfg: settings.KeeperSettings) -> None:
    """Serve until told to stop or until the disk fails."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            sys.exit(EXIT_STOPPED_AT_ONCE)
        stop.set()

    for item in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(item, on_signal)
    with observe.open_metrics(
        cfg.statsd, f"foxtail.keeper.{cfg.keeper}"
    ) as metrics:
        program = _program.Program(cfg, random.Random(), metrics, loop.time)
        async with program.opened(stop):
            _EVENTS.info("ready", keeper=cfg.keeper, zone=cfg.zone)
            await stop.wait()
            await program.leave()
    _EVENTS.info("stopped", keeper=cfg.keeper)
    if program.failed is not None:
        raise program.failed
