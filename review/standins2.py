"""Stand-ins for the platform around the project's two programs.

Standard library only.  The programs are started with the commands of
deploy/system.toml, each at a loopback address of its own; clients, servers,
routers and the operator follow PROTOCOL.md.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import typing
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEADER = struct.Struct("<HIIHIIHIB5xI")
# len, seq, ack, dport, src, dst, sport, echo, flags, pad, sum
SYN, ACK, FIN, RST = 128, 64, 8, 4
SYN_COPIES_S = (0.2, 0.6)
SYN_GIVES_UP_S = 1.4
RESEND_S = 0.2
MAX_RESEND_S = 1.6
CALL_S = 1.0
READY_S = 0.5
MISSES = 2
BEAT_S = 1.2
CONTROL, READY, PACKETS, SERVER_PORT = 8166, 8167, 8172, 8080
CONFIGURATION = "/v1/configuration"
ZONES = ("zone-a", "zone-b", "zone-c")
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stabilityWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 12000,
    "recoveryS": 12,
    "flowSlackMs": 2000,
    "flowMaxS": 60,
}
COLD_START_S, COLD_PER_S = 2.0, 0.0
# As in the configurations of shifted/huaylas-rondas-now-grown.toml.
PLACES = {"coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "flows"]

Receive = typing.Callable[[bytes], None]


class CantRunError(Exception):
    """The case couldn't run; its script exits with 2."""


class Record:
    """Writes lines with seconds since the start to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._begun_at = time.monotonic()
        self.broken: list[str] = []

    def note(self, text: str) -> None:
        """Write one line."""
        at = time.monotonic() - self._begun_at
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()

    def break_rule(self, text: str) -> None:
        """Write a line on a broken rule, and remember it."""
        self.broken.append(text)
        self.note(f"BROKEN {text}")


def number_of(ip: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(ip), "big")


def text_of(number: int) -> str:
    """Return a number as an IPv4 address."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def is_free(net: str) -> bool:
    """Return whether no other fleet uses a range of addresses."""
    with socket.socket() as sock:
        try:
            sock.bind((f"{net}.1.2", CONTROL))
        except OSError:
            return False
    return True


class Port(asyncio.DatagramProtocol):
    """UDP socket that passes datagrams to a function."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass a datagram on."""
        self._receive(data)

    def send(self, data: bytes, ip: str, port: int) -> None:
        """Send a datagram."""
        assert self.transport is not None
        self.transport.sendto(data, (ip, port))

    def close(self) -> None:
        """Close the socket."""
        assert self.transport is not None
        self.transport.close()


async def bind(ip: str, port: int, receive: Receive) -> Port:
    """Open a UDP socket."""
    loop = asyncio.get_running_loop()
    _, opened = await loop.create_datagram_endpoint(
        lambda: Port(receive), local_addr=(ip, port)
    )
    return opened


async def call(
    host: str, method: str, path: str, body: bytes = b""
) -> tuple[int, bytes]:
    """Send an HTTP request and follow 307 twice.

    :returns: status and body, 0 without a response within a second
    """
    for _ in range(3):
        try:
            async with asyncio.timeout(CALL_S):
                head, rest = await _exchange(host, method, path, body)
        except (OSError, TimeoutError, EOFError):
            return 0, b""
        status = int(head.split()[1]) if head else 0
        if status != 307:
            return status, rest
        place = head.lower().split(b"location: http://")[1].split()[0]
        host = place.decode().partition("/")[0]
    return 307, b""


def request_bytes(host: str, method: str, path: str, body: bytes) -> bytes:
    """Return an HTTP request."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        "Content-Type: application/json",
        "Connection: close",
        f"Content-Length: {len(body)}",
        "\r\n",
    )
    return "\r\n".join(lines).encode() + body


async def _exchange(
    host: str, method: str, path: str, body: bytes
) -> tuple[bytes, bytes]:
    """Send one request; return the response's head and body."""
    ip, _, port = host.partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(request_bytes(host, method, path, body))
        data = await reader.read()
    finally:
        writer.close()
    head, _, rest = data.partition(b"\r\n\r\n")
    return head, rest


