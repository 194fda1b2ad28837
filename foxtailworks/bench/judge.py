"""Check a run against the records of its callers and upstreams.

The counters of the tested programs aren't used.  Example::

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
    """Counts of requests, flows and faults in one run."""

    processes: int
    """Number of processes started."""
    sent: int
    """Requests that callers had to send."""
    answered_whole: int
    """Requests that got their own complete answer."""
    refused_not_run: int
    """Requests finally refused as not run."""
    outcome_unknown: int
    """Requests whose outcome stayed unknown."""
    lost: int
    """Requests without a final answer or without a record."""
    crossed: int
    """Answers that belong, in whole or in part, to another request."""
    run_twice: int
    """POST requests that upstreams ran more than once."""
    wrong_service: int
    """Runs and flows handled by an upstream of another service."""
    broken_flows: int
    """Flows that changed upstream, missed an answer or have no record."""
    flows: int
    """Flows that callers had to open."""

    def faults(self) -> tuple[str, ...]:
        """Return the names of counts that must be 0 but aren't."""
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
    """Return the POST requests reported as not run that did run."""
    ran = {item.request for item in runs if item.method == "POST"}
    return tuple(
        call.request
        for call in calls
        if call.outcome == "not_run" and call.request in ran
    )


def _count_run_twice(runs: abc.Iterable[standin.RunRecord]) -> int:
    """Count POST requests that ran more than once."""
    counts = collections.Counter(
        item.request for item in runs if item.method == "POST"
    )
    return sum(1 for count in counts.values() if count > 1)


def _count_wrong_service(
    calls: abc.Iterable[standin.CallRecord],
    runs: abc.Iterable[standin.RunRecord],
) -> int:
    """Count runs on an upstream of another service than the called one."""
    called_services = {item.request: item.service for item in calls}
    return sum(
        1
        for item in runs
        if called_services.get(item.request, item.service) != item.service
    )


def _is_broken(flow: standin.FlowRecord) -> bool:
    """Return whether a flow changed upstream or missed an answer."""
    return len(flow.upstreams) > 1 or flow.answered < flow.sent


def _has_foreign_upstream(flow: standin.FlowRecord) -> bool:
    """Return whether an upstream of another service answered a flow."""
    return any(
        not name.startswith(flow.service + "-") for name in flow.upstreams
    )


def judge(
    calls: tuple[standin.CallRecord, ...],
    runs: tuple[standin.RunRecord, ...],
    flows: tuple[standin.FlowRecord, ...],
    requests_expected: int,
    flows_expected: int,
    processes: int,
) -> Verdict:
    """Compare expected requests and flows with the records of a run."""
    outcomes = collections.Counter(item.outcome for item in calls)
    unrecorded = requests_expected - len(calls)
    flows_unrecorded = flows_expected - len(flows)
    return Verdict(
        processes=processes,
        sent=requests_expected,
        answered_whole=outcomes["whole"],
        refused_not_run=outcomes["not_run"],
        outcome_unknown=outcomes["unknown"],
        lost=outcomes["lost"] + outcomes["refused"] + unrecorded,
        crossed=outcomes["crossed"] + sum(item.crossed for item in flows),
        run_twice=_count_run_twice(runs),
        wrong_service=_count_wrong_service(calls, runs)
        + sum(1 for item in flows if _has_foreign_upstream(item)),
        broken_flows=sum(1 for item in flows if _is_broken(item))
        + flows_unrecorded,
        flows=flows_expected,
    )


def _read_records(
    folder: pathlib.Path, pattern: str, kind: type[typing.Any]
) -> tuple[typing.Any, ...]:
    """Return all records of one type in a run's folder."""
    return tuple(standin.read_records(sorted(folder.glob(pattern)), kind))


def judge_folder(
    folder: pathlib.Path, requests: int, flows: int, processes: int
) -> tuple[Verdict, tuple[str, ...]]:
    """Check the records in the folder of a run.

    :param requests: number of requests that callers had to send
    :param flows: number of flows that callers had to open
    :param processes: number of processes started, for the verdict
    :return: verdict, and the POST requests wrongly reported as not run
    """
    calls = _read_records(folder, "calls-*.jsonl", standin.CallRecord)
    runs = _read_records(folder, "runs-*.jsonl", standin.RunRecord)
    flow_records = _read_records(folder, "flows-*.jsonl", standin.FlowRecord)
    verdict = judge(calls, runs, flow_records, requests, flows, processes)
    return verdict, false_not_run(calls, runs)


def main(
    folder: pathlib.Path,
    requests: int = 0,
    flows: int = 0,
    processes: int = 0,
) -> None:
    """Print the verdict as one line of JSON; fail on any fault."""
    verdict, wrongly_not_run = judge_folder(folder, requests, flows, processes)
    faults = [
        *verdict.faults(),
        *(f"false_not_run:{name}" for name in wrongly_not_run),
    ]
    if faults:
        print("faults: " + " ".join(faults), file=sys.stderr)
    print(json.dumps(dataclasses.asdict(verdict)))
    raise typer.Exit(EXIT_BROKEN if faults else 0)


if __name__ == "__main__":
    typer.run(main)
