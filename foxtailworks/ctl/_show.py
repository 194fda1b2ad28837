"""Prints results of commands: tables for people, JSON for scripts."""

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
"""Width in columns of output that goes into a file or a pipe."""


def emit(value: object, code: errors.Code, as_json: bool) -> None:
    """Print the result of a command.

    :param as_json: print one JSON object instead of tables
    """
    if as_json:
        head = {"code": code.value, "result": code.name}
        body = _to_json(value)
        print(json.dumps(head | body if isinstance(body, dict) else head))
        return
    console = rich_console.Console(
        width=None if sys.stdout.isatty() else PIPE_WIDTH,
        highlight=False,
    )
    for part in render(value):
        if isinstance(part, str):
            console.print(
                rich_text.Text(_tables.sanitize(part)), soft_wrap=True
            )
        else:
            console.print(part)


@functools.singledispatch
def _to_json(value: object) -> object:
    """Convert ``value`` to types that ``json`` can write."""
    if dataclasses.is_dataclass(value):
        names = (item.name for item in dataclasses.fields(value))
        return {n: _to_json(getattr(value, n)) for n in names if n != "ask"}
    return value


@_to_json.register
def _to_json_float(value: float) -> object:
    # JSON has no infinities and no NaN.
    return value if math.isfinite(value) else None


@_to_json.register
def _to_json_address(value: ids.Address) -> object:
    return str(value)


@_to_json.register
def _to_json_enum(value: enum.Enum) -> object:
    return value.value


@_to_json.register
def _to_json_tuple(value: tuple) -> object:  # type: ignore[type-arg]
    return [_to_json(item) for item in value]


@_to_json.register
def _to_json_histogram(value: observe.HistogramSnapshot) -> object:
    summary = {"count": value.count, "percentiles_us": _percentiles(value)}
    buckets = [[item.value_us, item.count] for item in value.buckets]
    return {
        "customer": value.customer,
        "service": value.service,
        "priority": value.priority.value,
        **summary,
        "buckets": buckets,
    }


def _percentiles(value: observe.HistogramSnapshot) -> dict[str, int]:
    """Return the common percentiles of a histogram, in microseconds."""
    percents = (50.0, 90.0, 99.0, 99.9, 100.0) if value.buckets else ()
    return {f"{p:g}": observe.percentile(value, p) for p in percents}


@functools.singledispatch
def render(value: object) -> abc.Iterator[_tables.Renderable]:
    """Yield lines and tables that show ``value`` to a person."""
    raise TypeError(type(value).__name__)


@render.register
def _render_error(
    value: _reports.ErrorReport,
) -> abc.Iterator[_tables.Renderable]:
    yield f"[{value.code}] {value.result}: {value.detail}"
    for name, text in value.context.items():
        yield f"  {name}: {text}"


@render.register
def _render_edit(
    value: _reports.EditReport,
) -> abc.Iterator[_tables.Renderable]:
    yield (
        f"accepted: {value.customer} version {value.version}"
        f" (edit id {value.edit_id})"
    )
    if value.in_force is not None:
        yield from _render_in_force(value.in_force)


def _render_in_force(
    value: contracts.InForceAnswer,
) -> abc.Iterator[_tables.Renderable]:
    """Yield the hosts on which a version isn't in force."""
    if value.lagging:
        yield f"not yet in force on: {', '.join(value.lagging)}"
    else:
        yield "in force on all reachable hosts"
    if value.unreachable:
        yield f"unreachable hosts: {', '.join(value.unreachable)}"


@render.register
def _render_contract(
    value: contracts.ContractAnswer,
) -> abc.Iterator[_tables.Renderable]:
    yield value.document


@render.register
def _render_list(
    value: contracts.ContractList,
) -> abc.Iterator[_tables.Renderable]:
    yield from _render_versions(value.lines)
    yield f"last accepted change: version {value.version}"


@render.register
def _render_history(
    value: contracts.HistoryAnswer,
) -> abc.Iterator[_tables.Renderable]:
    yield from _render_versions(value.lines)


def _render_versions(
    lines: tuple[contracts.ContractLine, ...],
) -> abc.Iterator[_tables.Renderable]:
    """Yield a table of versions of contracts."""
    yield _tables.table(
        ("customer", "version", "accepted", "bytes", "edit id"),
        (
            (
                item.customer,
                item.version,
                _format_time(item.at_unix_s),
                item.size_bytes,
                item.edit_id,
            )
            for item in lines
        ),
    )


@render.register
def _render_diff(
    value: _reports.DiffReport,
) -> abc.Iterator[_tables.Renderable]:
    if value.lines:
        yield "\n".join(value.lines)
    else:
        yield f"no difference between {value.older} and {value.newer}"


@render.register
def _render_status_report(
    value: _reports.StatusReport,
) -> abc.Iterator[_tables.Renderable]:
    yield from _show_status.render(value)


@render.register
def _render_keepers(
    value: contracts.KeeperList,
) -> abc.Iterator[_tables.Renderable]:
    yield _tables.keeper_table(value.lines)


@render.register
def _render_changed(
    value: contracts.KeeperChanged,
) -> abc.Iterator[_tables.Renderable]:
    yield f"done: keeper {value.keeper}"


@render.register
def _render_removed(
    value: contracts.HostRemoved,
) -> abc.Iterator[_tables.Renderable]:
    yield f"removed; roster epoch {value.epoch}"


@render.register
def _render_drain(
    value: _reports.DrainReport,
) -> abc.Iterator[_tables.Renderable]:
    yield (
        f"draining {value.upstream}: confirmed by {value.confirmed} hosts,"
        f" {value.flows} open flows left"
    )
    yield from _tables.unreached_lines(value.unreached)


@render.register
def _render_histograms(
    value: _reports.HistogramReport,
) -> abc.Iterator[_tables.Renderable]:
    for snapshot in sorted(value.snapshots, key=_sort_key):
        yield observe.plot(snapshot) + "\n"
    yield f"latencies of {value.hosts} hosts"
    yield from _tables.unreached_lines(value.unreached)


def _sort_key(snapshot: observe.HistogramSnapshot) -> tuple[str, str, str]:
    """Return the key by which histograms are sorted."""
    return (snapshot.customer, snapshot.service, snapshot.priority.value)


def _format_time(unix_s: int) -> str:
    """Format a Unix time as date and time of day in UTC."""
    try:
        time = datetime.datetime.fromtimestamp(unix_s, datetime.timezone.utc)
    except (OverflowError, ValueError, OSError):
        return str(unix_s)
    return time.strftime("%Y-%m-%d %H:%M:%S") if unix_s else "-"
