"""Packets and requests through real sockets, against a bare relay.

Sender, entry host and upstream share one event loop on one core, so the
figures compare with each other and not with a host that has a core alone.
"""

import asyncio
from collections import abc
import contextlib
import random
import time

import aiocoap
import uvloop

from foxtailworks.bench import _figure
from foxtailworks import coap
from foxtailworks import contracts
from foxtailworks import entry
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import proxyv2
from foxtailworks import settings
from foxtailworks import udp
from foxtailworks import upstreams

WINDOW = 32
PACKETS = 20_000
REQUESTS = 5_000
CALLERS = 1_000
PAYLOAD = b"x" * 64
# A host that knows no other waits for so long before it places flows.
START_S = 6.0
IP = "127.77.0.1"
FLOWS = ids.Address("127.77.3.1", 5683)
DESK = ids.Address("127.77.3.2", 5683)
_ANSWER_S = 20.0
# A refused packet is never answered, so nothing may be refused here.
_LIMITS = contracts.Limits(1e6, 100_000, 100_000, 1e6)

# Makes the n-th packet of a run.
Make = abc.Callable[[int], bytes]


class _Pump:
    """Keeps a window of packets out and counts the answers."""

    def __init__(self, make: Make, target: ids.Address, count: int) -> None:
        self._make = make
        self._target = target
        self._count = count
        self._sent = 0
        self._answered = 0
        self._done = asyncio.Event()
        self.port: udp.Socket | None = None

    def take(self, data: bytes, src: ids.Address) -> None:
        """Count an answer and send the next packet."""
        self._answered += 1
        if self._answered == self._count:
            self._done.set()
        self._send()

    def _send(self) -> None:
        """Send one packet, if any is left."""
        if self._sent < self._count and self.port is not None:
            self.port.send(self._make(self._sent), self._target)
            self._sent += 1

    async def run(self) -> float:
        """Return the answers a second."""
        start = time.perf_counter()
        for _ in range(WINDOW):
            self._send()
        async with asyncio.timeout(_ANSWER_S):
            await self._done.wait()
        return self._count / (time.perf_counter() - start)


def _caller(number: int) -> ids.Address:
    """Return one of many callers."""
    return udp.address_of("127.77.9.1", 10_000 + number % CALLERS)


def _flow_packet(number: int) -> bytes:
    """Return a packet of a flow, as the fabric hands it over."""
    return proxyv2.encode(_caller(number), FLOWS, PAYLOAD)


def _request_packet(number: int) -> bytes:
    """Return a request, as the fabric hands it over."""
    token = number.to_bytes(4, "big")
    msg = coap.compose(aiocoap.CON, number % 65536, aiocoap.GET, token)
    msg.opt.uri_path = ("slots",)
    return proxyv2.encode(_caller(number), DESK, msg.encode())


async def _rate(make: Make, target: ids.Address, count: int) -> float:
    """Return the answers a second of one run."""
    pump = _Pump(make, target, count)
    async with udp.open_socket(IP, 0, pump.take) as pump.port:
        return await pump.run()


@contextlib.asynccontextmanager
async def _echo() -> abc.AsyncIterator[ids.Address]:
    """Run an upstream that sends flows' packets back."""
    ports: list[udp.Socket] = []

    def take(data: bytes, src: ids.Address) -> None:
        packet = proxyv2.decode(data)
        answer = proxyv2.encode(packet.target, packet.source, packet.payload)
        ports[0].send(answer, src)

    async with udp.open_socket(IP, 0, take) as port:
        ports.append(port)
        yield port.local()


@contextlib.asynccontextmanager
async def _answering() -> abc.AsyncIterator[ids.Address]:
    """Run an upstream that answers each request with 2.05."""
    ports: list[udp.Socket] = []

    def take(data: bytes, src: ids.Address) -> None:
        end = 4 + (data[0] & 0x0F)
        head = bytes((0x60 | (data[0] & 0x0F), 0x45))
        ports[0].send(head + data[2:end] + b"\xff" + PAYLOAD, src)

    async with udp.open_socket(IP, 0, take) as port:
        ports.append(port)
        yield port.local()


