"""Throughput of packets and requests on real sockets against a bare relay.

Sender, entry host and upstream share one event loop on one core, so the
figures are comparable with each other, not with a host on its own core.
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
# A host without live peers waits this long before it places flows.
PLACEMENT_DELAY_S = 6.0
IP = "127.77.0.1"
FLOW_SERVICE = ids.Address("127.77.3.1", 5683)
REQUEST_SERVICE = ids.Address("127.77.3.2", 5683)
_ANSWER_TIMEOUT_S = 20.0
# Refused packets get no answer, so the limits must not refuse any.
_LIMITS = contracts.Limits(1e6, 100_000, 100_000, 1e6)

# Returns the n-th packet of a run.
PacketFactory = abc.Callable[[int], bytes]


class _LoadGenerator:
    """Sender that keeps a window of unanswered packets in flight."""

    def __init__(
        self, make_packet: PacketFactory, target: ids.Address, count: int
    ) -> None:
        self._make_packet = make_packet
        self._target = target
        self._count = count
        self._sent = 0
        self._answered = 0
        self._done = asyncio.Event()
        self.port: udp.Socket | None = None

    def on_packet(self, data: bytes, src: ids.Address) -> None:
        """Count one answer and send the next packet."""
        self._answered += 1
        if self._answered == self._count:
            self._done.set()
        self._send()

    def _send(self) -> None:
        """Send the next packet unless all have been sent."""
        if self._sent < self._count and self.port is not None:
            self.port.send(self._make_packet(self._sent), self._target)
            self._sent += 1

    async def run(self) -> float:
        """Send all packets and return the answers a second.

        :raises TimeoutError: not all answered in time
        """
        start = time.perf_counter()
        for _ in range(WINDOW):
            self._send()
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            await self._done.wait()
        return self._count / (time.perf_counter() - start)


def _caller_address(number: int) -> ids.Address:
    """Return the address of one of ``CALLERS`` callers."""
    return udp.address_of("127.77.9.1", 10_000 + number % CALLERS)


def _flow_packet(number: int) -> bytes:
    """Return a flow's packet with the fabric's PROXY header."""
    return proxyv2.encode(_caller_address(number), FLOW_SERVICE, PAYLOAD)


def _request_packet(number: int) -> bytes:
    """Return a GET request with the fabric's PROXY header."""
    token = number.to_bytes(4, "big")
    msg = coap.compose(aiocoap.CON, number % 65536, aiocoap.GET, token)
    msg.opt.uri_path = ("slots",)
    return proxyv2.encode(
        _caller_address(number), REQUEST_SERVICE, msg.encode()
    )


async def _measure_rate(
    make_packet: PacketFactory, target: ids.Address, count: int
) -> float:
    """Run a load generator and return the answers a second."""
    generator = _LoadGenerator(make_packet, target, count)
    async with udp.open_socket(IP, 0, generator.on_packet) as generator.port:
        return await generator.run()


@contextlib.asynccontextmanager
async def _run_echo() -> abc.AsyncIterator[ids.Address]:
    """Run an upstream that sends flow packets back to the caller."""
    ports: list[udp.Socket] = []

    def on_packet(data: bytes, src: ids.Address) -> None:
        packet = proxyv2.decode(data)
        answer = proxyv2.encode(packet.target, packet.source, packet.payload)
        ports[0].send(answer, src)

    async with udp.open_socket(IP, 0, on_packet) as port:
        ports.append(port)
        yield port.local()


@contextlib.asynccontextmanager
async def _run_responder() -> abc.AsyncIterator[ids.Address]:
    """Run an upstream that answers each request with 2.05."""
    ports: list[udp.Socket] = []

    def on_packet(data: bytes, src: ids.Address) -> None:
        end = 4 + (data[0] & 0x0F)
        head = bytes((0x60 | (data[0] & 0x0F), 0x45))
        ports[0].send(head + data[2:end] + b"\xff" + PAYLOAD, src)

    async with udp.open_socket(IP, 0, on_packet) as port:
        ports.append(port)
        yield port.local()


@contextlib.asynccontextmanager
async def _run_relay(target: ids.Address) -> abc.AsyncIterator[ids.Address]:
    """Run a relay that forwards all packets between two addresses."""
    ports: list[udp.Socket] = []
    senders: list[ids.Address] = []

    def forward_packet(data: bytes, src: ids.Address) -> None:
        senders[:] = [src]
        ports[1].send(data, target)

    def return_answer(data: bytes, src: ids.Address) -> None:
        ports[0].send(data, senders[0])

    async with (
        udp.open_socket(IP, 0, forward_packet) as outer,
        udp.open_socket(IP, 0, return_answer) as inner,
    ):
        ports.extend((outer, inner))
        yield outer.local()


def _settings() -> settings.EntrySettings:
    """Return settings of a host without keepers and peers."""
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
    """Return an update with both services and a roster of this host."""
    contract = contracts.Contract(
        ids.CustomerId("bench"),
        (
            contracts.Service(
                name=ids.ServiceId("calls"),
                kind=contracts.ServiceKind.FLOW,
                address=str(FLOW_SERVICE),
                limits=_LIMITS,
            ),
            contracts.Service(
                name=ids.ServiceId("desk"),
                kind=contracts.ServiceKind.REQUEST,
                address=str(REQUEST_SERVICE),
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
    """Add an upstream to the directory of the host."""
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
    """Return the rates of the entry host with the relay's as baselines."""
    cfg = _settings()
    loop = asyncio.get_running_loop()
    host = entry.EntryHost(
        cfg, ids.Incarnation(1), random.Random(1), observe.Metrics(), loop.time
    )
    async with (
        host.opened(asyncio.Event()),
        _run_echo() as echo,
        _run_responder() as responder,
        _run_relay(echo) as flow_relay,
        _run_relay(responder) as request_relay,
    ):
        _announce(host, "calls", echo)
        _announce(host, "desk", responder)
        host.on_update(_update(cfg, 1))
        await asyncio.sleep(PLACEMENT_DELAY_S)
        relayed_packets = await _measure_rate(
            _flow_packet, flow_relay, PACKETS
        )
        flows = await _measure_rate(_flow_packet, cfg.fabric_address, PACKETS)
        relayed_requests = await _measure_rate(
            lambda number: proxyv2.decode(_request_packet(number)).payload,
            request_relay,
            REQUESTS,
        )
        served = await _measure_rate(
            _request_packet, cfg.fabric_address, REQUESTS
        )
    return [
        _figure.Figure(
            "packets_per_s_per_core", flows, "1/s", relayed_packets
        ),
        _figure.Figure(
            "requests_per_s_per_core", served, "1/s", relayed_requests
        ),
    ]


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield packets and requests a second; the baseline is a bare relay."""
    yield from uvloop.run(_measure())
