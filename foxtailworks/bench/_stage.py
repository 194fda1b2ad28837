"""A whole deployment on loopback: keepers, entry hosts, stand-ins."""

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
KINDS = {DESK: "request", VAULT: "request", CALLS: "flow"}
_THIRD = {DESK: 4, VAULT: 5, CALLS: 6}
BODY_BYTES = 5000
# A host that was killed is held dead by then.
DETECT_S = 6.0
UPSTREAM_LIFETIME_S = 6


class Stage:
    """Knows the addresses and settings of every part.

    :param folder: settings, records, logs and data of the run
    :param net: second number of the loopback addresses
    """

    def __init__(
        self,
        folder: pathlib.Path,
        processes: _processes.Processes,
        net: int,
        entries: int = 6,
        keepers: int = 3,
        has_memory: bool = True,
    ) -> None:
        self._folder = folder
        self._net = net
        self._entries = entries
        self._keepers = keepers
        self._has_memory = has_memory
        self._starts: dict[str, int] = {}
        self._upstreams = 0
        self._edits = 0
        self.processes = processes
        self.version = 0
        for name in ("settings", "records", "logs"):
            (folder / name).mkdir(parents=True, exist_ok=True)

    def _at(self, third: int, place: int, port: int) -> str:
        """Return an address of this run."""
        return f"127.{self._net}.{third}.{place}:{port}"

    def service(self, name: str) -> str:
        """Return the address of a service."""
        return self._at(3, _THIRD[name], 5683)

    def records(self, name: str) -> str:
        """Return a file of records."""
        return str(self._folder / "records" / f"{name}.jsonl")

    @property
    def record_folder(self) -> pathlib.Path:
        """Folder of what callers and upstreams wrote down."""
        return self._folder / "records"

    def _write(self, name: str, cfg: abc.Mapping[str, object]) -> str:
        """Write a settings file and return its path."""
        path = self._folder / "settings" / f"{name}.json"
        path.write_text(json.dumps(cfg, indent=1))
        return str(path)

    async def _start(self, name: str, program: str, *args: str) -> None:
        """Start a program and wait until it is ready."""
        self._starts[name] = self._starts.get(name, 0) + 1
        await self.processes.start(name, program, *args)
        await self.processes.ready(name, self._starts[name])

    # Parts.

    async def start_all(
        self, upstreams: abc.Mapping[str, int], loss: float
    ) -> None:
        """Start everything but the callers, and put the contract."""
        await self._start_fabric(loss)
        for place in range(1, self._keepers + 1):
            await self.start_keeper(f"keeper-{place}")
        for place in range(1, self._entries + 1):
            await self.start_entry(f"entry-{place}")
        for name, count in upstreams.items():
            for _ in range(count):
                await self.add_upstream(name)
        await self.put_contract()

    async def _start_fabric(self, loss: float) -> None:
        """Start the fabric."""
        services = [f"--service={self.service(name)}" for name in KINDS]
        await self._start(
            "fabric",
            "standin",
            "fabric",
            f"--inner={self._at(2, 1, 7600)}",
            f"--loss={loss}",
            *services,
        )

    def _keeper_addresses(self) -> list[str]:
        """Return where the keepers listen."""
        places = range(1, self._keepers + 1)
        return [self._at(1, place, 7500) for place in places]

    async def start_keeper(self, name: str) -> None:
        """Start a keeper, anew or again."""
        place = int(name.rpartition("-")[2])
        addresses = self._keeper_addresses()
        cfg = {
            "keeper": name,
            "zone": ZONES[(place - 1) % len(ZONES)],
            "listen_address": addresses[place - 1],
            "data_folder": f"../data-{name}",
            "first_keepers": {
                f"keeper-{number}": address
                for number, address in enumerate(addresses, 1)
            },
        }
        path = self._write(name, cfg)
        await self._start(name, "keeper", "--settings", path)

    async def start_entry(self, name: str) -> None:
        """Start an entry host, anew or again."""
        place = int(name.rpartition("-")[2])
        cfg: dict[str, object] = {
            "host": name,
            "zone": ZONES[(place - 1) % len(ZONES)],
            "region": "region",
            "peer_address": self._at(0, place, 7100),
            "operator_address": self._at(0, place, 7200),
            "fabric_address": self._at(0, place, 7300),
            "announce_address": self._at(0, place, 7400),
            "fabrics": [self._at(2, 1, 7600)],
            "keepers": self._keeper_addresses(),
            "seeds": [self._at(0, seed, 7100) for seed in (1, 2, 3)],
        }
        if self._has_memory:
            cfg["memory_folder"] = f"../memory-{name}"
        path = self._write(name, cfg)
        await self._start(name, "entry", "--settings", path)

    async def add_upstream(self, service: str) -> str:
        """Start another upstream of a service; return its name."""
        self._upstreams += 1
        name = f"{service}-{self._upstreams}"
        place = self._upstreams % 250 + 1
        body = BODY_BYTES if service == VAULT else 0
        entries = [
            f"--entry={self._at(0, entry, 7400)}"
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
            f"--kind={KINDS[service]}",
            f"--address={self._at(_THIRD[service], place, 9000)}",
            f"--records={self.records('runs-' + name)}",
            f"--body-bytes={body}",
            f"--lifetime={UPSTREAM_LIFETIME_S}",
            "--slots=2",
            *entries,
        )
        return name

    # Contracts.

    async def put_contract(self) -> None:
        """Put the contract anew, with another limit each time."""
        self._edits += 1
        path = self._folder / "settings" / "contract.json"
        path.write_text(json.dumps(self._contract()))
        operator = self._write(
            "operator",
            {
                "keepers": self._keeper_addresses(),
                "entries": [
                    self._at(0, place, 7200)
                    for place in range(1, self._entries + 1)
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
        """Return the contract of the run."""
        limits = {"requests_per_s": 4000 + self._edits, "in_flight": 2000}
        services: list[dict[str, object]] = []
        for name, kind in KINDS.items():
            item: dict[str, object] = {
                "name": name,
                "kind": kind,
                "address": self.service(name),
            }
            if kind == "request":
                item["limits"] = limits
            services.append(item)
        return {"customer": CUSTOMER, "services": services}

    # Callers.

    async def start_requests(
        self, service: str, name: str, count: int, rate: float, seed: int
    ) -> None:
        """Start a caller of a request service."""
        body = BODY_BYTES if service == VAULT else 0
        await self.processes.start(
            name,
            "standin",
            "caller",
            "requests",
            f"--target={self.service(service)}",
            f"--service={service}",
            f"--name={name}",
            f"--records={self.records('calls-' + name)}",
            f"--count={count}",
            f"--rate={rate}",
            f"--post-share={0.0 if service == VAULT else 0.5}",
            f"--body-bytes={body}",
            f"--seed={seed}",
        )

    async def start_flows(
        self, name: str, count: int, seconds: float, seed: int
    ) -> None:
        """Start a caller of flows."""
        await self.processes.start(
            name,
            "standin",
            "caller",
            "flows",
            f"--target={self.service(CALLS)}",
            f"--service={CALLS}",
            f"--name={name}",
            f"--records={self.records('flows-' + name)}",
            f"--count={count}",
            f"--seconds={seconds}",
            f"--seed={seed}",
        )

    # Faults.

    async def restart(
        self, name: str, number: signal.Signals, pause_s: float
    ) -> None:
        """End a keeper or an entry host and start it again."""
        await self.processes.end(name, number)
        await asyncio.sleep(pause_s)
        if name.startswith("keeper"):
            await self.start_keeper(name)
        else:
            await self.start_entry(name)

    async def freeze(self, name: str, seconds: float) -> None:
        """Stop a process and let it go on."""
        self.processes.tell(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.processes.tell(name, signal.SIGCONT)
