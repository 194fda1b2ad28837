"""Small stand-ins for the platform, its servers and its clients.

They follow the users' pages (SYSTEM, PROTOCOL, DEPLOY) and use the standard
library only.  The project's programs run as separate processes, with the
commands of ``deploy/system.toml``, on loopback addresses.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[1]
CONTROL_PORT = 8166
READY_PORT = 8167
PACKET_PORT = 8172
INTERNAL_PORTS = (7720, 7735)
METRICS_PORT = 9464
SERVER_PORT = 8080
HEARTBEAT_S = 1.2
ROUTE_IP = "198.18.0.1"
"""Route's address in the configuration; no packet is sent to it."""
ZONES = ("dixie-east-a", "dixie-east-b", "dixie-east-c")
SERVERS = 7
"""Servers of the service; one of them is a share of 0.143."""
ROUTE_PORT = 8443
SERVICE = "desk"
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
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
LIMIT_S = 110.0
"""Time after which a case is ended."""

SYN, ACK, FIN, RST = 128, 64, 8, 4
_HEADER = struct.Struct("<HIIHIIHIB5xI")
_KEY = os.urandom(16)
# Key of the packets' checksum, which the system doesn't know.


class NotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        line = f"{time.monotonic() - self._start:8.3f}  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclasses.dataclass(frozen=True)
class Header:
    """Header of a packet, with the fields of PROTOCOL.md."""

    size: int
    seq: int
    ack: int
    dport: int
    src: str
    dst: str
    sport: int
    echo: int
    flags: int
    checksum: int = 0

    @classmethod
    def parse(cls, data: bytes) -> "Header":
        """Read the header at the start of a packet."""
        size, seq, ack, dport, src, dst, sport, echo, flags, checksum = (
            _HEADER.unpack_from(data)
        )
        ips = (socket.inet_ntoa(struct.pack(">I", ip)) for ip in (src, dst))
        return cls(size, seq, ack, dport, *ips, sport, echo, flags, checksum)

    def encode(self, data: bytes = b"") -> bytes:
        """Return the packet, with its keyed checksum."""
        numbers = [
            struct.unpack(">I", socket.inet_aton(ip))[0]
            for ip in (self.src, self.dst)
        ]
        return (
            _HEADER.pack(
                len(data),
                self.seq,
                self.ack,
                self.dport,
                *numbers,
                self.sport,
                self.echo,
                self.flags,
                self.keyed_sum(),
            )
            + data
        )

    def keyed_sum(self) -> int:
        """Return the checksum over all fields but ``echo`` and padding."""
        text = "/".join(
            str(item)
            for item in (
                self.seq,
                self.ack,
                self.dport,
                self.src,
                self.dst,
                self.sport,
                self.flags,
            )
        )
        digest = hashlib.blake2s(text.encode(), key=_KEY, digest_size=4)
        return int.from_bytes(digest.digest(), "little") or 1


class _Datagrams(asyncio.DatagramProtocol):
    """UDP socket that passes datagrams to a function."""

    def __init__(self, receive) -> None:
        self._receive = receive
        self.transport = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data, addr) -> None:
        self._receive(data, addr)


async def bind(ip: str, port: int, receive):
    """Open a UDP socket; return its transport."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(receive), local_addr=(ip, port)
    )
    return transport


async def call(
    host: str, method: str, path: str, body: bytes = b"", timeout_s: float = 1
) -> tuple[int, bytes]:
    """Send a request and follow two redirects, as every caller does.

    :return: status 0 without a response
    """
    for _ in range(3):
        try:
            async with asyncio.timeout(timeout_s):
                head, rest = await _exchange(host, method, path, body)
        except (OSError, TimeoutError, EOFError):
            return 0, b""
        if not head:
            return 0, b""
        status = int(head.split()[1])
        if status != 307:
            return status, rest
        location = head.lower().split(b"location: http://")[1].split()[0]
        host = location.decode().partition("/")[0]
    return 307, b""


def encode_request(host: str, method: str, path: str, body: bytes) -> bytes:
    """Return the bytes of a request on a connection of its own."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        "Connection: close",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "\r\n",
    )
    return "\r\n".join(lines).encode() + body


