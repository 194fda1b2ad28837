"""Deployment of keepers, entry hosts and stand-ins on loopback."""

import asyncio
from collections import abc
import json
import pathlib
import signal

from foxtailworks.bench import _processes

ZONES = ("zone-a", "zone-b", "zone-c")
CUSTOMER = "balans"
DESK = "slot-desk"
VAULT = "letter-vault"
CALLS = "calls"
SERVICE_KINDS = {DESK: "request", VAULT: "request", CALLS: "flow"}
_OCTETS = {DESK: 4, VAULT: 5, CALLS: 6}
BODY_BYTES = 5000
# The others have declared a killed host dead after this time.
DETECTION_S = 6.0
UPSTREAM_LIFETIME_S = 6


class Deployment:
    """Processes of one run with their addresses and settings.

    :param folder: settings, records, logs and data of the run
    :param second_octet: second octet of the loopback addresses
    :param entries: number of entry hosts
    :param keepers: number of keepers
    :param saves_state: whether entry hosts save state at a planned stop
    """

    def __init__(
        self,
        folder: pathlib.Path,
        processes: _processes.Processes,
        second_octet: int,
        entries: int = 6,
        keepers: int = 3,
        saves_state: bool = True,
    ) -> None:
        self._folder = folder
        self._second_octet = second_octet
        self._entries = entries
        self._keepers = keepers
        self._saves_state = saves_state
        self._start_counts: dict[str, int] = {}
        self._upstreams = 0
        self._edits = 0
        self.processes = processes
        self.version = 0
        for name in ("settings", "records", "logs"):
            (folder / name).mkdir(parents=True, exist_ok=True)

    def _address(self, third_octet: int, last_octet: int, port: int) -> str:
        """Return a loopback address and port of this run."""
        return f"127.{self._second_octet}.{third_octet}.{last_octet}:{port}"

    def service_address(self, name: str) -> str:
        """Return the address of a service."""
        return self._address(3, _OCTETS[name], 5683)

    def record_path(self, name: str) -> str:
        """Return the path of a record file."""
        return str(self._folder / "records" / f"{name}.jsonl")

    @property
    def record_folder(self) -> pathlib.Path:
        """Folder of the records that callers and upstreams write."""
        return self._folder / "records"

    def _write(self, name: str, cfg: abc.Mapping[str, object]) -> str:
        """Write a settings file and return its path."""
        path = self._folder / "settings" / f"{name}.json"
        path.write_text(json.dumps(cfg, indent=1))
        return str(path)

    async def _start(self, name: str, program: str, *args: str) -> None:
        """Start a program and wait until it is ready."""
        self._start_counts[name] = self._start_counts.get(name, 0) + 1
        await self.processes.start(name, program, *args)
        await self.processes.wait_until_ready(name, self._start_counts[name])

    # Processes of the deployment.

    async def start_all(
        self, upstreams: abc.Mapping[str, int], loss: float
    ) -> None:
        """Start all processes but the callers, and put the contract.

        :param upstreams: number of upstreams by service
        :param loss: share of packets that the fabric drops
        """
        await self._start_fabric(loss)
        for position in range(1, self._keepers + 1):
            await self.start_keeper(f"keeper-{position}")
        for position in range(1, self._entries + 1):
            await self.start_entry(f"entry-{position}")
        for name, count in upstreams.items():
            for _ in range(count):
                await self.add_upstream(name)
        await self.put_contract()

    async def _start_fabric(self, loss: float) -> None:
        """Start the stand-in for the fabric."""
        services = [
            f"--service={self.service_address(name)}" for name in SERVICE_KINDS
        ]
        await self._start(
            "fabric",
            "standin",
            "fabric",
            f"--inner={self._address(2, 1, 7600)}",
            f"--loss={loss}",
            *services,
        )

    def _keeper_addresses(self) -> list[str]:
        """Return the listen addresses of all keepers."""
        positions = range(1, self._keepers + 1)
        return [self._address(1, position, 7500) for position in positions]

    async def start_keeper(self, name: str) -> None:
        """Start or restart a keeper."""
        position = int(name.rpartition("-")[2])
        addresses = self._keeper_addresses()
        cfg = {
            "keeper": name,
            "zone": ZONES[(position - 1) % len(ZONES)],
            "listen_address": addresses[position - 1],
            "data_folder": f"../data-{name}",
            "first_keepers": {
                f"keeper-{number}": address
                for number, address in enumerate(addresses, 1)
            },
        }
        path = self._write(name, cfg)
        await self._start(name, "keeper", "--settings", path)

    async def start_entry(self, name: str) -> None:
        """Start or restart an entry host."""
        position = int(name.rpartition("-")[2])
        cfg: dict[str, object] = {
            "host": name,
            "zone": ZONES[(position - 1) % len(ZONES)],
            "region": "region",
            "peer_address": self._address(0, position, 7100),
            "operator_address": self._address(0, position, 7200),
            "fabric_address": self._address(0, position, 7300),
            "announce_address": self._address(0, position, 7400),
            "fabrics": [self._address(2, 1, 7600)],
            "keepers": self._keeper_addresses(),
            "seeds": [self._address(0, seed, 7100) for seed in (1, 2, 3)],
        }
        if self._saves_state:
            cfg["memory_folder"] = f"../memory-{name}"
        path = self._write(name, cfg)
        await self._start(name, "entry", "--settings", path)

    async def add_upstream(self, service: str) -> str:
        """Start another upstream of a service and return its name."""
        self._upstreams += 1
        name = f"{service}-{self._upstreams}"
        position = self._upstreams % 250 + 1
        body = BODY_BYTES if service == VAULT else 0
        entries = [
            f"--entry={self._address(0, entry, 7400)}"
            for entry in range(1, self._entries + 1)
        ]
        await self._start(
            name,
            "standin",
            "upstream",
            name,
            service,
            f"--customer={CUSTOMER}",
            f"--zone={ZONES[self._upstreams % len(ZONES)]}",
            f"--kind={SERVICE_KINDS[service]}",
            f"--address={self._address(_OCTETS[service], position, 9000)}",
            f"--records={self.record_path('runs-' + name)}",
            f"--body-bytes={body}",
            f"--lifetime={UPSTREAM_LIFETIME_S}",
            "--slots=2",
            *entries,
        )
        return name

    # Contracts.

    async def put_contract(self) -> None:
        """Put a new version of the contract, each with another limit."""
        self._edits += 1
        path = self._folder / "settings" / "contract.json"
        path.write_text(json.dumps(self._contract()))
        operator = self._write(
            "operator",
            {
                "keepers": self._keeper_addresses(),
                "entries": [
                    self._address(0, position, 7200)
                    for position in range(1, self._entries + 1)
                ],
            },
        )
        name = f"edit-{self._edits}"
        await self.processes.start(
            name,
            "ctl",
            "--settings",
            operator,
            "contract",
            "put",
            str(path),
            "--base",
            str(self.version),
            "--json",
        )
        await self.processes.wait(name)
        log = self._folder / "logs" / f"{name}.log"
        self.version = int(json.loads(log.read_text())["version"])

    def _contract(self) -> dict[str, object]:
        """Return the contract with the limit of the current edit."""
        limits = {"requests_per_s": 4000 + self._edits, "in_flight": 2000}
        services: list[dict[str, object]] = []
        for name, kind in SERVICE_KINDS.items():
            item: dict[str, object] = {
                "name": name,
                "kind": kind,
                "address": self.service_address(name),
            }
            if kind == "request":
                item["limits"] = limits
            services.append(item)
        return {"customer": CUSTOMER, "services": services}

    # Callers.

    async def start_requests(
        self, service: str, name: str, count: int, rate: float, seed: int
    ) -> None:
        """Start a caller of a request service.

        :param rate: requests a second
        """
        body = BODY_BYTES if service == VAULT else 0
        await self.processes.start(
            name,
            "standin",
            "caller",
            "requests",
            f"--target={self.service_address(service)}",
            f"--service={service}",
            f"--name={name}",
            f"--records={self.record_path('calls-' + name)}",
            f"--count={count}",
            f"--rate={rate}",
            f"--post-share={0.0 if service == VAULT else 0.5}",
            f"--body-bytes={body}",
            f"--seed={seed}",
        )

    async def start_flows(
        self, name: str, count: int, seconds: float, seed: int
    ) -> None:
        """Start a caller of the flow service."""
        await self.processes.start(
            name,
            "standin",
            "caller",
            "flows",
            f"--target={self.service_address(CALLS)}",
            f"--service={CALLS}",
            f"--name={name}",
            f"--records={self.record_path('flows-' + name)}",
            f"--count={count}",
            f"--seconds={seconds}",
            f"--seed={seed}",
        )

    # Faults.

    async def restart(
        self, name: str, signum: signal.Signals, pause_s: float
    ) -> None:
        """End a keeper or an entry host and restart it after a pause."""
        await self.processes.end(name, signum)
        await asyncio.sleep(pause_s)
        if name.startswith("keeper"):
            await self.start_keeper(name)
        else:
            await self.start_entry(name)

    async def freeze(self, name: str, seconds: float) -> None:
        """Suspend a process for some seconds."""
        self.processes.signal_process(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.processes.signal_process(name, signal.SIGCONT)
