"""Assembles the commands and global options of ``foxtailctl``."""

import pathlib
import typing

import typer

import foxtailworks
from foxtailworks.ctl import _contract
from foxtailworks.ctl import _day
from foxtailworks.ctl import _explain
from foxtailworks.ctl import _host
from foxtailworks.ctl import _keeper
from foxtailworks.ctl import _session

app = typer.Typer(
    name="foxtailctl",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    context_settings={"help_option_names": ["-h", "--help"]},
)
app.add_typer(_contract.app, name="contract")
app.add_typer(_keeper.app, name="keeper")
app.add_typer(_host.app, name="host")
app.command("status")(_host.status)
app.command("histogram")(_host.histogram)
app.command("drain")(_host.drain)
app.command("explain")(_explain.explain)
app.command("day")(_day.day)


def _print_version(wanted: bool) -> None:
    """Print the version and exit, if ``--version`` was given."""
    if wanted:
        typer.echo(f"foxtailctl {foxtailworks.VERSION}")
        raise typer.Exit


@app.callback()
def _options(
    ctx: typer.Context,
    path: typing.Annotated[
        pathlib.Path,
        typer.Option(
            "--settings",
            envvar="FOXTAILCTL_SETTINGS",
            help="Settings file: keepers, entry hosts, certificates.",
        ),
    ] = pathlib.Path("foxtailctl.json"),
    patience_s: typing.Annotated[
        float,
        typer.Option(
            "--patience",
            min=0.0,
            max=3600.0,
            help="Seconds for which requests to the keepers are retried.",
        ),
    ] = _session.RETRY_TIMEOUT_S,
    version: typing.Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
) -> None:
    """Edit contracts, and show the state of keepers and entry hosts.

    Each command ends with a numbered result (docs/ERRORS.md) and an exit
    code: 0 done, 1 fault, 2 wrong command line, 3 invalid input,
    4 conflict, 5 missing, 6 outcome unknown, 7 no answer, 8 done in part.

    \b
    Examples:
      foxtailctl --settings foxtailctl.json status
      foxtailctl contract put balans.json --base 12 --wait-in-force 4
      foxtailctl histogram --customer balans
    """
    ctx.obj = _session.Session(path, patience_s)


def main() -> None:
    """Run the command line tool ``foxtailctl``."""
    app()