async def _exchange(
    host: str, method: str, path: str, body: bytes
) -> tuple[bytes, bytes]:
    """Send one request; return the head and the body of the response."""
    ip, _, port = host.partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(encode_request(host, method, path, body))
        data = await reader.read()
    finally:
        writer.close()
    head, _, rest = data.partition(b"\r\n\r\n")
    return head, rest


class Link:
    """A proxy in front of a control address, which may be cut.

    What a sender wrote during a cut is delivered after it, when TCP sends
    it again.
    """

    RETRANSMISSIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)
    """Times after the first packet at which TCP repeats it."""

    def __init__(self, record: Record, target: str) -> None:
        self._record, self._target = record, target
        self._cut_at = self._heals_at = 0.0
        self._server = None
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._carry, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def cut(self, for_s: float) -> None:
        """Let nothing pass for some seconds."""
        self._cut_at = time.monotonic()
        self._heals_at = self._cut_at + for_s

    async def _carry(self, reader, writer) -> None:
        """Carry one request and its response."""
        data = await reader.read(65536)
        sent_at = time.monotonic()
        if sent_at < self._heals_at:
            arrives_at = next(
                sent_at + after
                for after in self.RETRANSMISSIONS_S
                if sent_at + after > self._heals_at
            )
            self._record.add(f"link: holds {data.split(b' HTTP')[0]!r}")
            await asyncio.sleep(arrives_at - sent_at)
        ip, _, port = self._target.partition(":")
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        far_writer.write(data)
        response = await far_reader.read()
        if sent_at < self._heals_at:
            self._record.add(
                f"link: delivers {data.split(b' HTTP')[0]!r}:"
                f" {response.split()[1]!r}"
            )
        far_writer.close()
        with contextlib.suppress(OSError):
            writer.write(response)
            writer.close()