class Fleet:
    """The project's processes and their settings.

    :param fronts: number of front machines in each zone
    :param has_places: whether the contract ``places`` is in force
    :param nets: second bytes of the addresses to try first
    """

    def __init__(
        self,
        record: Record,
        fronts: tuple[int, int, int],
        has_places: bool = False,
        nets: tuple[int, ...] = (),
    ) -> None:
        self.record = record
        self._has_places = has_places
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="foxtail-review-"))
        numbers = (*nets, *random.sample(range(20, 250), 20))
        self._net = next(f"127.{i}" for i in numbers if is_free(f"127.{i}"))
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.ips: dict[str, str] = {}
        self.zone_of: dict[str, str] = {}
        for index, zone in enumerate(ZONES):
            self._add(f"core-{zone}-1", f"{self._net}.{index + 1}.2", zone)
            for front in range(fronts[index]):
                name = f"front-{zone}-{front + 1}"
                self._add(name, f"{self._net}.{index + 1}.{10 + front}", zone)

    def _add(self, name: str, ip: str, zone: str) -> None:
        self.ips[name], self.zone_of[name] = ip, zone

    def address(self, zone: int, last: int) -> str:
        """Return a free loopback address for a client or server."""
        return f"{self._net}.{zone + 1}.{last}"

    def names(self, kind: str) -> list[str]:
        """Return the machines of a class in a fixed order."""
        return sorted(i for i in self.ips if i.startswith(kind))

    def controls(self) -> list[str]:
        """Return the control addresses."""
        return [f"{self.ips[i]}:{CONTROL}" for i in self.names("core")]

    def start(self, name: str, first: bool = False) -> None:
        """Start the program of a machine as the deploy file says."""
        is_front = name.startswith("front")
        if not is_front:
            (self.folder / f"{name}-disk").mkdir(exist_ok=True)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name, is_front, first)))
        program = "run_edge.py" if is_front else "run_coordinator.py"
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FOXTAILWORKS_SETTINGS": str(path),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                ["python3", "-S", f"platform/{program}"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"start {name} {self.ips[name]}")

    def _settings(
        self, name: str, is_front: bool, first: bool
    ) -> dict[str, typing.Any]:
        """Return a settings file in the form of DEPLOY.md."""
        ip, zone = self.ips[name], self.zone_of[name]
        listen = {"control": f"{ip}:{CONTROL}"}
        if is_front:
            listen = {
                "datagramAddr": f"{ip}:{PACKETS}",
                "ready": f"{ip}:{READY}",
            }
        disk = self.folder / f"{name}-disk"
        return {
            "node": name,
            "role": "edge" if is_front else "coordinator",
            "machineClass": "front" if is_front else "core",
            "serves": ["front" if is_front else "control"],
            "ip": ip,
            "zone": zone,
            "region": "region-1",
            "zones": dict.fromkeys(ZONES, "region-1"),
            "listen": listen,
            "internalPortRange": [7720, 7735],
            "seeds": self.controls(),
            "bootstrap": first,
            "toleranceMember": not is_front,
            "limits": {
                "cpuShare": 0.537 if is_front else 0.645,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0 if is_front else 128,
            },
            "dataDir": None if is_front else str(disk),
            "discovery": "registration",
            "entry": "announce",
            "heartbeatIntervalMs": round(BEAT_S * 1000),
            "contracts": CONTRACTS + ["places"] * self._has_places,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS | (PLACES if self._has_places else {}),
            "config_mode": "highest",
            "hash": "mod",
            "encapsulation": "echo",
        }

    def start_all(self) -> None:
        """Start all machines for the first time."""
        for name in sorted(self.ips):
            self.start(name, first=True)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a machine's program."""
        self.record.note(f"signal {name} {number.name}")
        self.running[name].send_signal(number)

    async def stop(self, name: str) -> None:
        """Stop a program as the platform does; wait for its end."""
        self.signal(name, signal.SIGTERM)
        proc = self.running[name]
        try:
            async with asyncio.timeout(BOUNDS["graceS"]):
                while proc.poll() is None:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self.signal(name, signal.SIGKILL)
            proc.wait()
        del self.running[name]
        self.record.note(f"ended {name}")

    def kill(self, name: str) -> None:
        """Kill a program."""
        self.signal(name, signal.SIGKILL)
        self.running.pop(name).wait()

    def ended(self) -> list[str]:
        """Return the programs that have ended by themselves."""
        return [n for n, p in self.running.items() if p.poll() is not None]

    def close(self) -> None:
        """End all programs and remove the folder."""
        for proc in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Routers:
    """The platform's routers: readiness checks and a hash (``mod``)."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._misses = dict.fromkeys(fleet.names("front"), MISSES)
        self.rotation: dict[str, list[str]] = {}

    async def run(self) -> None:
        """Check all nodes twice a second until cancelled."""
        while True:
            await asyncio.gather(*(self._check(i) for i in self._misses))
            for zone in ZONES:
                self._put_rotation(zone)
            await asyncio.sleep(READY_S)

    async def _check(self, name: str) -> None:
        host = f"{self._fleet.ips[name]}:{READY}"
        status, _ = await call(host, "GET", "/v1/ready")
        self._misses[name] = 0 if status == 200 else self._misses[name] + 1

    def _put_rotation(self, zone: str) -> None:
        nodes = [i for i in self._misses if self._fleet.zone_of[i] == zone]
        ready = [i for i in nodes if self._misses[i] < MISSES]
        rotation = ready if 2 * len(ready) >= len(nodes) else nodes
        if rotation != self.rotation.get(zone):
            self._fleet.record.note(f"rotation {zone}: {' '.join(rotation)}")
        self.rotation[zone] = rotation

    def node_of(self, zone: str, data: bytes) -> str:
        """Return the node that a client's packet is forwarded to."""
        rotation = self.rotation[zone]
        return rotation[zlib.crc32(data[10:22]) % len(rotation)]

    def address_of(self, zone: str, data: bytes) -> str:
        """Return that node's address."""
        return self._fleet.ips[self.node_of(zone, data)]


