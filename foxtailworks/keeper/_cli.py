"""Command line of ``foxtail-keeper``."""

import asyncio
import random

import typer

from foxtailworks import daemon
from foxtailworks.keeper import _program
from foxtailworks import observe
from foxtailworks import settings

_EVENTS = observe.Events("keeper")

app = typer.Typer(add_completion=False)


def main() -> None:
    """Run the command line."""
    app()


@app.command()
def run(
    settings_file: daemon.SettingsFile,
    check: daemon.Check = False,
    version: daemon.Version = False,
) -> None:
    """Keep a replica of the contract log on this host's disk.

    SIGTERM hands the lead over and ends; a second one ends at once.
    """
    daemon.run(settings_file, settings.KeeperSettings, check, _serve)


async def _serve(cfg: settings.KeeperSettings) -> None:
    """Serve until told to stop or until the disk fails."""
    stop = daemon.stop_event()
    clock = asyncio.get_running_loop().time
    with observe.open_metrics(
        cfg.statsd, f"foxtail.keeper.{cfg.keeper}"
    ) as metrics:
        program = _program.Program(cfg, random.Random(), metrics, clock)
        async with program.opened(stop):
            _EVENTS.info("ready", keeper=cfg.keeper, zone=cfg.zone)
            await stop.wait()
            await program.leave()
    _EVENTS.info("stopped", keeper=cfg.keeper)
    if program.failed is not None:
        raise program.failed