class Fleet:
    """The project's programs: three coordinators and some edge hosts."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net = _free_net()
        self.running: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._commands = {
            name: role["run"].split() for name, role in roles["roles"].items()
        }

    def address(self, number: int) -> str:
        """Return the loopback address with a number as its last byte."""
        return f"{self._net}.{number}"

    def control(self, name: str) -> str:
        """Return the control address of a coordinator."""
        return f"{self.addresses[name]}:{CONTROL_PORT}"

    def controls(self) -> list[str]:
        """Return the control addresses that callers choose from."""
        names = [n for n in self.addresses if n.startswith("coordinator")]
        return [self.control(name) for name in names]

    def start(
        self,
        name: str,
        number: int,
        first: bool = False,
        is_full: bool = False,
    ) -> None:
        """Start a program with the command of the deploy file.

        :param is_full: whether its files take no bytes, by the limit on the
            size of files that any user may set for a process
        """
        self.addresses[name] = self.address(number)
        role = name.partition("-")[0]
        path = self._write_settings(name, role, first)
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FOXTAILWORKS_SETTINGS": str(path),
        }
        proc = self.running[name] = subprocess.Popen(
            self._commands[role],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            preexec_fn=_refuse_bytes if is_full else None,
        )
        log = self.folder / f"{name}.log"
        threading.Thread(
            target=_copy, args=(proc.stdout, log), daemon=True
        ).start()
        full = ", its disk is full" if is_full else ""
        self._record.add(f"platform: {name} started, first={first}{full}")

    def free_disk(self, name: str) -> None:
        """Let the disk of a program take bytes again."""
        pid = self.running[name].pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
        self._record.add(f"platform: the disk of {name} takes bytes again")

    def disk(self, name: str) -> pathlib.Path:
        """Return the data folder of a coordinator."""
        return self.folder / f"{name}-disk"

    def log(self, name: str) -> str:
        """Return what a program has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def kill(self, name: str) -> None:
        """Kill a program."""
        proc = self.running.pop(name)
        proc.kill()
        proc.wait()
        self._record.add(f"platform: {name} killed")

    async def stop(self, name: str) -> None:
        """Stop a program with SIGTERM and wait for its exit."""
        proc = self.running.pop(name)
        self._record.add(f"platform: {name} gets SIGTERM")
        proc.terminate()
        code = await asyncio.to_thread(proc.wait)
        self._record.add(f"platform: {name} exits with {code}")

    def remove(self, name: str) -> None:
        """Remove a stopped machine for good, also from callers' lists."""
        del self.addresses[name]
        self._record.add(f"platform: {name} is removed")

    def wipe(self, name: str) -> None:
        """Take away the disk of a coordinator that isn't running."""
        shutil.rmtree(self.disk(name), ignore_errors=True)
        self._record.add(f"platform: {name} lost its disk")

    def close(self) -> None:
        """End all programs and remove the folder."""
        for proc in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                proc.kill()
            proc.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _write_settings(
        self, name: str, role: str, first: bool
    ) -> pathlib.Path:
        """Write a settings file in the form that DEPLOY.md shows."""
        ip = self.addresses[name]
        is_edge = role == "edge"
        kind = "front" if is_edge else "core"
        if is_edge:
            listen = {
                "datagramAddr": f"{ip}:{PACKET_PORT}",
                "ready": f"{ip}:{READY_PORT}",
            }
        else:
            listen = {"control": f"{ip}:{CONTROL_PORT}"}
            self.disk(name).mkdir(exist_ok=True)
        # Two edge hosts in the first zone, a coordinator in each; the
        # fourth replaces the third.
        number = int(name.rpartition("-")[2]) - 1
        zone = ZONES[number // 2 if is_edge else min(number, 2)]
        content = {
            "node": f"{kind}-{zone}-{name}",
            "role": role,
            "machineClass": kind,
            "serves": ["front" if is_edge else "control"],
            "ip": ip,
            "zone": zone,
            "region": "dixie-east",
            "zones": dict.fromkeys(ZONES, "dixie-east"),
            "listen": listen,
            "internalPortRange": INTERNAL_PORTS,
            "seeds": [f"{self.address(n)}:{CONTROL_PORT}" for n in (1, 2, 3)],
            "bootstrap": first,
            "toleranceMember": not is_edge,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0 if is_edge else 128,
            },
            "dataDir": None if is_edge else str(self.disk(name)),
            "discovery": "registration",
            "entry": "announce",
            "heartbeatIntervalMs": int(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
            ],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "hash": "mod",
            "encapsulation": "echo",
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path


def _copy(pipe, log: pathlib.Path) -> None:
    """Append what a program writes to a file of the stand-ins."""
    with log.open("ab") as file:
        for line in pipe:
            file.write(line)
            file.flush()


def _refuse_bytes() -> None:
    """Let files of this process take no bytes, until the limit is raised."""
    _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, hard))


def _free_net() -> str:
    """Return the first three bytes of unused loopback addresses."""
    ports = (CONTROL_PORT, READY_PORT, PACKET_PORT, METRICS_PORT)
    numbers = (1, 2, 3, 4, 11, 12, 101)
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for number in numbers:
                for port in (*ports, *INTERNAL_PORTS):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((f"{net}.{number}", port))
        except OSError:
            continue
        return net
    raise NotRunError("no free loopback addresses")


