"""Commands ``foxtailctl status``, ``histogram``, ``drain`` and ``host``."""

import asyncio
import typing

import typer

from foxtailworks import contracts
from foxtailworks.ctl import _entries
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _session
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe

_REQUEST_NUMBER = 1

app = typer.Typer(
    no_args_is_help=True,
    help="Change the roster of entry hosts.",
    rich_markup_mode=None,
)


def status(ctx: typer.Context, as_json: _session.AsJson = False) -> None:
    """Show the versions in force and the state of hosts and upstreams.

    \b
    Examples:
      foxtailctl status
      foxtailctl status --json
    """

    async def command(session: _session.Session) -> _session.Outcome:
        hosts = _entries.EntryHosts(session.cfg)
        (keepers, error), (answers, unreached) = await asyncio.gather(
            _fetch_keepers_status(session), hosts.status()
        )
        report = _reports.StatusReport(keepers, answers, unreached, error)
        is_complete = keepers is not None and not unreached
        return _session.Outcome(report, _completeness(is_complete))

    _session.run(ctx, command, as_json)


def histogram(
    ctx: typer.Context,
    customer: typing.Annotated[
        str | None, typer.Option(help="Only this customer.")
    ] = None,
    service: typing.Annotated[
        str | None, typer.Option(help="Only this service.")
    ] = None,
    priority: typing.Annotated[
        contracts.Priority | None,
        typer.Option(help="Only this priority class."),
    ] = None,
    as_json: _session.AsJson = False,
) -> None:
    """Plot latencies by customer, service and priority class.

    Latency is the time from a request's arrival at an entry host to its
    answer. The histograms of all hosts that answer are merged.

    \b
    Examples:
      foxtailctl histogram
      foxtailctl histogram --customer balans --priority high
      foxtailctl histogram --json
    """

    def is_selected(item: observe.HistogramSnapshot) -> bool:
        return service in (None, item.service) and priority in (
            None,
            item.priority,
        )

    async def command(session: _session.Session) -> _session.Outcome:
        name = ids.CustomerId(customer) if customer is not None else None
        answers, unreached = await _entries.EntryHosts(session.cfg).histograms(
            name
        )
        merged = observe.merge(
            item
            for snapshots in answers
            for item in snapshots
            if is_selected(item)
        )
        report = _reports.HistogramReport(merged, len(answers), unreached)
        return _session.Outcome(report, _completeness(not unreached))

    _session.run(ctx, command, as_json)


def drain(
    ctx: typer.Context,
    upstream: typing.Annotated[
        str, typer.Argument(help="As foxtailctl status shows it.")
    ],
    as_json: _session.AsJson = False,
) -> None:
    """Give an upstream no new work; established flows continue.

    The command may be repeated: it is idempotent.

    \b
    Examples:
      foxtailctl drain 127.2.6.1:9000#1796337228788038
    """

    async def command(session: _session.Session) -> _session.Outcome:
        name = ids.UpstreamId(upstream)
        answers, unreached = await _entries.EntryHosts(session.cfg).drain(name)
        accepted = [item for item in answers if item.code == errors.Code.OK]
        if not accepted:
            raise _drain_error(upstream, answers, unreached)
        report = _reports.DrainReport(
            name,
            len(accepted),
            sum(item.flows for item in accepted),
            unreached,
        )
        return _session.Outcome(report, _completeness(not unreached))

    _session.run(ctx, command, as_json)


@app.command("remove")
def remove(
    ctx: typer.Context,
    host: typing.Annotated[
        str, typer.Argument(help="An entry host that won't return.")
    ],
    as_json: _session.AsJson = False,
) -> None:
    """Remove an entry host from the roster permanently.

    A host that only restarts or is unreachable stays in the roster.

    \b
    Examples:
      foxtailctl host remove lima-3
    """

    async def command(session: _session.Session) -> _session.Outcome:
        request = contracts.RemoveHost(_REQUEST_NUMBER, ids.HostId(host))
        return _session.Outcome(
            await session.keepers().query(request, contracts.HostRemoved)
        )

    _session.run(ctx, command, as_json)


async def _fetch_keepers_status(
    session: _session.Session,
) -> tuple[contracts.StatusAnswer | None, str | None]:
    """Return the leader's status, or the error when none is available."""
    request = contracts.GetStatus(_REQUEST_NUMBER)
    try:
        answer = await session.keepers().query(request, contracts.StatusAnswer)
    except errors.FoxtailError as exc:
        return None, str(exc)
    return answer, None


def _completeness(is_complete: bool) -> errors.Code:
    """Return the result code of a report that may lack some hosts."""
    return errors.Code.OK if is_complete else errors.Code.HOSTS_UNREACHED


def _drain_error(
    upstream: str,
    answers: tuple[observe.DrainAnswer, ...],
    unreached: tuple[_entries.UnreachedHost, ...],
) -> errors.FoxtailError:
    """Return the error when no host confirmed."""
    if answers:
        return errors.FoxtailError(
            errors.Code.NO_UPSTREAM,
            "no host has this upstream in its table",
            upstream=upstream,
            unreached=len(unreached),
        )
    return errors.FoxtailError(
        errors.Code.LINK_LOST,
        "no entry host answered",
        unreached=", ".join(str(item.address) for item in unreached),
    )
