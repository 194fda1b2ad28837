"""Commands ``foxtailctl keeper``: members of the group of keepers."""

import typing

import typer

from foxtailworks import contracts
from foxtailworks.ctl import _session
from foxtailworks import errors
from foxtailworks import ids

DEFAULT_WAIT_S = 60.0
MAX_WAIT_S = 3600.0
_REQUEST_NUMBER = 1
_VERIFY_COMMAND = "foxtailctl keeper list"

app = typer.Typer(
    no_args_is_help=True,
    help="List, add, remove and replace keepers.",
    rich_markup_mode=None,
)

Keeper = typing.Annotated[
    str, typer.Argument(help="Identity, or a name that is unique.")
]
Address = typing.Annotated[
    str, typer.Argument(help="ip:port where the new keeper listens.")
]
Wait = typing.Annotated[
    float,
    typer.Option(
        "--wait",
        min=1.0,
        max=MAX_WAIT_S,
        metavar="SECONDS",
        help="Time that the change may take.",
    ),
]


@app.command("list")
def list_all(ctx: typer.Context, as_json: _session.AsJson = False) -> None:
    """List the keepers as the leader reports them.

    \b
    Examples:
      foxtailctl keeper list
    """
    request = contracts.ListKeepers(_REQUEST_NUMBER)
    _session.query(ctx, request, contracts.KeeperList, as_json)


@app.command("add")
def add(
    ctx: typer.Context,
    address: Address,
    wait_s: Wait = DEFAULT_WAIT_S,
    as_json: _session.AsJson = False,
) -> None:
    """Add a keeper with an empty disk: it copies the log, then votes.

    \b
    Examples:
      foxtailctl keeper add 127.1.9.4:7400
    """
    _change(
        ctx,
        lambda: contracts.AddKeeper(
            _REQUEST_NUMBER, ids.Address.parse(address)
        ),
        wait_s,
        as_json,
    )


@app.command("remove")
def remove(
    ctx: typer.Context,
    keeper: Keeper,
    wait_s: Wait = DEFAULT_WAIT_S,
    as_json: _session.AsJson = False,
) -> None:
    """Remove a keeper from the group.

    \b
    Examples:
      foxtailctl keeper remove k3
    """
    _change(
        ctx,
        lambda: contracts.RemoveKeeper(_REQUEST_NUMBER, ids.KeeperId(keeper)),
        wait_s,
        as_json,
    )


@app.command("replace")
def replace(
    ctx: typer.Context,
    keeper: Keeper,
    address: Address,
    wait_s: Wait = DEFAULT_WAIT_S,
    as_json: _session.AsJson = False,
) -> None:
    """Add a keeper; once it votes, remove another.

    \b
    Examples:
      foxtailctl keeper replace k3 127.1.9.4:7400
    """
    _change(
        ctx,
        lambda: contracts.ReplaceKeeper(
            _REQUEST_NUMBER, ids.KeeperId(keeper), ids.Address.parse(address)
        ),
        wait_s,
        as_json,
    )


def _change(
    ctx: typer.Context,
    make_request: typing.Callable[[], object],
    wait_s: float,
    as_json: bool,
) -> None:
    """Request a change of the group; don't resend if the answer is lost."""

    async def command(session: _session.Session) -> _session.Outcome:
        try:
            return _session.Outcome(
                await session.keepers().change(
                    make_request(), contracts.KeeperChanged, wait_s
                )
            )
        except errors.FoxtailError as exc:
            if exc.code is errors.Code.EDIT_UNKNOWN:
                exc.context["learn"] = _VERIFY_COMMAND
            raise

    _session.run(ctx, command, as_json)