def configuration(version: int, **route) -> dict:
    """Return a valid configuration with one route and one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-desk",
                "host": ROUTE_IP,
                "pathPrefix": f"/{ROUTE_PORT}/",
                "kind": "idempotent",
                "timeoutMs": 1000,
                "targetLatencyMs": 100,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 2,
                **route,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConnections": 2000,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Operator:
    """Sends and reads the configuration at the nodes that serve control."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet, self._record = fleet, record

    async def put(self, content: dict | bytes, within_s: float) -> int:
        """Send a configuration until it is decided; return the status.

        :return: 0 when there was no clear answer within ``within_s``
        """
        body = content if isinstance(content, bytes) else _encode(content)
        deadline = time.monotonic() + within_s
        pause_s = 0.1
        while time.monotonic() < deadline:
            hosts = self._fleet.controls()
            random.shuffle(hosts)
            for host in hosts:
                path = "/v1/configuration"
                status, _ = await call(host, "PUT", path, body)
                self._record.add(f"operator: PUT at {host}: {status}")
                if status == 200 or status in (400, 409, 412, 413, 422):
                    return status
                await asyncio.sleep(pause_s)
                pause_s = min(1.0, 2 * pause_s)
                if time.monotonic() >= deadline:
                    break
        return 0

    async def read(self, within_s: float) -> bytes | None:
        """Read the configuration; None if it doesn't come in time."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for host in self._fleet.controls():
                status, body = await call(host, "GET", "/v1/configuration")
                self._record.add(f"operator: GET at {host}: {status}")
                if status == 200:
                    return body
                await asyncio.sleep(0.2)
        return None


def _encode(content: dict) -> bytes:
    return json.dumps(content, separators=(",", ":")).encode()


class Server:
    """One start of a server: heartbeats over HTTP, flows over UDP."""

    def __init__(
        self, fleet: Fleet, record: Record, name: str, number: int
    ) -> None:
        self._fleet, self._record = fleet, record
        self.name = name
        self.address = f"{fleet.address(number)}:{SERVER_PORT}"
        self.zone = ZONES[number % len(ZONES)]
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.acknowledged = 0
        self._sequence = 0
        self._id = int(name.rpartition("-")[2], 16)
        self._flows: dict[tuple, dict] = {}
        self._transport = None
        self._task = None

    async def start(self, heartbeat_after_s: float = 0.0) -> None:
        """Listen, and announce the server from now on."""
        ip, _, port = self.address.partition(":")
        self._transport = await bind(ip, int(port), self._receive)
        self._record.add(f"server: {self.name} born={self.born} listens")
        self._task = asyncio.ensure_future(self._announce(heartbeat_after_s))

    def holds(self, flow: "Flow") -> bool:
        """Return whether a flow is open here."""
        return any(
            key[1] == flow.sport and state["open"]
            for key, state in self._flows.items()
        )

    def end(self) -> None:
        """End as a process does; its flows are gone."""
        self._record.add(f"server: {self.name} born={self.born} ends")
        self._task.cancel()
        self._transport.close()

    async def heartbeat(self, host: str) -> int:
        """Send one heartbeat; return the status of the response."""
        self._sequence += 1
        body = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrencyLimit": 2,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        path = f"/v1/instances/{self.name}"
        status, _ = await call(host, "PUT", path, _encode(body))
        if status == 200:
            self.acknowledged += 1
        return status

    async def drain(self) -> None:
        """Report that the server leaves, until that is acknowledged."""
        self.state = "draining"
        while True:
            for host in self._fleet.controls():
                status = await self.heartbeat(host)
                self._record.add(f"server: {self.name} draining: {status}")
                if status == 200:
                    return

    async def _announce(self, after_s: float) -> None:
        """Send heartbeats, to one node while it acknowledges them."""
        await asyncio.sleep(after_s)
        hosts = self._fleet.controls()
        random.shuffle(hosts)
        while True:
            status = await self.heartbeat(hosts[0])
            if self.acknowledged < 2 or status != 200:
                self._record.add(
                    f"server: {self.name} born={self.born} heartbeat at"
                    f" {hosts[0]}: {status}"
                )
            if status == 200:
                await asyncio.sleep(HEARTBEAT_S)
            else:
                hosts.append(hosts.pop(0))
                await asyncio.sleep(0.05)

    def _receive(self, data: bytes, _addr) -> None:
        """Handle a datagram: 8 bytes of an id, then a packet."""
        recipient = int.from_bytes(data[:8], "big")
        if recipient not in (0, self._id):
            return
        head = Header.parse(data[8:])
        body = data[8 + _HEADER.size :]
        if head.checksum != head.keyed_sum():
            self._record.add(f"server: {self.name} got a changed packet")
            return
        key = (head.src, head.sport, head.dst, head.dport)
        if head.flags & SYN:
            flow = self._flows.setdefault(
                key, {"seq": random.getrandbits(31), "open": False}
            )
            flow["echo"] = head.echo
            self._reply(head, SYN | ACK, flow["seq"])
            return
        flow = self._flows.get(key)
        if flow is None:
            self._record.add(f"server: {self.name} resets an unknown flow")
            self._reply(head, RST, head.ack)
            return
        if head.flags & (RST | FIN):
            if head.flags & FIN:
                self._reply(head, FIN | ACK, flow["seq"])
            del self._flows[key]
            return
        if not flow["open"]:
            flow["open"] = True
            self._record.add(
                f"server: {self.name} born={self.born} opens the flow from"
                f" port {head.sport}"
            )
        if body:
            request = body.decode()
            if flow.get("last") != request:
                flow["last"] = request
                self._record.add(f"server: {self.name} runs {request!r}")
            self._reply(head, ACK, head.ack, b"done " + body)

    def _reply(
        self, head: Header, flags: int, seq: int, data: bytes = b""
    ) -> None:
        """Answer the client directly, with the echo last received."""
        size = len(data)
        answer = Header(
            size,
            seq & 0xFFFFFFFF,
            (head.seq + 1) & 0xFFFFFFFF,
            head.sport,
            head.dst,
            head.src,
            head.dport,
            head.echo,
            flags,
        )
        self._transport.sendto(answer.encode(data), (head.src, PACKET_PORT))


class Routers:
    """The platform's routers before the edge hosts of the clients' zone."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.ready: list[str] = []
        self._task = None

    async def start(self) -> None:
        """Begin to check readiness twice a second."""
        self._task = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        names = ["edge-1", "edge-2"]
        while True:
            ready = []
            for name in names:
                host = f"{self._fleet.addresses[name]}:{READY_PORT}"
                status, _ = await call(host, "GET", "/v1/ready", b"", 0.4)
                if status == 200:
                    ready.append(name)
            self.ready = ready or names
            await asyncio.sleep(0.5)

    def target(self, key: tuple) -> str:
        """Return the edge host that a flow hashes to."""
        number = zlib.crc32(repr(key).encode())
        return self.ready[number % len(self.ready)]


