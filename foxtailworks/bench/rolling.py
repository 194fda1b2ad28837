"""Restarts all entry hosts, one after the other, under traffic.

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

from foxtailworks.bench import _processes
from foxtailworks.bench import _stage
from foxtailworks.bench import judge

NET = 62
ENTRIES = 6
UPSTREAMS = {_stage.DESK: 3, _stage.CALLS: 3}
RATE = 30.0
FLOWS = 60
SETTLE_S = 3.0
TAIL_S = 15.0
"""Traffic goes on for so long after the last restart."""
LEAVE_S = 4.0
"""What one host takes to leave and to start, for the length of the run."""
EXIT_BROKEN = 1


async def _restart(
    stage: _stage.Stage, names: list[str], pause_s: float | None
) -> None:
    """Restart hosts one after the other, or all at once without a pause."""
    if pause_s is None:
        ends = (stage.processes.end(name, signal.SIGTERM) for name in names)
        await asyncio.gather(*ends)
        for name in names:
            await stage.start_entry(name)
        return
    for name in names:
        await stage.restart(name, signal.SIGTERM, 0.0)
        await asyncio.sleep(pause_s)


async def roll(
    folder: pathlib.Path, pause_s: float | None, seed: int, has_memory: bool
) -> tuple[judge.Verdict, tuple[str, ...]]:
    """Restart each entry host once; return what the records say."""
    shutil.rmtree(folder, ignore_errors=True)
    seconds = ENTRIES * ((pause_s or 0.0) + LEAVE_S) + TAIL_S
    requests = int(RATE * seconds)
    async with _processes.running(folder / "logs") as processes:
        stage = _stage.Stage(
            folder, processes, NET, ENTRIES, has_memory=has_memory
        )
        await stage.start_all(UPSTREAMS, 0.0)
        await asyncio.sleep(SETTLE_S)
        await stage.start_requests(
            _stage.DESK, "caller-desk", requests, RATE, seed
        )
        await stage.start_flows("caller-calls", FLOWS, seconds, seed)
        await _restart(stage, processes.names("entry"), pause_s)
        for name in processes.names("caller-"):
            await processes.wait(name)
        started = processes.started
    return judge.judge_folder(stage.record_folder, requests, FLOWS, started)


def main(
    pause_s: float = 5.0,
    seed: int = 1,
    together: typing.Annotated[
        bool, typer.Option(help="all hosts stop at the same moment")
    ] = False,
    memory: typing.Annotated[
        bool, typer.Option(help="hosts leave their memory to the next start")
    ] = True,
    folder: pathlib.Path = pathlib.Path("var/rolling"),
) -> None:
    """Roll over all entry hosts; fail when anything was lost or unknown."""
    pause = None if together else pause_s
    verdict, false = asyncio.run(roll(folder, pause, seed, memory))
    line = {**dataclasses.asdict(verdict), "false_not_run": len(false)}
    print(json.dumps(line))
    is_bad = verdict.faults() or false or verdict.outcome_unknown
    raise typer.Exit(EXIT_BROKEN if is_bad else 0)


if __name__ == "__main__":
    typer.run(main)
