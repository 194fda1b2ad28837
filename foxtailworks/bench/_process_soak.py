"""Faults in random order on real processes, judged by the records."""

import asyncio
import collections
from collections import abc
import dataclasses
import pathlib
import random
import shutil
import signal

from foxtailworks.bench import _processes
from foxtailworks.bench import _stage
from foxtailworks.bench import judge

UPSTREAMS = {_stage.DESK: 3, _stage.VAULT: 2, _stage.CALLS: 3}
LOSS = 0.01
RATE = 30.0
FLOWS = 60
SETTLE_S = 3.0
PAUSE_S = 1.0
# Callers go on for so long after the last fault.
TAIL_S = 8.0
NET = 60

Fault = abc.Callable[[_stage.Stage, random.Random], abc.Awaitable[None]]


async def _drain(stage: _stage.Stage, rng: random.Random) -> None:
    """Add an upstream and drain another of the same service."""
    service = rng.choice(sorted(_stage.KINDS))
    running = stage.processes.names(service)
    await stage.add_upstream(service)
    stage.processes.tell(running[0], signal.SIGUSR1)


async def _edit(stage: _stage.Stage, rng: random.Random) -> None:
    """Edit the contract."""
    await stage.put_contract()


async def _leave(stage: _stage.Stage, rng: random.Random) -> None:
    """Stop an entry host gracefully and start it again."""
    name = rng.choice(stage.processes.names("entry"))
    await stage.restart(name, signal.SIGTERM, 1.0)
    await asyncio.sleep(_stage.DETECT_S)


async def _hand_over(stage: _stage.Stage, rng: random.Random) -> None:
    """Restart a keeper gracefully."""
    name = rng.choice(stage.processes.names("keeper"))
    await stage.restart(name, signal.SIGTERM, 0.5)


async def _kill_entry(stage: _stage.Stage, rng: random.Random) -> None:
    """Kill an entry host and start it again."""
    name = rng.choice(stage.processes.names("entry"))
    await stage.restart(name, signal.SIGKILL, _stage.DETECT_S)


async def _freeze_entry(stage: _stage.Stage, rng: random.Random) -> None:
    """Freeze an entry host."""
    name = rng.choice(stage.processes.names("entry"))
    await stage.freeze(name, rng.choice([0.5, 2.0, 8.0]))


async def _kill_keeper(stage: _stage.Stage, rng: random.Random) -> None:
    """Kill a keeper and start it again."""
    name = rng.choice(stage.processes.names("keeper"))
    await stage.restart(name, signal.SIGKILL, 1.0)


async def _freeze_keeper(stage: _stage.Stage, rng: random.Random) -> None:
    """Freeze a keeper."""
    name = rng.choice(stage.processes.names("keeper"))
    await stage.freeze(name, 3.0)


async def _kill_upstream(stage: _stage.Stage, rng: random.Random) -> None:
    """Add an upstream and kill another one of its service."""
    service = rng.choice(sorted(_stage.KINDS))
    running = stage.processes.names(service)
    await stage.add_upstream(service)
    await stage.processes.end(running[0], signal.SIGKILL)


PLANNED: tuple[Fault, ...] = (_drain, _edit, _leave, _hand_over)
UNPLANNED: tuple[Fault, ...] = (
    *PLANNED,
    _kill_entry,
    _freeze_entry,
    _kill_keeper,
    _freeze_keeper,
    _kill_upstream,
)


@dataclasses.dataclass(frozen=True)
class ProcessVerdict:
    """What one run on processes gave."""

    verdict: judge.Verdict
    """From the records."""
    false_not_run: int
    """POST requests that were called not run and did run."""
    reverted: int
    """Versions that fell on a host, or that aren't in force at the end."""
    faults: collections.Counter[str]
    """Faults by name."""


async def run_phase(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    faults: tuple[Fault, ...],
    net: int,
) -> ProcessVerdict:
    """Run one deployment under faults of one kind."""
    shutil.rmtree(folder, ignore_errors=True)
    rng = random.Random(seed)
    done: collections.Counter[str] = collections.Counter()
    requests = int(RATE * seconds)
    async with _processes.running(folder / "logs") as processes:
        stage = _stage.Stage(folder, processes, net)
        await stage.start_all(UPSTREAMS, LOSS)
        await asyncio.sleep(SETTLE_S)
        for service in (_stage.DESK, _stage.VAULT):
            await stage.start_requests(
                service, f"caller-{service}", requests, RATE, seed
            )
        # A flow lasts for three quarters of the time.
        await stage.start_flows("caller-calls", FLOWS, seconds, seed)
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds - TAIL_S
        while loop.time() < until:
            fault = rng.choice(faults)
            done[fault.__name__.strip("_")] += 1
            await fault(stage, rng)
            await asyncio.sleep(rng.uniform(0, 2 * PAUSE_S))
        for name in processes.names("caller-"):
            await processes.wait(name)
        reverted = reverted_versions(folder / "logs", stage.version)
        started = processes.started
    verdict, false = judge.judge_folder(
        stage.record_folder, 2 * requests, FLOWS, started
    )
    return ProcessVerdict(verdict, len(false), reverted, done)


def reverted_versions(logs: pathlib.Path, accepted: int) -> int:
    """Count falls of the version in force, by the hosts' own logs.

    A line ``version_in_force`` may never be lower than an earlier one of
    the same process; a start begins anew.
    """
    falls = 0
    for path in sorted(logs.glob("entry-*.log")):
        last = 0
        for line in path.read_text().splitlines():
            if "event=ready" in line:
                last = 0
            elif "event=version_in_force" in line:
                version = int(line.partition(" version=")[2].split()[0])
                falls += version < last
                last = version
        falls += last < accepted
    return falls
