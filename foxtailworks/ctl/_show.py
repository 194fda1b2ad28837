"""Shows what commands bring: tables for people, JSON for scripts."""

from collections import abc
import dataclasses
import datetime
import enum
import functools
import json
import math
import sys

from rich import console as rich_console
from rich import text as rich_text

from foxtailworks import contracts
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _show_status
from foxtailworks.ctl import _tables
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe

PIPE_WIDTH = 160
"""Columns of a table that goes into a file or a pipe."""


def emit(value: object, code: errors.Code, as_json: bool) -> None:
    """Print a command's outcome."""
    if as_json:
        head = {"code": code.value, "result": code.name}
        body = _plain(value)
        print(json.dumps(head | body if isinstance(body, dict) else head))
        return
    console = rich_console.Console(
        width=None if sys.stdout.isatty() else PIPE_WIDTH,
        highlight=False,
    )
    for part in show(value):
        if isinstance(part, str):
            console.print(rich_text.Text(_tables.clean(part)), soft_wrap=True)
        else:
            console.print(part)


@functools.singledispatch
def _plain(value: object) -> object:
    """Return ``value`` as JSON knows it."""
    if dataclasses.is_dataclass(value):
        names = (item.name for item in dataclasses.fields(value))
        return {n: _plain(getattr(value, n)) for n in names if n != "ask"}
    return value


@_plain.register
def _plain_float(value: float) -> object:
    # JSON knows no infinities.
    return value if math.isfinite(value) else None


@_plain.register
def _plain_address(value: ids.Address) -> object:
    return str(value)


@_plain.register
def _plain_enum(value: enum.Enum) -> object:
    return value.value


@_plain.register
def _plain_tuple(value: tuple) -> object:  # type: ignore[type-arg]
    return [_plain(item) for item in value]


@_plain.register
def _plain_histogram(value: observe.HistogramSnapshot) -> object:
    known = {"count": value.count, "percentiles_us": _percentiles(value)}
    buckets = [[item.value_us, item.count] for item in value.buckets]
    return {
        "customer": value.customer,
        "service": value.service,
        "priority": value.priority.value,
        **known,
        "buckets": buckets,
    }


def _percentiles(value: observe.HistogramSnapshot) -> dict[str, int]:
    """Return what a script usually wants of a histogram."""
    percents = (50.0, 90.0, 99.0, 99.9, 100.0) if value.buckets else ()
    return {f"{p:g}": observe.percentile(value, p) for p in percents}


@functools.singledispatch
def show(value: object) -> abc.Iterator[_tables.Shown]:
    """Yield what a person is shown of ``value``."""
    raise TypeError(type(value).__name__)


@show.register
def _show_failed(value: _reports.Failed) -> abc.Iterator[_tables.Shown]:
    yield f"[{value.code}] {value.result}: {value.detail}"
    for name, text in value.context.items():
        yield f"  {name}: {text}"


@show.register
def _show_edit(value: _reports.EditReport) -> abc.Iterator[_tables.Shown]:
    yield (
        f"accepted: {value.customer} version {value.version}"
        f" (edit id {value.edit_id})"
    )
    if value.in_force is not None:
        yield from _show_in_force(value.in_force)


def _show_in_force(
    value: contracts.InForceAnswer,
) -> abc.Iterator[_tables.Shown]:
    """Yield where a version isn't in force."""
    if value.lagging:
        yield f"not yet in force on: {', '.join(value.lagging)}"
    else:
        yield "in force on all reachable hosts"
    if value.unreachable:
        yield f"unreachable hosts: {', '.join(value.unreachable)}"


@show.register
def _show_contract(
    value: contracts.ContractAnswer,
) -> abc.Iterator[_tables.Shown]:
    yield value.document


@show.register
def _show_list(value: contracts.ContractList) -> abc.Iterator[_tables.Shown]:
    yield from _lines(value.lines)
    yield f"last accepted change: version {value.version}"


@show.register
def _show_history(
    value: contracts.HistoryAnswer,
) -> abc.Iterator[_tables.Shown]:
    yield from _lines(value.lines)


def _lines(
    lines: tuple[contracts.ContractLine, ...],
) -> abc.Iterator[_tables.Shown]:
    """Yield versions of contracts."""
    yield _tables.table(
        ("customer", "version", "accepted", "bytes", "edit id"),
        (
            (
                item.customer,
                item.version,
                _when(item.at_unix_s),
                item.size_bytes,
                item.edit_id,
            )
            for item in lines
        ),
    )


@show.register
def _show_diff(value: _reports.DiffReport) -> abc.Iterator[_tables.Shown]:
    if value.lines:
        yield "\n".join(value.lines)
    else:
        yield f"no difference between {value.older} and {value.newer}"


@show.register
def _show_status_report(
    value: _reports.StatusReport,
) -> abc.Iterator[_tables.Shown]:
    yield from _show_status.parts(value)


@show.register
def _show_keepers(value: contracts.KeeperList) -> abc.Iterator[_tables.Shown]:
    yield _tables.keeper_table(value.lines)


@show.register
def _show_changed(
    value: contracts.KeeperChanged,
) -> abc.Iterator[_tables.Shown]:
    yield f"done: keeper {value.keeper}"


@show.register
def _show_removed(value: contracts.HostRemoved) -> abc.Iterator[_tables.Shown]:
    yield f"removed; roster epoch {value.epoch}"


@show.register
def _show_drain(value: _reports.DrainReport) -> abc.Iterator[_tables.Shown]:
    yield (
        f"draining {value.upstream}: confirmed by {value.confirmed} hosts,"
        f" {value.flows} open flows left"
    )
    yield from _tables.unreached(value.unreached)


@show.register
def _show_histograms(
    value: _reports.HistogramReport,
) -> abc.Iterator[_tables.Shown]:
    for snapshot in sorted(value.snapshots, key=_series):
        yield observe.plot(snapshot) + "\n"
    yield f"latencies of {value.hosts} hosts"
    yield from _tables.unreached(value.unreached)


def _series(snapshot: observe.HistogramSnapshot) -> tuple[str, str, str]:
    """Return what histograms are ordered by."""
    return (snapshot.customer, snapshot.service, snapshot.priority.value)


def _when(unix_s: int) -> str:
    """Return a time of day in UTC."""
    try:
        time = datetime.datetime.fromtimestamp(unix_s, datetime.timezone.utc)
    except (OverflowError, ValueError, OSError):
        return str(unix_s)
    return time.strftime("%Y-%m-%d %H:%M:%S") if unix_s else "-"