@dataclasses.dataclass
class _Held:
    """A flow at a server."""

    seq: int
    is_open: bool = False
    answers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)


class Server:
    """A server: heartbeats, and one request a packet in its flows.

    :param clock_ms: by how much its machine's time of day is ahead
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        service: str,
        ip: str,
        zone: str,
        clock_ms: int = 0,
    ) -> None:
        self._fleet, self._record = fleet, fleet.record
        self.name, self.service, self.ip, self.zone = name, service, ip, zone
        self.born = time.time_ns() // 1_000_000 + clock_ms
        self._id = int(name.rpartition("-")[2], 16)
        self._sequence = 0
        self.state = "ready"
        self.flows: dict[bytes, _Held] = {}
        self.is_running = False
        self.is_cut = False
        """Whether it is partitioned from the core, so that calls hang."""
        self.cold_until = 0.0
        self.arrivals: list[tuple[float, str]] = []
        """Times at which requests arrived first, with their ids."""
        self._port: Port | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, beats: bool = True) -> None:
        """Listen, and send heartbeats."""
        self._port = await bind(self.ip, SERVER_PORT, self._receive)
        self.is_running = True
        self._record.note(
            f"server {self.name} of {self.service} starts at {self.ip}, "
            f"born {self.born}"
        )
        if beats:
            self._tasks.append(asyncio.ensure_future(self._beat()))

    def crash(self) -> None:
        """End without a word."""
        assert self._port is not None
        self._record.note(f"server {self.name} crashes")
        self.is_running = False
        self.flows.clear()
        self._port.close()
        for task in self._tasks:
            task.cancel()

    def beat_body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.ip}:{SERVER_PORT}",
                "zone": self.zone,
                "version": "v1",
                "concurrencyLimit": 3,
                "state": self.state,
                "coldRemainingMs": self._cold_ms(),
                "sequence": self._sequence,
                "born": self.born,
            }
        ).encode()

    def _cold_ms(self) -> int:
        return max(0, round(1000 * (self.cold_until - time.monotonic())))

    @property
    def path(self) -> str:
        """Path of its heartbeats."""
        return f"/v1/instances/{self.name}"

    async def beat(self, host: str) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        if self.is_cut:
            await asyncio.sleep(CALL_S)
            return False
        status, _ = await call(host, "PUT", self.path, self.beat_body())
        return 200 <= status < 300

    async def _beat(self) -> None:
        hosts = itertools.cycle(
            random.sample(self._fleet.controls(), len(self._fleet.controls()))
        )
        host = next(hosts)
        while True:
            while not await self.beat(host):
                host = next(hosts)
                await asyncio.sleep(0.05)
            await asyncio.sleep(BEAT_S)

    def _receive(self, data: bytes) -> None:
        if len(data) < 8 + HEADER.size:
            return
        if int.from_bytes(data[:8], "big") not in (0, self._id):
            return
        packet = data[8:]
        head = HEADER.unpack_from(packet)
        flow, body = packet[10:22], packet[HEADER.size :]
        flags = head[8]
        if flags & RST:
            self.flows.pop(flow, None)
        elif flags & SYN:
            held = self.flows.setdefault(flow, _Held(random.getrandbits(31)))
            self._send(head, SYN | ACK, held.seq, b"")
        elif flow not in self.flows:
            self._record.note(f"server {self.name} resets an unknown flow")
            self._send(head, RST, 0, b"")
        elif head[2] == self.flows[flow].seq + 1:
            self._on_data(flow, head, flags, body)

    def _on_data(
        self, flow: bytes, head: tuple[int, ...], flags: int, body: bytes
    ) -> None:
        held = self.flows[flow]
        held.is_open = True
        if flags & FIN:
            self._send(head, ACK, held.seq + 1, b"")
            del self.flows[flow]
            return
        if not body:
            return
        if body not in held.answers:
            self.arrivals.append((time.monotonic(), request_id(body)))
            self._record.note(f"server {self.name} runs {request_id(body)}")
            held.answers[body] = answer_to(body, self.name)
        self._send(head, ACK, held.seq + 1, held.answers[body])

    def _send(
        self, head: tuple[int, ...], flags: int, seq: int, body: bytes
    ) -> None:
        assert self._port is not None
        _, got, _, dport, src, dst, sport, echo, _, _ = head
        ack = (got + 1) & 0xFFFFFFFF
        packet = HEADER.pack(
            len(body), seq, ack, sport, dst, src, dport, echo, flags, 1
        )
        self._port.send(packet + body, text_of(src), PACKETS)


def request_of(name: str) -> bytes:
    """Return the bytes of a request."""
    return f"GET / HTTP/1.1\r\nRequest-Id: {name}\r\n\r\n".encode()


def request_id(body: bytes) -> str:
    """Return the id of a request."""
    return body.partition(b"Request-Id: ")[2].partition(b"\r")[0].decode()


def answer_to(body: bytes, stamp: str) -> bytes:
    """Return the answer to a request."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id(body)}\r\n"
        f"Response-Stamp: {stamp}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


