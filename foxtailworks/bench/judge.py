"""Judge a run by what callers and upstreams wrote down.

None of the product's own counters is used.  Example::

    python -m foxtailworks.bench.judge RUN_FOLDER --requests 2100 --flows 200
"""

import collections
from collections import abc
import dataclasses
import json
import pathlib
import sys
import typing

import typer

from foxtailworks import standin

EXIT_BROKEN = 1


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The counts of one run."""

    processes: int
    """Processes that were started."""
    sent: int
    """Requests that callers meant to send."""
    answered_whole: int
    """Whole answers to the request that they belong to."""
    refused_not_run: int
    """Finally refused as not run."""
    outcome_unknown: int
    """Finally left unknown."""
    lost: int
    """Without any final answer, or without a record."""
    crossed: int
    """Answered with another request's or a mixed answer."""
    run_twice: int
    """POST requests that upstreams ran more than once."""
    wrong_service: int
    """Run by an upstream of another service."""
    broken_flows: int
    """Flows that changed their upstream or went unanswered."""
    flows: int
    """Flows that callers meant to open."""

    def faults(self) -> tuple[str, ...]:
        """Return the names of the counts that must be 0 and are not."""
        names = (
            "lost",
            "crossed",
            "run_twice",
            "wrong_service",
            "broken_flows",
        )
        return tuple(name for name in names if getattr(self, name))


def false_not_run(
    calls: abc.Iterable[standin.CallRecord],
    runs: abc.Iterable[standin.RunRecord],
) -> tuple[str, ...]:
    """Return the POST requests that were called not run but did run."""
    ran = {item.request for item in runs if item.method == "POST"}
    return tuple(
        call.request
        for call in calls
        if call.outcome == "not_run" and call.request in ran
    )


def _run_twice(runs: abc.Iterable[standin.RunRecord]) -> int:
    """Count POST requests that ran more than once."""
    counts = collections.Counter(
        item.request for item in runs if item.method == "POST"
    )
    return sum(1 for count in counts.values() if count > 1)


def _wrong_service(
    calls: abc.Iterable[standin.CallRecord],
    runs: abc.Iterable[standin.RunRecord],
) -> int:
    """Count runs on an upstream of another service than was called."""
    meant = {item.request: item.service for item in calls}
    return sum(
        1
        for item in runs
        if meant.get(item.request, item.service) != item.service
    )


def _broken(flow: standin.FlowRecord) -> bool:
    """Tell whether a flow changed its upstream or went unanswered."""
    return len(flow.upstreams) > 1 or flow.answered < flow.sent


def _strayed(flow: standin.FlowRecord) -> bool:
    """Tell whether an upstream of another service answered a flow."""
    return any(
        not name.startswith(flow.service + "-") for name in flow.upstreams
    )


def judge(
    calls: tuple[standin.CallRecord, ...],
    runs: tuple[standin.RunRecord, ...],
    flows: tuple[standin.FlowRecord, ...],
    requests_meant: int,
    flows_meant: int,
    processes: int,
) -> Verdict:
    """Compare what was meant, what came back, and what ran."""
    outcomes = collections.Counter(item.outcome for item in calls)
    unrecorded = requests_meant - len(calls)
    flows_unrecorded = flows_meant - len(flows)
    return Verdict(
        processes=processes,
        sent=requests_meant,
        answered_whole=outcomes["whole"],
        refused_not_run=outcomes["not_run"],
        outcome_unknown=outcomes["unknown"],
        lost=outcomes["lost"] + outcomes["refused"] + unrecorded,
        crossed=outcomes["crossed"] + sum(item.crossed for item in flows),
        run_twice=_run_twice(runs),
        wrong_service=_wrong_service(calls, runs)
        + sum(1 for item in flows if _strayed(item)),
        broken_flows=sum(1 for item in flows if _broken(item))
        + flows_unrecorded,
        flows=flows_meant,
    )


def _read(
    folder: pathlib.Path, pattern: str, kind: type[typing.Any]
) -> tuple[typing.Any, ...]:
    """Return all records of one kind in a run's folder."""
    return tuple(standin.read_records(sorted(folder.glob(pattern)), kind))


def judge_folder(
    folder: pathlib.Path, requests: int, flows: int, processes: int
) -> tuple[Verdict, tuple[str, ...]]:
    """Judge a run's folder; return also what was falsely called not run."""
    calls = _read(folder, "calls-*.jsonl", standin.CallRecord)
    runs = _read(folder, "runs-*.jsonl", standin.RunRecord)
    seen = _read(folder, "flows-*.jsonl", standin.FlowRecord)
    verdict = judge(calls, runs, seen, requests, flows, processes)
    return verdict, false_not_run(calls, runs)


def main(
    folder: pathlib.Path,
    requests: int = 0,
    flows: int = 0,
    processes: int = 0,
) -> None:
    """Print the verdict as one line of JSON; fail when it is bad."""
    verdict, false = judge_folder(folder, requests, flows, processes)
    faults = [*verdict.faults(), *(f"false_not_run:{name}" for name in false)]
    if faults:
        print("faults: " + " ".join(faults), file=sys.stderr)
    print(json.dumps(dataclasses.asdict(verdict)))
    raise typer.Exit(EXIT_BROKEN if faults else 0)


if __name__ == "__main__":
    typer.run(main)