class Flow:
    """A client's end of a flow that stays open for several requests."""

    def __init__(self, client: "Client", sport: int) -> None:
        self._client = client
        self.sport = sport
        self._seq = random.getrandbits(30)
        self._ack = 0
        self._echo = 0
        self._packets: asyncio.Queue = asyncio.Queue()
        self.opened_at = 0.0
        self.reset_by = ""
        """``system`` or ``server`` once a reset has come."""

    async def open(self) -> bool:
        """Send a SYN and its copies; return whether the flow opened."""
        start = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self._send(SYN, self._seq, copy, echo=0)
            head, _ = await self._next(start + until)
            if self.reset_by:
                return False
            if head is not None and head.flags & SYN:
                self._echo, self._ack = head.echo, head.seq + 1
                self._seq += 1
                self._send(ACK, self._seq, self._ack)
                self.opened_at = time.monotonic()
                return True
        return False

    async def request(self, text: str, timeout_s: float = 3.0) -> str:
        """Send a request; return ``answered``, ``reset`` or ``no answer``."""
        record = self._client.record
        record.add(f"client: port {self.sport} sends {text!r}")
        deadline = time.monotonic() + timeout_s
        wait_s = 0.2
        outcome = "no answer"
        while time.monotonic() < deadline:
            self._send(ACK, self._seq, self._ack, text.encode())
            until = min(deadline, time.monotonic() + wait_s)
            head, body = await self._next(until)
            wait_s = min(1.6, 2 * wait_s)
            if self.reset_by:
                outcome = "reset"
                break
            if head is not None and body == b"done " + text.encode():
                self._seq += len(text)
                self._ack = head.seq + head.size
                self._send(ACK, self._seq, self._ack)
                outcome = "answered"
                break
        by = f" by the {self.reset_by}" if self.reset_by else ""
        record.add(f"client: port {self.sport} {text!r}: {outcome}{by}")
        return outcome

    def close(self) -> None:
        """End the flow in an orderly way."""
        self._send(FIN | ACK, self._seq, self._ack)

    def receive(self, head: Header, body: bytes) -> None:
        """Take a packet of this flow."""
        if head.flags & RST:
            is_keyed = head.checksum == head.keyed_sum()
            self.reset_by = "server" if is_keyed else "system"
            self._client.record.add(
                f"client: port {self.sport} is reset by the {self.reset_by}"
            )
        self._packets.put_nowait((head, body))

    async def _next(self, until: float) -> tuple:
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + until - time.monotonic()
            ):
                return await self._packets.get()
        except TimeoutError:
            return None, b""

    def _send(
        self,
        flags: int,
        seq: int,
        ack: int,
        data: bytes = b"",
        echo: int | None = None,
    ) -> None:
        head = Header(
            len(data),
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            ROUTE_PORT,
            self._client.ip,
            ROUTE_IP,
            self.sport,
            self._echo if echo is None else echo,
            flags,
        )
        self._client.send(self.sport, head.encode(data))


