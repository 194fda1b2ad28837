"""Random faults against the protocol cores and against real processes.

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

# Random runs of the cores per requested second.  A fixed number, not a time
# limit, so that a seed always gives the same steps.
RUNS_PER_SECOND = 0.5
STEPS_PER_RUN = 300
MEMBERSHIP_STEPS = 30
MIN_PHASE_S = 30.0
EXIT_BROKEN = 1


class Totals:
    """Sums of counts over all phases of a soak."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.steps = 0
        self.requests = 0
        self.flows = 0
        self.faults: collections.Counter[str] = collections.Counter()
        self.violations: collections.Counter[str] = collections.Counter()
        self.broken_unplanned = 0

    def to_json(self) -> str:
        """Return the totals as the last line of output."""
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


def run_request_cores(totals: Totals, seconds: float) -> None:
    """Run random steps on the request cores.

    The steps of a run with a violation are minimized and printed.
    """
    for number in range(max(1, int(seconds * RUNS_PER_SECOND))):
        seed = totals.seed * 10_000 + number
        world, faults = _request_random_run.run_steps(
            seed, range(STEPS_PER_RUN)
        )
        totals.steps += STEPS_PER_RUN
        totals.requests += len(world.attempts)
        totals.faults.update(faults)
        found = world.violation_counts()
        totals.violations.update(found)
        if any(found.values()):
            steps = _request_random_run.shrink(seed, STEPS_PER_RUN)
            names = _request_random_run.step_names(seed, steps)
            print(f"seed {seed} steps {steps}: {names}", file=sys.stderr)


def run_membership(totals: Totals, seconds: float) -> None:
    """Run random steps on membership and the upstream directories.

    :raises AssertionError: a guarantee is violated
    """
    for number in range(max(1, int(seconds * RUNS_PER_SECOND / 2))):
        seed = totals.seed * 10_000 + number
        totals.steps += MEMBERSHIP_STEPS
        totals.faults.update(
            _membership_random_run.run_random_steps(seed, MEMBERSHIP_STEPS)
        )


async def run_keepers(totals: Totals) -> None:
    """Run the fault scenarios of keepers on real processes.

    :raises FoxtailError: a guarantee is violated
    """
    async for line in _keeper_faults.run():
        totals.steps += 1
        print(f"keepers: {line}", file=sys.stderr)


async def run_processes(
    totals: Totals, seconds: float, folder: pathlib.Path
) -> None:
    """Run a phase of planned changes, then one with all faults."""
    phases = (
        ("planned", _process_soak.PLANNED),
        ("unplanned", _process_soak.UNPLANNED),
    )
    for index, (name, faults) in enumerate(phases):
        found = await _process_soak.run_phase(
            folder / name,
            totals.seed,
            max(seconds / 2, MIN_PHASE_S),
            faults,
            _process_soak.SECOND_OCTET + index,
        )
        print(f"{name}: {found}", file=sys.stderr)
        _add(totals, found, name == "planned")


def _add(
    totals: Totals, found: _process_soak.ProcessVerdict, is_planned: bool
) -> None:
    """Add the counts of one phase to the totals."""
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
    if is_planned:
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
    """Run a soak; exit with an error if a guarantee was violated."""
    totals = Totals(seed)
    run_request_cores(totals, seconds)
    run_membership(totals, seconds)
    if processes:
        asyncio.run(run_keepers(totals))
        asyncio.run(run_processes(totals, seconds, folder))
    print(totals.to_json())
    raise typer.Exit(EXIT_BROKEN if any(totals.violations.values()) else 0)


if __name__ == "__main__":
    typer.run(main)
