"""Commands ``foxtailctl contract``: edit, show and compare contracts."""

import difflib
import pathlib
import typing

import typer

from foxtailworks import contracts
from foxtailworks.ctl import _edits
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _session
from foxtailworks import errors
from foxtailworks import ids

MAX_WAIT_S = 600.0
_REQUEST_NUMBER = 1

app = typer.Typer(
    no_args_is_help=True,
    help="Put, show and compare contracts.",
    rich_markup_mode=None,
)

Customer = typing.Annotated[str, typer.Argument(help="Name of a customer.")]
Base = typing.Annotated[
    int,
    typer.Option(
        "--base", min=0, help="Version that the edit replaces; 0 for none."
    ),
]
EditId = typing.Annotated[
    str | None,
    typer.Option(
        "--edit-id", help="Id of an edit whose answer was lost, to resend it."
    ),
]
Wait = typing.Annotated[
    float,
    typer.Option(
        "--wait-in-force",
        min=0.0,
        max=MAX_WAIT_S,
        metavar="SECONDS",
        help="Wait until it is in force on all reachable hosts.",
    ),
]


@app.command("put")
def put(
    ctx: typer.Context,
    file: typing.Annotated[
        pathlib.Path, typer.Argument(help="Contract: JSON with comments.")
    ],
    base: Base = 0,
    edit_id: EditId = None,
    wait_s: Wait = 0.0,
    as_json: _session.AsJson = False,
) -> None:
    """Put a customer's contract in force.

    The edit replaces version BASE; if another edit came first, nothing is
    changed and the current version is named. Resending with the same edit
    id returns the first outcome again and changes nothing.

    \b
    Examples:
      foxtailctl contract put balans.json
      foxtailctl contract put balans.json --base 12 --wait-in-force 4
      foxtailctl contract put balans.json --base 12 --edit-id 5f0c2a9be1d40377
    """

    async def command(session: _session.Session) -> _session.Outcome:
        document = read_document(file)
        customer = contracts.parse_contract(document).customer
        edit = contracts.PutContract(
            _REQUEST_NUMBER,
            _edits.edit_id_or_new(edit_id),
            customer,
            ids.Version(base),
            document,
        )
        resend = f"foxtailctl contract put {file}"
        return await _edits.submit(session, edit, wait_s, resend)

    _session.run(ctx, command, as_json)


@app.command("rollback")
def rollback(
    ctx: typer.Context,
    customer: Customer,
    to: typing.Annotated[
        int, typer.Argument(min=1, help="Version whose text is put in force.")
    ],
    base: Base,
    edit_id: EditId = None,
    wait_s: Wait = 0.0,
    as_json: _session.AsJson = False,
) -> None:
    """Put the text of an older version in force, as a new version.

    \b
    Examples:
      foxtailctl contract rollback balans 12 --base 15
    """

    async def command(session: _session.Session) -> _session.Outcome:
        edit = contracts.RollbackContract(
            _REQUEST_NUMBER,
            _edits.edit_id_or_new(edit_id),
            ids.CustomerId(customer),
            ids.Version(base),
            ids.Version(to),
        )
        resend = f"foxtailctl contract rollback {customer} {to}"
        return await _edits.submit(session, edit, wait_s, resend)

    _session.run(ctx, command, as_json)


@app.command("get")
def get(
    ctx: typer.Context,
    customer: Customer,
    version: typing.Annotated[
        int, typer.Option(min=0, help="An older version; 0 for the current.")
    ] = 0,
    as_json: _session.AsJson = False,
) -> None:
    """Print the text of a contract, as it was put.

    The version goes to standard error, so that the text can be saved.

    \b
    Examples:
      foxtailctl contract get balans > balans.json
      foxtailctl contract get balans --version 12
    """

    async def command(session: _session.Session) -> _session.Outcome:
        answer = await _fetch(session, customer, version)
        if not as_json:
            typer.echo(f"version {answer.version}", err=True)
        return _session.Outcome(answer)

    _session.run(ctx, command, as_json)


@app.command("list")
def list_all(ctx: typer.Context, as_json: _session.AsJson = False) -> None:
    """List all contracts with their versions.

    \b
    Examples:
      foxtailctl contract list
    """
    request = contracts.ListContracts(_REQUEST_NUMBER)
    _session.query(ctx, request, contracts.ContractList, as_json)


@app.command("history")
def history(
    ctx: typer.Context,
    customer: Customer,
    as_json: _session.AsJson = False,
) -> None:
    """List the stored versions of a contract with their edit ids.

    \b
    Examples:
      foxtailctl contract history balans
    """
    request = contracts.GetHistory(_REQUEST_NUMBER, ids.CustomerId(customer))
    _session.query(ctx, request, contracts.HistoryAnswer, as_json)


@app.command("diff")
def diff(
    ctx: typer.Context,
    customer: Customer,
    file: typing.Annotated[
        pathlib.Path | None,
        typer.Argument(help="Compare with this file."),
    ] = None,
    older: typing.Annotated[
        int, typer.Option("--from", min=0, help="First version.")
    ] = 0,
    newer: typing.Annotated[
        int, typer.Option("--to", min=0, help="Second version.")
    ] = 0,
    as_json: _session.AsJson = False,
) -> None:
    """Compare a contract with a file, or two of its versions.

    Version 0, the default of both, is the current one.

    \b
    Examples:
      foxtailctl contract diff balans balans.json
      foxtailctl contract diff balans --from 12 --to 15
    """

    async def command(session: _session.Session) -> _session.Outcome:
        first = await _fetch(session, customer, older)
        if file is not None:
            second, name = read_document(file), str(file)
        else:
            answer = await _fetch(session, customer, newer)
            second, name = answer.document, f"version {answer.version}"
        return _session.Outcome(_compare(first, second, name))

    _session.run(ctx, command, as_json)


def read_document(file: pathlib.Path) -> str:
    """Return the text of a contract's file.

    :raises FoxtailError: ``CONTRACT_INVALID``: unreadable or too large
    """
    try:
        with file.open("rb") as stream:
            data = stream.read(contracts.MAX_DOCUMENT_BYTES + 1)
        if len(data) > contracts.MAX_DOCUMENT_BYTES:
            raise ValueError("larger than 64 KiB")
        return data.decode()
    except (OSError, ValueError) as exc:
        raise errors.FoxtailError(
            errors.Code.CONTRACT_INVALID, str(exc), file=file
        ) from exc


async def _fetch(
    session: _session.Session, customer: str, version: int
) -> contracts.ContractAnswer:
    """Fetch one version of a contract; 0 is the current one."""
    request = contracts.GetContract(
        _REQUEST_NUMBER, ids.CustomerId(customer), ids.Version(version)
    )
    return await session.keepers().query(request, contracts.ContractAnswer)


def _compare(
    first: contracts.ContractAnswer, second: str, name: str
) -> _reports.DiffReport:
    """Compare a version of a contract with another text.

    :param name: name of the second text
    """
    older = f"version {first.version}"
    lines = difflib.unified_diff(
        first.document.splitlines(),
        second.splitlines(),
        older,
        name,
        lineterm="",
    )
    return _reports.DiffReport(first.customer, older, name, tuple(lines))