Packets = asyncio.Queue[tuple[tuple[int, ...], bytes]]


class Client:
    """A client's machine, with one address."""

    def __init__(
        self, fleet: Fleet, routers: Routers, ip: str, zone: str
    ) -> None:
        self.record, self._routers = fleet.record, routers
        self.ip, self.zone = ip, zone
        self._sports = itertools.count(random.randint(20_000, 30_000))
        self._queues: dict[int, Packets] = {}
        self._port: Port | None = None

    async def start(self) -> None:
        """Open the socket that receives packets."""
        self._port = await bind(self.ip, PACKETS, self._receive)

    def _receive(self, data: bytes) -> None:
        if len(data) >= HEADER.size:
            head = HEADER.unpack_from(data)
            if head[3] in self._queues:
                self._queues[head[3]].put_nowait((head, data[HEADER.size :]))

    def send(self, data: bytes) -> str:
        """Send a packet through the routers; return the node it went to."""
        assert self._port is not None
        node = self._routers.node_of(self.zone, data)
        ip = self._routers.address_of(self.zone, data)
        self._port.send(data, ip, PACKETS)
        return node

    def flow(self, ip: str, port: int) -> "Flow":
        """Return a flow that isn't open yet, from a new port."""
        sport = next(self._sports)
        queue: Packets = asyncio.Queue()
        self._queues[sport] = queue
        return Flow(self, sport, ip, port, queue)

    def forget(self, sport: int) -> None:
        """Forget a flow."""
        self._queues.pop(sport, None)


