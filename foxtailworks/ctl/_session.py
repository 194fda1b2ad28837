"""What every command shares: settings, the loop, the way it ends."""

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

PATIENCE_S = _keepers.PATIENCE_S

AsJson = typing.Annotated[
    bool, typer.Option("--json", help="Print one JSON object.")
]


@dataclasses.dataclass(frozen=True)
class Session:
    """The options that stand before the command."""

    path: pathlib.Path
    """Settings file."""
    patience_s: float
    """How long tries at the keepers go on."""

    @functools.cached_property
    def cfg(self) -> settings.OperatorSettings:
        """Settings of the operator's tool."""
        return settings.load(self.path, settings.OperatorSettings)

    def keepers(self) -> _keepers.Keepers:
        """Return the keepers that the settings list."""
        return _keepers.Keepers(self.cfg, self.patience_s)


@dataclasses.dataclass(frozen=True)
class Done:
    """How a command ended that brought something."""

    report: object
    """What it brought."""
    code: errors.Code = errors.Code.OK
    """``OK``, or what is lacking."""


Command = abc.Callable[[Session], abc.Awaitable[Done]]


def run(ctx: typer.Context, command: Command, as_json: bool) -> None:
    """Run a command, show its outcome and end with its exit code."""

    async def whole() -> Done:
        return await command(ctx.obj)

    try:
        done = uvloop.run(whole())
    except errors.FoxtailError as exc:
        done = Done(_reports.Failed.of(exc), exc.code)
    except Exception as exc:
        failure = errors.FoxtailError(
            errors.Code.INTERNAL, "a fault of this program", reason=repr(exc)
        )
        done = Done(_reports.Failed.of(failure), failure.code)
    _show.emit(done.report, done.code, as_json)
    raise typer.Exit(_exits.exit_of(done.code).value)
