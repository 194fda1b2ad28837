"""Command line of the simulated fabric, upstreams and callers."""

import asyncio
import pathlib
import random
import signal
import time
import typing

import typer

from foxtailworks import coap
from foxtailworks import ids
from foxtailworks.standin import _announce
from foxtailworks.standin import _fabric
from foxtailworks.standin import _flows
from foxtailworks.standin import _records
from foxtailworks.standin import _requests
from foxtailworks.standin import _upstream
from foxtailworks import udp

app = typer.Typer(
    help="Simulated fabric, upstreams and callers, for tests.",
    no_args_is_help=True,
    add_completion=False,
)

Addresses = typing.Annotated[list[str], typer.Option(help="ip:port")]


def main() -> None:
    """Run the command line tool ``foxtail-standin``."""
    app()


def _parse_addresses(texts: list[str]) -> tuple[ids.Address, ...]:
    """Parse a list of ``ip:port`` texts."""
    return tuple(ids.Address.parse(text) for text in texts)


async def _until_signal(*signals: signal.Signals) -> None:
    """Wait until one of ``signals`` arrives."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for item in signals:
        loop.add_signal_handler(item, event.set)
    await event.wait()
    for item in signals:
        loop.remove_signal_handler(item)


@app.command()
def fabric(
    inner: typing.Annotated[
        str, typer.Option(help="ip:port for the entry hosts")
    ],
    service: Addresses,
    loss: typing.Annotated[float, typer.Option(min=0.0, max=0.9)] = 0.0,
    seed: int = 1,
) -> None:
    """Receive packets for services and spread them over the entry hosts."""

    async def run() -> None:
        simulated_fabric = _fabric.Fabric(random.Random(seed), loss)
        async with simulated_fabric.opened(
            ids.Address.parse(inner), _parse_addresses(service)
        ):
            print("event=ready", flush=True)
            await _until_signal(signal.SIGTERM, signal.SIGINT)
        print(f"event=stopped {simulated_fabric.counts}", flush=True)

    asyncio.run(run())


@app.command()
def upstream(
    name: str,
    service: str,
    customer: typing.Annotated[str, typer.Option()],
    zone: typing.Annotated[str, typer.Option()],
    address: typing.Annotated[str, typer.Option(help="ip:port")],
    entry: Addresses,
    records: typing.Annotated[pathlib.Path, typer.Option()],
    kind: str = "request",
    slots: int = 3,
    service_ms: float = 2.0,
    body_bytes: int = 0,
    lifetime: int = 6,
) -> None:
    """Serve requests or flows; SIGUSR1 drains, SIGTERM stops."""
    own_address = ids.Address.parse(address)
    plan = _upstream.UpstreamPlan(
        name=name,
        service=service,
        address=own_address,
        slots=slots,
        service_ms=service_ms,
        body_bytes=body_bytes,
    )
    registration = coap.Registration(
        name=name,
        customer=ids.CustomerId(customer),
        service=ids.ServiceId(service),
        zone=ids.ZoneId(zone),
        address=own_address,
        slots=slots,
        incarnation=ids.Incarnation(time.time_ns() // 1000),
        lifetime_s=lifetime,
    )
    asyncio.run(_upstream_main(plan, registration, kind, entry, records))


async def _upstream_main(
    plan: _upstream.UpstreamPlan,
    registration: coap.Registration,
    kind: str,
    entry: list[str],
    records: pathlib.Path,
) -> None:
    """Open the records and the sockets, then serve until stopped."""
    own_address = plan.address
    with _records.writing(records) as write:
        server: _upstream.FlowUpstream | _upstream.RequestUpstream
        if kind == "flow":
            server = _upstream.FlowUpstream(plan)
        else:
            server = _upstream.RequestUpstream(plan, write)
        announcer = _announce.Announcer(
            registration,
            _parse_addresses(entry),
            lambda: server.load,
            random.Random(plan.name),
        )
        async with (
            udp.open_socket(
                own_address.ip, own_address.port, server.receive
            ) as server.port,
            udp.open_socket(
                own_address.ip, 0, announcer.receive
            ) as announcer.port,
        ):
            await _announce_until_stopped(announcer)


async def _announce_until_stopped(announcer: _announce.Announcer) -> None:
    """Keep registered; drain on SIGUSR1, deregister on SIGTERM or SIGINT."""
    tasks = [asyncio.ensure_future(announcer.run())]

    def drain() -> None:
        announcer.state = coap.AnnouncedState.DRAINING
        print(f"event=draining at={time.time():.3f}", flush=True)
        tasks.pop().cancel()
        tasks.append(asyncio.ensure_future(announcer.run()))

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, drain)
    print("event=ready", flush=True)
    await _until_signal(signal.SIGTERM, signal.SIGINT)
    for task in tasks:
        task.cancel()
    announcer.state = coap.AnnouncedState.GONE
    await announcer.announce()


caller = typer.Typer(help="Callers of services.", no_args_is_help=True)
app.add_typer(caller, name="caller")


@caller.command("requests")
def caller_requests(
    target: typing.Annotated[str, typer.Option(help="ip:port")],
    service: typing.Annotated[str, typer.Option()],
    name: typing.Annotated[str, typer.Option()],
    records: typing.Annotated[pathlib.Path, typer.Option()],
    count: int = 100,
    rate: float = 100.0,
    post_share: float = 0.34,
    duplicate_share: float = 0.2,
    get_path: str = "list",
    post_path: str = "checkin",
    body_bytes: int = 0,
    deadline_ms: int = 5000,
    seed: int = 1,
) -> None:
    """Send CoAP requests with an unmodified aiocoap client."""
    plan = _requests.RequestPlan(
        target=ids.Address.parse(target),
        service=service,
        name=name,
        count=count,
        rate=rate,
        post_share=post_share,
        duplicate_share=duplicate_share,
        get_path=get_path,
        post_path=post_path,
        body_bytes=body_bytes,
        deadline_ms=deadline_ms,
    )
    with _records.writing(records) as write:
        client = _requests.RequestCaller(plan, random.Random(seed), write)
        asyncio.run(client.run())


@caller.command("flows")
def caller_flows(
    target: typing.Annotated[str, typer.Option(help="ip:port")],
    service: typing.Annotated[str, typer.Option()],
    name: typing.Annotated[str, typer.Option()],
    records: typing.Annotated[pathlib.Path, typer.Option()],
    count: int = 100,
    seconds: float = 20.0,
    interval: float = 0.5,
    seed: int = 1,
) -> None:
    """Open long-lived flows of datagrams."""
    plan = _flows.FlowPlan(
        target=ids.Address.parse(target),
        service=service,
        name=name,
        count=count,
        seconds=seconds,
        interval_s=interval,
    )
    with _records.writing(records) as write:
        client = _flows.FlowCaller(plan, random.Random(seed), write)
        asyncio.run(client.run())