class Client:
    """A client at one address."""

    def __init__(
        self, fleet: Fleet, routers: Routers, record: Record, number: int
    ) -> None:
        self._fleet, self._routers, self.record = fleet, routers, record
        self.ip = fleet.address(number)
        self._port = random.randint(20_000, 40_000)
        self._flows: dict[int, Flow] = {}
        self._transport = None

    async def start(self) -> None:
        """Open the socket at which packets from servers arrive."""
        self._transport = await bind(self.ip, PACKET_PORT, self._receive)

    async def open(self) -> Flow | None:
        """Open a new flow from a new port; None if that fails."""
        self._port += 1
        flow = self._flows[self._port] = Flow(self, self._port)
        return flow if await flow.open() else None

    def send(self, sport: int, packet: bytes) -> None:
        """Send a packet through the routers."""
        key = (self.ip, sport, ROUTE_IP, ROUTE_PORT)
        name = self._routers.target(key)
        target = (self._fleet.addresses[name], PACKET_PORT)
        self._transport.sendto(packet, target)

    def _receive(self, data: bytes, _addr) -> None:
        head = Header.parse(data)
        flow = self._flows.get(head.dport)
        if flow is not None:
            flow.receive(head, data[_HEADER.size :])


@dataclasses.dataclass
class World:
    """All that a case works with."""

    record: Record
    fleet: Fleet
    operator: Operator
    routers: Routers
    client: Client
    trouble: bool


async def start_world(
    folder: pathlib.Path, edges: int = 2, full_disk: str = ""
) -> World:
    """Start three coordinators and edge hosts; nothing is configured.

    :param full_disk: coordinator whose disk is full, if there is trouble
    """
    record = Record(folder)
    fleet = Fleet(record)
    operator = Operator(fleet, record)
    routers = Routers(fleet)
    client = Client(fleet, routers, record, 101)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(record, fleet, operator, routers, client, trouble)
    record.add(f"case: trouble={int(trouble)}")
    for number in (1, 2, 3):
        name = f"coordinator-{number}"
        is_full = trouble and name == full_disk
        fleet.start(name, number, first=True, is_full=is_full)
    for number in range(1, edges + 1):
        fleet.start(f"edge-{number}", 10 + number, first=True)
    await routers.start()
    await client.start()
    return world


async def configure(world: World, version: int = 7) -> None:
    """Have the first configuration acknowledged and in force."""
    status = await world.operator.put(configuration(version), 20)
    if status != 200:
        raise NotRunError("the first configuration wasn't acknowledged")
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000)


async def start_servers(world: World) -> list[Server]:
    """Start the servers of the service; return them once all are known."""
    servers = [
        Server(world.fleet, world.record, f"i-7f3a91c{n}", 50 + n)
        for n in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    await asyncio.sleep(2.0)
    return servers


async def open_at(world: World, server: Server, within_s: float) -> Flow:
    """Open flows until one is open at a server; close the others."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        flow = await world.client.open()
        await asyncio.sleep(0.01)
        if flow is not None and server.holds(flow):
            return flow
        if flow is not None:
            flow.close()
    raise NotRunError(f"no flow opened at {server.name} in time")


def main(folder: pathlib.Path, case, full_disk: str = "") -> int:
    """Run a case; return its exit code.

    SIGTERM ends it and the programs that it started.
    """

    async def run() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        world = await start_world(folder, full_disk=full_disk)
        code = NOT_RUN
        try:
            async with asyncio.timeout(LIMIT_S):
                code = await case(world)
        except (NotRunError, TimeoutError, asyncio.CancelledError) as exc:
            world.record.add(f"case: not run: {exc!r}")
        finally:
            world.fleet.close()
        text = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code]
        world.record.add(f"case: {text}")
        world.record.close()
        return code

    try:
        return asyncio.run(run())
    except (OSError, NotRunError) as exc:
        print(f"case: not run: {exc}")
        return NOT_RUN
