"""Gathers what log files say of one flow, upstream or revision."""

from collections import abc
import pathlib
import re
import shlex
import typing

import typer

from foxtailworks import errors

MAX_LINES = 10_000
"""Lines shown; an id that occurs more often explains nothing."""

_PAIR = re.compile(r"(\w+)=")


def related(
    lines: abc.Iterable[str], wanted: str
) -> abc.Iterator[tuple[str, str]]:
    """Yield time and line of what tells of an id.

    A line tells of it when a value is the id, or holds it as a whole part:
    ``100.64.0.7:40001`` finds the flow of that caller's end.
    """
    part = re.compile(rf"(?<![\w.:-]){re.escape(wanted)}(?![\w.-])")
    for line in lines:
        start = line.find("time=")
        if start >= 0 and part.search(line, start):
            found = _PAIR.search(line, start)
            if found is not None:
                time = line[found.end() :].split(maxsplit=1)[0]
                yield time, line[start:].rstrip("\n")


def upstreams_of(lines: abc.Iterable[str]) -> tuple[str, ...]:
    """Return the upstreams that lines name, in order."""
    found: dict[str, None] = {}
    for line in lines:
        for item in shlex.split(line, posix=True):
            name, _, value = item.partition("=")
            if name == "upstream":
                found[value] = None
    return tuple(found)


def gather(files: abc.Iterable[pathlib.Path], wanted: str) -> list[str]:
    """Return all lines on an id in the files, ordered by time.

    :raises FoxtailError: ``SETTINGS_UNREADABLE`` for a file
    """
    found: list[tuple[str, str]] = []
    for path in files:
        try:
            with path.open(errors="replace") as file:
                found += (
                    (time, f"{path.name}: {line}")
                    for time, line in related(file, wanted)
                )
        except OSError as exc:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_UNREADABLE, str(exc), file=path
            ) from exc
    return [line for _, line in sorted(found)][:MAX_LINES]


def explain(
    wanted: typing.Annotated[
        str,
        typer.Argument(
            metavar="ID",
            help="Caller's end (ip:port), upstream id or revision=N.",
        ),
    ],
    files: typing.Annotated[
        list[pathlib.Path], typer.Argument(metavar="LOG...")
    ],
) -> None:
    """Show what log files say of a flow, and of the upstreams it met."""
    try:
        lines = gather(files, wanted)
        for line in lines:
            typer.echo(line)
        for upstream in upstreams_of(lines):
            if upstream == wanted:
                continue
            typer.echo(f"-- upstream {upstream}")
            for line in gather(files, upstream):
                if wanted not in line and "event=flow_" not in line:
                    typer.echo(line)
    except errors.FoxtailError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(1) from exc
    if not lines:
        typer.echo(f"no line tells of {wanted}", err=True)
        raise typer.Exit(1)