@contextlib.asynccontextmanager
async def _relay(target: ids.Address) -> abc.AsyncIterator[ids.Address]:
    """Run a relay that decides nothing."""
    ports: list[udp.Socket] = []
    senders: list[ids.Address] = []

    def outward(data: bytes, src: ids.Address) -> None:
        senders[:] = [src]
        ports[1].send(data, target)

    def inward(data: bytes, src: ids.Address) -> None:
        ports[0].send(data, senders[0])

    async with (
        udp.open_socket(IP, 0, outward) as outer,
        udp.open_socket(IP, 0, inward) as inner,
    ):
        ports.extend((outer, inner))
        yield outer.local()


def _settings() -> settings.EntrySettings:
    """Return settings of a host that stands alone."""
    return settings.EntrySettings(
        host=ids.HostId("entry-1"),
        zone=ids.ZoneId("zone-a"),
        region=ids.RegionId("region"),
        peer_address=ids.Address(IP, 7100),
        operator_address=ids.Address(IP, 7200),
        fabric_address=ids.Address(IP, 7300),
        announce_address=ids.Address(IP, 7400),
        keepers=(),
        seeds=(),
    )


def _update(cfg: settings.EntrySettings, incarnation: int) -> contracts.Update:
    """Return a version with both services and this host's roster."""
    contract = contracts.Contract(
        ids.CustomerId("bench"),
        (
            contracts.Service(
                name=ids.ServiceId("calls"),
                kind=contracts.ServiceKind.FLOW,
                address=str(FLOWS),
                limits=_LIMITS,
            ),
            contracts.Service(
                name=ids.ServiceId("desk"),
                kind=contracts.ServiceKind.REQUEST,
                address=str(DESK),
                limits=_LIMITS,
            ),
        ),
    )
    version = ids.Version(2)
    text = contracts.render_contract(contract)
    item = contracts.VersionedContract(contract.customer, version, text)
    me = contracts.RosterHost(
        cfg.host, cfg.zone, cfg.peer_address, ids.Incarnation(incarnation)
    )
    roster = contracts.Roster(ids.Version(1), (me,))
    return contracts.Update(ids.ZERO_VERSION, version, (item,), roster)


def _announce(host: entry.EntryHost, service: str, at: ids.Address) -> None:
    """Make an upstream known to the host."""
    announcement = upstreams.Announcement(
        address=at,
        customer=ids.CustomerId("bench"),
        service=ids.ServiceId(service),
        zone=ids.ZoneId("zone-a"),
        incarnation=ids.Incarnation(1),
        slots=1000,
        lifetime_s=600.0,
    )
    now = asyncio.get_running_loop().time()
    host.perform(host.cores.directory.announce(announcement, now))


async def _measure() -> list[_figure.Figure]:
    """Return the rates of the relay and of the entry host."""
    cfg = _settings()
    loop = asyncio.get_running_loop()
    host = entry.EntryHost(
        cfg, ids.Incarnation(1), random.Random(1), observe.Metrics(), loop.time
    )
    async with (
        host.opened(asyncio.Event()),
        _echo() as echo,
        _answering() as answering,
        _relay(echo) as flow_relay,
        _relay(answering) as request_relay,
    ):
        _announce(host, "calls", echo)
        _announce(host, "desk", answering)
        host.on_update(_update(cfg, 1))
        await asyncio.sleep(START_S)
        relayed = await _rate(_flow_packet, flow_relay, PACKETS)
        flows = await _rate(_flow_packet, cfg.fabric_address, PACKETS)
        bare = await _rate(
            lambda number: proxyv2.decode(_request_packet(number)).payload,
            request_relay,
            REQUESTS,
        )
        served = await _rate(_request_packet, cfg.fabric_address, REQUESTS)
    return [
        _figure.Figure("packets_per_s_per_core", flows, "1/s", relayed),
        _figure.Figure("requests_per_s_per_core", served, "1/s", bare),
    ]


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield the rates; ``baseline`` is the bare relay's."""
    yield from uvloop.run(_measure())
