"""Random faults over the cores and over real processes.

Example::

    python -m foxtailworks.bench.soak --seed 7 --seconds 120
"""

import asyncio
import collections
import json
import pathlib
import sys
import typing

import typer

from foxtailworks.bench import _keeper_faults
from foxtailworks.bench import _membership_random_run
from foxtailworks.bench import _process_soak
from foxtailworks.bench import _request_random_run

# Walks over the cores for each second that was asked for; a number, not a
# time, so that a seed always walks the same steps.
WALKS_PER_SECOND = 0.5
STEPS_PER_WALK = 300
MEMBERSHIP_STEPS = 30
MIN_PHASE_S = 30.0
EXIT_BROKEN = 1


class Totals:
    """Sums over all parts of a soak."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.steps = 0
        self.requests = 0
        self.flows = 0
        self.faults: collections.Counter[str] = collections.Counter()
        self.violations: collections.Counter[str] = collections.Counter()
        self.broken_unplanned = 0

    def to_json(self) -> str:
        """Return the closing line."""
        names = (
            "run_twice",
            "wrong_service",
            "crossed",
            "false_not_run",
            "reverted",
            "broken_planned",
        )
        return json.dumps(
            {
                "seed": self.seed,
                "steps": self.steps,
                "requests": self.requests,
                "flows": self.flows,
                "faults": dict(sorted(self.faults.items())),
                **{name: self.violations[name] for name in names},
                "broken_unplanned": self.broken_unplanned,
            }
        )


def walk_cores(totals: Totals, seconds: float) -> None:
    """Walk the request cores; a violation is cut down and shown."""
    for number in range(max(1, int(seconds * WALKS_PER_SECOND))):
        seed = totals.seed * 10_000 + number
        world, faults = _request_random_run.run_steps(
            seed, range(STEPS_PER_WALK)
        )
        totals.steps += STEPS_PER_WALK
        totals.requests += len(world.attempts)
        totals.faults.update(faults)
        found = world.violation_counts()
        totals.violations.update(found)
        if any(found.values()):
            steps = _request_random_run.shrink(seed, STEPS_PER_WALK)
            names = _request_random_run.step_names(seed, steps)
            print(f"seed {seed} steps {steps}: {names}", file=sys.stderr)


def walk_membership(totals: Totals, seconds: float) -> None:
    """Walk membership and directories; their promises are asserted.

    :raises AssertionError: a promise is broken
    """
    for number in range(max(1, int(seconds * WALKS_PER_SECOND / 2))):
        seed = totals.seed * 10_000 + number
        totals.steps += MEMBERSHIP_STEPS
        totals.faults.update(
            _membership_random_run.run_random_steps(seed, MEMBERSHIP_STEPS)
        )


async def run_keepers(totals: Totals) -> None:
    """Run the scenarios of keepers on real processes.

    :raises FoxtailError: a promise is broken
    """
    async for line in _keeper_faults.run():
        totals.steps += 1
        print(f"keepers: {line}", file=sys.stderr)


async def run_processes(
    totals: Totals, seconds: float, folder: pathlib.Path
) -> None:
    """Run a phase of planned changes, then one with every fault."""
    phases = (
        ("planned", _process_soak.PLANNED),
        ("unplanned", _process_soak.UNPLANNED),
    )
    for place, (name, faults) in enumerate(phases):
        found = await _process_soak.run_phase(
            folder / name,
            totals.seed,
            max(seconds / 2, MIN_PHASE_S),
            faults,
            _process_soak.NET + place,
        )
        print(f"{name}: {found}", file=sys.stderr)
        _add(totals, found, name == "planned")


def _add(
    totals: Totals, found: _process_soak.ProcessVerdict, planned: bool
) -> None:
    """Add one phase to the totals."""
    verdict = found.verdict
    totals.requests += verdict.sent
    totals.flows += verdict.flows
    totals.steps += sum(found.faults.values())
    totals.faults.update(found.faults)
    totals.violations["run_twice"] += verdict.run_twice
    totals.violations["wrong_service"] += verdict.wrong_service
    totals.violations["crossed"] += verdict.crossed
    totals.violations["false_not_run"] += found.false_not_run
    totals.violations["reverted"] += found.reverted
    if planned:
        totals.violations["broken_planned"] += verdict.broken_flows
    else:
        totals.broken_unplanned += verdict.broken_flows


def main(
    seed: int = 1,
    seconds: float = 60.0,
    processes: typing.Annotated[
        bool, typer.Option(help="also run real processes")
    ] = True,
    folder: pathlib.Path = pathlib.Path("var/soak"),
) -> None:
    """Run a soak; fail when a promise was broken."""
    totals = Totals(seed)
    walk_cores(totals, seconds)
    walk_membership(totals, seconds)
    if processes:
        asyncio.run(run_keepers(totals))
        asyncio.run(run_processes(totals, seconds, folder))
    print(totals.to_json())
    raise typer.Exit(EXIT_BROKEN if any(totals.violations.values()) else 0)


if __name__ == "__main__":
    typer.run(main)
