"""Rolling restart of all entry hosts under traffic.

Example::

    python -m foxtailworks.bench.rolling --pause-s 5 --no-memory
"""

import asyncio
import dataclasses
import json
import pathlib
import shutil
import signal
import typing

import typer

from foxtailworks.bench import _deployment
from foxtailworks.bench import _processes
from foxtailworks.bench import judge

SECOND_OCTET = 62
ENTRY_HOSTS = 6
UPSTREAMS = {_deployment.DESK: 3, _deployment.CALLS: 3}
REQUESTS_PER_S = 30.0
FLOWS = 60
SETTLE_S = 3.0
TAIL_S = 15.0
"""Time for which traffic continues after the last restart."""
RESTART_S = 4.0
"""Time that one host takes to leave and start; sets the run's length."""
EXIT_BROKEN = 1


async def _restart(
    deployment: _deployment.Deployment, names: list[str], pause_s: float | None
) -> None:
    """Restart hosts in turn, or all at once if ``pause_s`` is None."""
    if pause_s is None:
        ends = (
            deployment.processes.end(name, signal.SIGTERM) for name in names
        )
        await asyncio.gather(*ends)
        for name in names:
            await deployment.start_entry(name)
        return
    for name in names:
        await deployment.restart(name, signal.SIGTERM, 0.0)
        await asyncio.sleep(pause_s)


async def roll(
    folder: pathlib.Path, pause_s: float | None, seed: int, saves_state: bool
) -> tuple[judge.Verdict, tuple[str, ...]]:
    """Restart each entry host once and check the records.

    :param pause_s: seconds between restarts; None stops all hosts at once
    :return: verdict, and the POST requests wrongly reported as not run
    """
    shutil.rmtree(folder, ignore_errors=True)
    seconds = ENTRY_HOSTS * ((pause_s or 0.0) + RESTART_S) + TAIL_S
    requests = int(REQUESTS_PER_S * seconds)
    async with _processes.running(folder / "logs") as processes:
        deployment = _deployment.Deployment(
            folder,
            processes,
            SECOND_OCTET,
            ENTRY_HOSTS,
            saves_state=saves_state,
        )
        await deployment.start_all(UPSTREAMS, 0.0)
        await asyncio.sleep(SETTLE_S)
        await deployment.start_requests(
            _deployment.DESK, "caller-desk", requests, REQUESTS_PER_S, seed
        )
        await deployment.start_flows("caller-calls", FLOWS, seconds, seed)
        await _restart(deployment, processes.running_names("entry"), pause_s)
        for name in processes.running_names("caller-"):
            await processes.wait(name)
        started = processes.started_count
    return judge.judge_folder(
        deployment.record_folder, requests, FLOWS, started
    )


def main(
    pause_s: float = 5.0,
    seed: int = 1,
    together: typing.Annotated[
        bool, typer.Option(help="stop all hosts at the same moment")
    ] = False,
    memory: typing.Annotated[
        bool,
        typer.Option(help="let hosts save their state for the next start"),
    ] = True,
    folder: pathlib.Path = pathlib.Path("var/rolling"),
) -> None:
    """Restart all entry hosts; fail on any fault or unknown outcome."""
    pause = None if together else pause_s
    verdict, wrongly_not_run = asyncio.run(roll(folder, pause, seed, memory))
    line = {
        **dataclasses.asdict(verdict),
        "false_not_run": len(wrongly_not_run),
    }
    print(json.dumps(line))
    has_failed = verdict.faults() or wrongly_not_run or verdict.outcome_unknown
    raise typer.Exit(EXIT_BROKEN if has_failed else 0)


if __name__ == "__main__":
    typer.run(main)
