"""Collects the log lines about one flow, upstream or revision."""

from collections import abc
import pathlib
import re
import shlex
import typing

import typer

from foxtailworks import errors

MAX_LINES = 10_000
"""Lines shown at most; a more frequent id doesn't help to explain."""

_PAIR = re.compile(r"(\w+)=")


def matching_lines(
    lines: abc.Iterable[str], identifier: str
) -> abc.Iterator[tuple[str, str]]:
    """Yield time and text of each line that mentions an id.

    A line matches when a value equals the id or contains it as a separate
    part: ``100.64.0.7:40001`` finds the flows from that caller's address.
    """
    pattern = re.compile(rf"(?<![\w.:-]){re.escape(identifier)}(?![\w.-])")
    for line in lines:
        start = line.find("time=")
        if start >= 0 and pattern.search(line, start):
            found = _PAIR.search(line, start)
            if found is not None:
                time = line[found.end() :].split(maxsplit=1)[0]
                yield time, line[start:].rstrip("\n")


def upstreams_of(lines: abc.Iterable[str]) -> tuple[str, ...]:
    """Return the upstreams that lines name, in order of appearance."""
    found: dict[str, None] = {}
    for line in lines:
        for item in shlex.split(line, posix=True):
            name, _, value = item.partition("=")
            if name == "upstream":
                found[value] = None
    return tuple(found)


def collect(files: abc.Iterable[pathlib.Path], identifier: str) -> list[str]:
    """Return the lines of the files that mention an id, ordered by time.

    :raises FoxtailError: ``SETTINGS_UNREADABLE`` for an unreadable file
    """
    found: list[tuple[str, str]] = []
    for path in files:
        try:
            with path.open(errors="replace") as file:
                found += (
                    (time, f"{path.name}: {line}")
                    for time, line in matching_lines(file, identifier)
                )
        except OSError as exc:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_UNREADABLE, str(exc), file=path
            ) from exc
    return [line for _, line in sorted(found)][:MAX_LINES]


def explain(
    identifier: typing.Annotated[
        str,
        typer.Argument(
            metavar="ID",
            help="Caller's address (ip:port), upstream id or revision=N.",
        ),
    ],
    files: typing.Annotated[
        list[pathlib.Path], typer.Argument(metavar="LOG...")
    ],
) -> None:
    """Show log lines about a flow, and about the upstreams it used."""
    try:
        lines = collect(files, identifier)
        for line in lines:
            typer.echo(line)
        for upstream in upstreams_of(lines):
            if upstream == identifier:
                continue
            typer.echo(f"-- upstream {upstream}")
            for line in collect(files, upstream):
                if identifier not in line and "event=flow_" not in line:
                    typer.echo(line)
    except errors.FoxtailError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(1) from exc
    if not lines:
        typer.echo(f"no line mentions {identifier}", err=True)
        raise typer.Exit(1)
