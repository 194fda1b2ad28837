"""Command line of ``foxtail-entry``."""

import asyncio
import random
import time

import typer

from foxtailworks import daemon
from foxtailworks.entry import _host
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import settings

_EVENTS = observe.Events("entry")

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
    """Take callers' packets and place them on upstreams.

    SIGTERM leaves gracefully; a second one ends at once.
    """
    daemon.run(settings_file, settings.EntrySettings, check, _serve)


async def _serve(cfg: settings.EntrySettings) -> None:
    """Serve until a stop signal or the failure of a task."""
    stop = daemon.stop_event()
    clock = asyncio.get_running_loop().time
    incarnation = ids.Incarnation(time.time_ns() // 1000)
    rng = random.Random(f"{cfg.host} {incarnation}")
    with observe.open_metrics(
        cfg.statsd, f"foxtail.entry.{cfg.host}"
    ) as metrics:
        host = _host.EntryHost(cfg, incarnation, rng, metrics, clock)
        async with host.opened(stop):
            _EVENTS.info("ready", host=cfg.host, zone=cfg.zone)
            await stop.wait()
            if host.failure is not None:
                raise host.failure
            _EVENTS.info("leaving", host=cfg.host)
            await host.leave()
    _EVENTS.info("stopped", host=cfg.host)
