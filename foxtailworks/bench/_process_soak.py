"""Random faults on real processes, with the records checked afterwards."""

import asyncio
import collections
from collections import abc
import dataclasses
import pathlib
import random
import shutil
import signal

from foxtailworks.bench import _deployment
from foxtailworks.bench import _processes
from foxtailworks.bench import judge

UPSTREAMS = {_deployment.DESK: 3, _deployment.VAULT: 2, _deployment.CALLS: 3}
LOSS = 0.01
REQUESTS_PER_S = 30.0
FLOWS = 60
SETTLE_S = 3.0
MEAN_PAUSE_S = 1.0
# Time for which callers continue after the last fault.
TAIL_S = 8.0
SECOND_OCTET = 60

Fault = abc.Callable[
    [_deployment.Deployment, random.Random], abc.Awaitable[None]
]


async def _drain(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Add an upstream and drain another one of the same service."""
    service = rng.choice(sorted(_deployment.SERVICE_KINDS))
    running = deployment.processes.running_names(service)
    await deployment.add_upstream(service)
    deployment.processes.signal_process(running[0], signal.SIGUSR1)


async def _edit(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Put a new version of the contract."""
    await deployment.put_contract()


async def _leave(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Stop an entry host gracefully and restart it."""
    name = rng.choice(deployment.processes.running_names("entry"))
    await deployment.restart(name, signal.SIGTERM, 1.0)
    await asyncio.sleep(_deployment.DETECTION_S)


async def _hand_over(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Stop a keeper gracefully and restart it."""
    name = rng.choice(deployment.processes.running_names("keeper"))
    await deployment.restart(name, signal.SIGTERM, 0.5)


async def _kill_entry(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Kill an entry host and restart it after the others detect it."""
    name = rng.choice(deployment.processes.running_names("entry"))
    await deployment.restart(name, signal.SIGKILL, _deployment.DETECTION_S)


async def _freeze_entry(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Suspend an entry host for a random time."""
    name = rng.choice(deployment.processes.running_names("entry"))
    await deployment.freeze(name, rng.choice([0.5, 2.0, 8.0]))


async def _kill_keeper(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Kill a keeper and restart it."""
    name = rng.choice(deployment.processes.running_names("keeper"))
    await deployment.restart(name, signal.SIGKILL, 1.0)


async def _freeze_keeper(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Suspend a keeper for some seconds."""
    name = rng.choice(deployment.processes.running_names("keeper"))
    await deployment.freeze(name, 3.0)


async def _kill_upstream(
    deployment: _deployment.Deployment, rng: random.Random
) -> None:
    """Add an upstream and kill another one of its service."""
    service = rng.choice(sorted(_deployment.SERVICE_KINDS))
    running = deployment.processes.running_names(service)
    await deployment.add_upstream(service)
    await deployment.processes.end(running[0], signal.SIGKILL)


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
    """The result of one run on real processes."""

    verdict: judge.Verdict
    """Counts from the records of callers and upstreams."""
    false_not_run: int
    """POST requests that were reported as not run but did run."""
    reverted: int
    """Decreases of the version in force on a host, plus hosts that end below
    the last accepted version."""
    faults: collections.Counter[str]
    """Number of injected faults by name."""


async def run_phase(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    faults: tuple[Fault, ...],
    second_octet: int,
) -> ProcessVerdict:
    """Run one deployment under random faults from a list."""
    shutil.rmtree(folder, ignore_errors=True)
    rng = random.Random(seed)
    fault_counts: collections.Counter[str] = collections.Counter()
    requests = int(REQUESTS_PER_S * seconds)
    async with _processes.running(folder / "logs") as processes:
        deployment = _deployment.Deployment(folder, processes, second_octet)
        await deployment.start_all(UPSTREAMS, LOSS)
        await asyncio.sleep(SETTLE_S)
        for service in (_deployment.DESK, _deployment.VAULT):
            await deployment.start_requests(
                service, f"caller-{service}", requests, REQUESTS_PER_S, seed
            )
        # Each flow lasts for three quarters of the run.
        await deployment.start_flows("caller-calls", FLOWS, seconds, seed)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds - TAIL_S
        while loop.time() < deadline:
            fault = rng.choice(faults)
            fault_counts[fault.__name__.strip("_")] += 1
            await fault(deployment, rng)
            await asyncio.sleep(rng.uniform(0, 2 * MEAN_PAUSE_S))
        for name in processes.running_names("caller-"):
            await processes.wait(name)
        reverted = reverted_versions(folder / "logs", deployment.version)
        started = processes.started_count
    verdict, wrongly_not_run = judge.judge_folder(
        deployment.record_folder, 2 * requests, FLOWS, started
    )
    return ProcessVerdict(
        verdict, len(wrongly_not_run), reverted, fault_counts
    )


def reverted_versions(logs: pathlib.Path, accepted: int) -> int:
    """Count decreases of the version in force in the logs of the hosts.

    The version of a ``version_in_force`` line must not be lower than that of
    an earlier line since the last start of the process.  A host that ends
    below the accepted version counts as well.
    """
    decreases = 0
    for path in sorted(logs.glob("entry-*.log")):
        last_version = 0
        for line in path.read_text().splitlines():
            if "event=ready" in line:
                last_version = 0
            elif "event=version_in_force" in line:
                version = int(line.partition(" version=")[2].split()[0])
                decreases += version < last_version
                last_version = version
        decreases += last_version < accepted
    return decreases