class Flow:
    """One flow of a client; a request is one packet, sent until answered."""

    def __init__(
        self, client: Client, sport: int, ip: str, port: int, queue: Packets
    ) -> None:
        self._client, self._queue = client, queue
        self._sport, self._ip, self._dport = sport, ip, port
        self._peer = self._echo = 0
        self._seq = random.getrandbits(31)
        self.opened_at = 0.0
        self.node = ""
        """Node that the last packet was sent to."""

    @property
    def key(self) -> bytes:
        """Addresses and ports, as in a packet."""
        return struct.pack(
            "<HIIH",
            self._dport,
            number_of(self._client.ip),
            number_of(self._ip),
            self._sport,
        )

    def __str__(self) -> str:
        """Return both ends."""
        return f"{self._client.ip}:{self._sport}>{self._ip}:{self._dport}"

    def _send(self, seq: int, ack: int, flags: int, body: bytes) -> None:
        packet = HEADER.pack(
            len(body),
            seq,
            ack & 0xFFFFFFFF,
            self._dport,
            number_of(self._client.ip),
            number_of(self._ip),
            self._sport,
            self._echo,
            flags,
            1,
        )
        self.node = self._client.send(packet + body)

    async def _next(
        self, until: float
    ) -> tuple[tuple[int, ...], bytes] | None:
        try:
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                return await self._queue.get()
        except TimeoutError:
            return None

    async def open(self) -> bool:
        """Open the flow; return false after 1.4 s or a reset."""
        begun = time.monotonic()
        for count, until in enumerate((*SYN_COPIES_S, SYN_GIVES_UP_S)):
            self._send(self._seq, count, SYN, b"")
            got = await self._next(begun + until)
            if got is None:
                continue
            head, _ = got
            if not head[8] & SYN:
                return False
            self._peer, self._echo = head[1], head[7]
            self.opened_at = time.monotonic()
            self._send(self._seq + 1, self._peer + 1, ACK, b"")
            return True
        return False

    async def ask(self, name: str, deadline_s: float) -> str:
        """Send a request until its answer comes.

        :returns: ``answered``, ``late``, ``reset by its server`` or
            ``reset by the system``
        """
        body = request_of(name)
        until = time.monotonic() + deadline_s
        pause = RESEND_S
        self._client.record.note(f"client sends {name} on {self}")
        while time.monotonic() < until:
            self._send(self._seq + 1, self._peer + 1, ACK, body)
            resend_at = min(until, time.monotonic() + pause)
            pause = min(MAX_RESEND_S, 2 * pause)
            while (got := await self._next(resend_at)) is not None:
                head, data = got
                if head[8] & RST:
                    return self._reset_by(head)
                if not head[8] & SYN and request_id(data) == name:
                    self._echo = head[7]
                    self._client.record.note(f"client has answer {name}")
                    return "answered"
        return "late"

    def _reset_by(self, head: tuple[int, ...]) -> str:
        """Return who sent a reset that the client accepts."""
        who = "its server" if head[9] else "the system"
        self._client.record.note(f"client gets a reset of {who} on {self}")
        return f"reset by {who}"

    def close(self) -> None:
        """End the flow."""
        self._send(self._seq + 2, self._peer + 1, ACK | FIN, b"")
        self._client.forget(self._sport)


class Operator:
    """Sends configurations and follows redirects."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet, self._record = fleet, fleet.record
        self.version = 0
        self.routes: dict[tuple[str, int], str] = {}
        self.services: list[str] = []

    def document(self) -> bytes:
        """Return the configuration."""
        routes = [
            {
                "name": f"r-{ip}-{port}",
                "host": ip,
                "pathPrefix": f"/{port}/",
                "kind": "idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 300,
                "priority": 2,
                "service": service,
                "maxAttempts": 2,
            }
            for (ip, port), service in self.routes.items()
        ]
        services = [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 2000,
                "protocol": "h1",
                "tls": False,
                "coldStartS": COLD_START_S,
                "coldPerS": COLD_PER_S,
            }
            for name in self.services
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        return json.dumps(
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": limits,
            }
        ).encode()

    async def put(self, patience_s: float = 10.0) -> None:
        """Send the next version until it is acknowledged."""
        self.version += random.randint(1, 3)
        body = self.document()
        until = time.monotonic() + patience_s
        pause = 0.1
        while time.monotonic() < until:
            host = random.choice(self._fleet.controls())
            status, _ = await call(host, "PUT", CONFIGURATION, body)
            if status == 200:
                self._record.note(f"version {self.version} is acknowledged")
                return
            if status in (400, 409, 412, 413, 422):
                break
            await asyncio.sleep(pause)
            pause = min(1.0, 2 * pause)
        raise CantRunError(f"version {self.version} wasn't acknowledged")


Play = typing.Callable[[Record, bool], typing.Coroutine[None, None, None]]


def main(folder: pathlib.Path, play: Play) -> int:
    """Play a case; return the exit code of its script."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        asyncio.run(play(record, has_trouble))
    except (CantRunError, OSError) as exc:
        record.note(f"the case couldn't run: {exc!r}")
        return 2
    record.note("the rule was broken" if record.broken else "the rule held")
    return 1 if record.broken else 0
