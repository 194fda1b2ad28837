"""Shows what a played day lost, when and for which cause."""

import json
import pathlib
import typing

from rich import console
import typer

from foxtailworks.ctl import _exits
from foxtailworks.ctl import _tables
from foxtailworks import errors
from foxtailworks import losses


WIDTH = 160
"""Columns of the tables in a file or pipe."""


def day(
    report: typing.Annotated[
        pathlib.Path,
        typer.Argument(metavar="REPORT", help="Report of the day, JSON."),
    ],
    logs: typing.Annotated[
        list[pathlib.Path] | None,
        typer.Argument(metavar="[LOG...]", help="Logs of the day's hosts."),
    ] = None,
    plot: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Write a picture of credit and cause over time."),
    ] = None,
    site: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Site file; shows the ceiling of the day NAME."),
    ] = None,
    name: typing.Annotated[
        str, typer.Option(help="Name of the day in the site file.")
    ] = "",
    show_all: typing.Annotated[
        bool, typer.Option("--all", help="Also show windows without a loss.")
    ] = False,
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON for scripts.")
    ] = False,
) -> None:
    """Show the credit that a day lost by time, zone, kind and cause."""
    try:
        found = losses.read_report(report)
        seen = losses.read_logs(logs or (), found)
        rows = tuple(losses.explain(found, seen))
        if plot is not None:
            losses.draw(rows, plot)
        limit = _ceiling(found, site, name)
    except errors.FoxtailError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(_exits.exit_of(exc.code)) from exc
    if as_json:
        typer.echo(json.dumps(_as_dict(found, rows, limit)))
    else:
        _print(found, rows, show_all)
        if limit is not None:
            typer.echo(
                f"worth {found.worth:.3f}, ceiling {limit.worth:.3f}: whole "
                f"day {limit.whole:.3f}, worst windows {limit.windows:.3f}"
            )


def _ceiling(
    found: losses.Day, site: pathlib.Path | None, name: str
) -> losses.Ceiling | None:
    """Return the ceiling of the day, if its site is given."""
    if site is None:
        return None
    known = losses.read_site(site)
    return losses.ceiling(found, known, known.down_s(name))


def _as_dict(
    found: losses.Day,
    rows: tuple[losses.Row, ...],
    limit: losses.Ceiling | None,
) -> dict[str, typing.Any]:
    """Return the day's losses for scripts."""
    return {
        "share": found.whole.share,
        "lost": found.whole.lost,
        "worth": found.worth,
        "ceiling": limit and limit.worth,
        "causes": {
            cause.value: lost for cause, lost in losses.totals(rows).items()
        },
        "windows": [
            {
                "start_s": row.start_s,
                "lost": row.lost,
                "cause": row.cause.value,
                "disruptions": row.disruptions,
                "starts": row.starts,
                "unanswered": row.unanswered,
                "rejected": row.rejected,
            }
            for row in rows
        ],
    }


def _print(
    found: losses.Day, rows: tuple[losses.Row, ...], show_all: bool
) -> None:
    """Print the tables for a terminal."""
    terminal = console.Console(width=None if _is_terminal() else WIDTH)
    terminal.print(
        f"credit {found.whole.share:.3f} of what was owed; lost, in requests:"
    )
    causes = losses.totals(rows).items()
    terminal.print(
        _tables.table(
            ("cause", "lost"),
            ((cause.value, f"{lost:.1f}") for cause, lost in causes),
        )
    )
    terminal.print(_tally_table("zone", found.zones))
    terminal.print(_tally_table("kind", found.kinds))
    heads = ("second", *_OUTCOMES, "cause", "starts", "unanswered")
    terminal.print(
        _tables.table(
            (*heads, "rejected", "disruptions"),
            (
                (
                    f"{row.start_s:g}",
                    *_outcomes(row.tally),
                    row.cause.value,
                    row.starts,
                    row.unanswered,
                    row.rejected,
                    " ".join(row.disruptions),
                )
                for row in rows
                if show_all or row.tally.share < losses.MIN_SHARE
            ),
        )
    )


def _is_terminal() -> bool:
    """Return whether the output is a terminal, which has its own width."""
    return console.Console().is_terminal


_OUTCOMES = ("owed", "late", "refused", "failed", "lost")


def _outcomes(tally: losses.Tally) -> tuple[typing.Any, ...]:
    """Return the cells of the columns in ``_OUTCOMES``."""
    numbers = (tally.owed, tally.late, tally.refused, tally.failed)
    return (*numbers, f"{tally.lost:.1f}")


def _tally_table(
    name: str, tallies: tuple[losses.Tally, ...]
) -> _tables.Renderable:
    """Return a table with a row for each zone or kind."""
    rows = ((item.name, *_outcomes(item)) for item in tallies)
    return _tables.table((name, *_OUTCOMES), rows)
