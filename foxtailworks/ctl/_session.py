"""Runs a command: settings, event loop, output and exit code."""

from collections import abc
import dataclasses
import functools
import pathlib
import typing

import typer
import uvloop

from foxtailworks.ctl import _exits
from foxtailworks.ctl import _keepers
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _show
from foxtailworks import errors
from foxtailworks import settings

RETRY_TIMEOUT_S = _keepers.RETRY_TIMEOUT_S

AsJson = typing.Annotated[
    bool, typer.Option("--json", help="Print one JSON object.")
]


@dataclasses.dataclass(frozen=True)
class Session:
    """Global options, which precede the command."""

    settings_path: pathlib.Path
    """Path of the settings file."""
    retry_timeout_s: float
    """Time for which requests to the keepers are retried, in seconds."""

    @functools.cached_property
    def cfg(self) -> settings.OperatorSettings:
        """Settings of ``foxtailctl``, loaded at the first use."""
        return settings.load(self.settings_path, settings.OperatorSettings)

    def keepers(self) -> _keepers.Keepers:
        """Return a client of the keepers that the settings list."""
        return _keepers.Keepers(self.cfg, self.retry_timeout_s)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a command, to be printed."""

    report: object
    """Answer or report; ``_show.render`` accepts its type."""
    code: errors.Code = errors.Code.OK
    """``OK``, or why the result is incomplete or an error."""


Command = abc.Callable[[Session], abc.Awaitable[Outcome]]


def query(
    ctx: typer.Context, request: object, expected: type, as_json: bool
) -> None:
    """Run a command that prints the keepers' answer to one request."""

    async def command(session: Session) -> Outcome:
        return Outcome(await session.keepers().query(request, expected))

    run(ctx, command, as_json)


def run(ctx: typer.Context, command: Command, as_json: bool) -> None:
    """Run a command, print its outcome and exit with its exit code."""

    async def execute() -> Outcome:
        return await command(ctx.obj)

    try:
        outcome = uvloop.run(execute())
    except errors.FoxtailError as exc:
        outcome = Outcome(_reports.ErrorReport.from_error(exc), exc.code)
    except Exception as exc:
        failure = errors.FoxtailError(
            errors.Code.INTERNAL, "a fault of this program", reason=repr(exc)
        )
        outcome = Outcome(
            _reports.ErrorReport.from_error(failure), failure.code
        )
    _show.emit(outcome.report, outcome.code, as_json)
    raise typer.Exit(_exits.exit_of(outcome.code).value)
