"""``foxtailctl status``, ``histogram``, ``drain`` and ``host``."""

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

_ASK = 1

app = typer.Typer(
    no_args_is_help=True,
    help="Change the roster of entry hosts.",
    rich_markup_mode=None,
)


def status(ctx: typer.Context, as_json: _session.AsJson = False) -> None:
    """Show what is in force where, who lags, who is suspected or drains.

    \b
    Examples:
      foxtailctl status
      foxtailctl status --json
    """

    async def command(session: _session.Session) -> _session.Done:
        entries = _entries.Entries(session.cfg)
        (view, error), (hosts, lost) = await asyncio.gather(
            _keepers_view(session), entries.status()
        )
        report = _reports.StatusReport(view, hosts, lost, error)
        whole = view is not None and not lost
        return _session.Done(report, _partly(whole))

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

    The latency is the time from a request's arrival at an entry host to
    its answer, merged over all hosts that answer.

    \b
    Examples:
      foxtailctl histogram
      foxtailctl histogram --customer balans --priority high
      foxtailctl histogram --json
    """

    def wanted(item: observe.HistogramSnapshot) -> bool:
        return service in (None, item.service) and priority in (
            None,
            item.priority,
        )

    async def command(session: _session.Session) -> _session.Done:
        name = ids.CustomerId(customer) if customer is not None else None
        found, lost = await _entries.Entries(session.cfg).histograms(name)
        merged = observe.merge(
            item for host in found for item in host if wanted(item)
        )
        report = _reports.HistogramReport(merged, len(found), lost)
        return _session.Done(report, _partly(not lost))

    _session.run(ctx, command, as_json)


def drain(
    ctx: typer.Context,
    upstream: typing.Annotated[
        str, typer.Argument(help="As foxtailctl status shows it.")
    ],
    as_json: _session.AsJson = False,
) -> None:
    """Give an upstream no new work; what is established goes on.

    May be repeated: it changes nothing the second time.

    \b
    Examples:
      foxtailctl drain 127.2.6.1:9000#1796337228788038
    """

    async def command(session: _session.Session) -> _session.Done:
        name = ids.UpstreamId(upstream)
        found, lost = await _entries.Entries(session.cfg).drain(name)
        took = [item for item in found if item.code == errors.Code.OK]
        if not took:
            raise _not_drained(upstream, found, lost)
        report = _reports.DrainReport(
            name, len(took), sum(item.flows for item in took), lost
        )
        return _session.Done(report, _partly(not lost))

    _session.run(ctx, command, as_json)


@app.command("remove")
def remove(
    ctx: typer.Context,
    host: typing.Annotated[
        str, typer.Argument(help="An entry host that won't return.")
    ],
    as_json: _session.AsJson = False,
) -> None:
    """Take an entry host out of the roster, for good.

    A host that only restarts or is cut off stays in the roster.

    \b
    Examples:
      foxtailctl host remove lima-3
    """

    async def command(session: _session.Session) -> _session.Done:
        question = contracts.RemoveHost(_ASK, ids.HostId(host))
        return _session.Done(
            await session.keepers().query(question, contracts.HostRemoved)
        )

    _session.run(ctx, command, as_json)


async def _keepers_view(
    session: _session.Session,
) -> tuple[contracts.StatusAnswer | None, str | None]:
    """Return the leader's view, or why there is none."""
    question = contracts.GetStatus(_ASK)
    try:
        view = await session.keepers().query(question, contracts.StatusAnswer)
    except errors.FoxtailError as exc:
        return None, str(exc)
    return view, None


def _partly(whole: bool) -> errors.Code:
    """Return the code of an answer that may lack some hosts."""
    return errors.Code.OK if whole else errors.Code.HOSTS_UNREACHED


def _not_drained(
    upstream: str,
    found: tuple[observe.DrainAnswer, ...],
    lost: tuple[_entries.Unreached, ...],
) -> errors.FoxtailError:
    """Return why no host confirmed."""
    if found:
        return errors.FoxtailError(
            errors.Code.NO_UPSTREAM,
            "no host knows this upstream",
            upstream=upstream,
            unreached=len(lost),
        )
    return errors.FoxtailError(
        errors.Code.LINK_LOST,
        "no entry host answered",
        unreached=", ".join(str(item.address) for item in lost),
    )
