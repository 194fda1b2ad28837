"""Command line of ``foxtail-keeper``."""

import asyncio
import random

import typer

from foxtailworks import daemon
from foxtailworks.keeper import _server
from foxtailworks import observe
from foxtailworks import settings

_EVENTS = observe.Events("keeper")

app = typer.Typer(add_completion=False)


def main() -> None:
    """Run the command line interface."""
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
    """Serve until a stop signal or a fault such as a failed disk."""
    stop = daemon.stop_event()
    clock = asyncio.get_running_loop().time
    with observe.open_metrics(
        cfg.statsd, f"foxtail.keeper.{cfg.keeper}"
    ) as metrics:
        server = _server.KeeperServer(cfg, random.Random(), metrics, clock)
        async with server.opened(stop):
            _EVENTS.info("ready", keeper=cfg.keeper, zone=cfg.zone)
            await stop.wait()
            await server.leave()
    _EVENTS.info("stopped", keeper=cfg.keeper)
    if server.failure is not None:
        raise server.failure
