"""Simulation of coordinators in virtual time, with network and disk faults."""

import asyncio
import dataclasses
import pathlib
import random

from foxtailworks import coordinator
from foxtailworks.coordinator import _opened
from foxtailworks.discovery.tests import making
from foxtailworks import edge
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import polling
from foxtailworks import steering
from foxtailworks import upkeep

STEP_S = 0.05


def address(number):
    return ids.Address(f"10.0.0.{number}", 7000)


def edge_address(number):
    return ids.Address(f"10.1.{number // 250}.{number % 250}", 7001)


def number_of(program):
    """Return the number of the host that a coordinator runs on."""
    return int(program._cfg.name[1:])


def routes_revision(program):
    """Return the revision that an edge host without routes would get."""
    poll = polling.Poll(ids.HostId("e9"), 0, 0, 0)
    return program.answer_poll(poll, edge_address(9)).revision


def read_table(text):
    """Return a table of one service, with the revision at the text's end.

    Revision 1 for the documents of other tests, which end otherwise.
    """
    last = text.split()[-1]
    revision = int(last) if last.isdigit() else 1
    services = frozenset({making.instance().service})
    return steering.RouteTable(revision, (), 15_000, services)


@dataclasses.dataclass
class SimulatedHost:
    """A host with a simulated disk and, while it runs, a coordinator."""

    number: int
    files: journal.MemoryFiles
    program: coordinator.Coordinator | None = None
    is_frozen: bool = False
    is_first_start: bool = True


class FakeEndpoint:
    """Endpoint that sends through the simulated network."""

    def __init__(self, world, src):
        self._world, self._src = world, src

    def send(self, msg, target):
        self._world.transmit(self._src, target, msg)

    def encode(self, msg):
        return (msg,)

    def send_encoded(self, messages, target):
        for msg in messages:
            self.send(msg, target)


class World:
    """All simulated hosts, the network between them, and the clock.

    :param names_all_services: whether instances count although no document
        names their service
    """

    def __init__(
        self,
        count,
        seeds=3,
        seed=1,
        folder="absent",
        lease_s=3.0,
        shares_load=False,
        names_all_services=True,
    ):
        self.shares_load = shares_load
        self.names_all_services = names_all_services
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss_rate = 0.0
        self.lease_s = lease_s
        self.blocked = set()
        self.folder = pathlib.Path(folder)
        self.seeds = tuple(address(n) for n in range(1, seeds + 1))
        self.hosts = {}
        self.edges = {}
        self._in_transit = []
        for number in range(1, count + 1):
            self.add(number)

    # Starts, stops and faults of hosts.

    def add(self, number, is_first_start=True):
        host = SimulatedHost(
            number, journal.MemoryFiles(), is_first_start=is_first_start
        )
        if self.folder.is_dir():
            (self.folder / f"k{number}").mkdir()
        self.hosts[address(number)] = host
        self.start(number)

    def start(self, number):
        host = self.hosts[address(number)]
        cfg = coordinator.Settings(
            f"k{number}",
            ids.ZoneId(f"z{number}"),
            address(number),
            self.folder / f"k{number}",
            self.seeds,
            host.is_first_start,
            self.lease_s,
            upkeep.Policy(),
            self.shares_load,
        )
        host.program = coordinator.Coordinator(
            cfg,
            read_table,
            lambda: self.now,
            random.Random(self.rng.random()),
            lambda: self.open_files(host),
        )
        if self.names_all_services:
            admission = host.program.registry.admission
            admission.names_service = lambda service: True
        host.program.attach(FakeEndpoint(self, address(number)))
        host.is_frozen = host.is_first_start = False

    def open_files(self, host):
        """Return the files of a host's journal."""
        return host.files

    def stop(self, number):
        host = self.hosts[address(number)]
        if host.program is not None and host.program.documents is not None:
            host.program.documents.abort_waiting()
        host.program = None

    def leave(self, number):
        """Stop a coordinator as planned, with the time that it asks for."""
        self.hosts[address(number)].program.leave()
        self.run(_opened.LEAVE_S)
        self.stop(number)

    def power_off(self, number):
        self.stop(number)
        self.hosts[address(number)].files.crash(self.rng)

    def wipe(self, number):
        self.stop(number)
        self.hosts[address(number)].files = journal.MemoryFiles()

    def partition(self, group, others):
        pairs = {(address(a), address(b)) for a in group for b in others}
        self.blocked |= pairs | {(b, a) for a, b in pairs}

    def heal(self):
        self.blocked = set()

    def transmit(self, src, dst, msg):
        if (src, dst) in self.blocked or self.rng.random() < self.loss_rate:
            return
        self._in_transit.append((src, dst, msg))

    def add_edge(self, number):
        """Add an edge host, which starts with the seeds alone."""
        cfg = edge.Settings(
            ids.HostId(f"e{number}"),
            ids.ZoneId("z1"),
            edge_address(number),
            self.seeds,
            shares_load=self.shares_load,
        )
        self.edges[edge_address(number)] = host = edge.Host(
            cfg,
            lambda: self.now,
            random.Random(self.rng.random()),
            lambda due: None,
        )
        host.attach(FakeEndpoint(self, edge_address(number)))
        return host

    # Virtual time.

    def running(self):
        return [
            host
            for host in self.hosts.values()
            if host.program is not None and not host.is_frozen
        ]

    def step(self):
        self.now += STEP_S
        for host in self.running():
            host.program.on_tick(self.now)
        for edge_host in self.edges.values():
            edge_host.on_tick(self.now)
        # Answers to messages are delivered within the same step, up to four
        # deliveries in a row.
        for _ in range(4):
            due, self._in_transit = self._in_transit, []
            for src, dst, msg in due:
                host = self.hosts.get(dst)
                if host in self.running():
                    host.program.receive(msg, src)
                elif dst in self.edges:
                    self.edges[dst].receive(msg, src)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def leader(self):
        """Return the running leader of the highest term."""
        leaders = [
            host.program
            for host in self.running()
            if host.program.node is not None
            and host.program.node.replica.role.value == "leader"
        ]
        return max(
            leaders, key=lambda item: item.node.replica.term, default=None
        )

    async def run_coroutine(self, make_coroutine, seconds=3.0):
        """Run a coroutine in virtual time.

        :param seconds: timeout in virtual seconds
        :return: result, or exception that it raised; True for a falsy result;
            None if it doesn't complete in time
        """
        task = asyncio.ensure_future(make_coroutine())
        for _ in range(round(seconds / STEP_S)):
            await asyncio.sleep(0)
            if task.done():
                break
            self.step()
        await asyncio.sleep(0)
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return None
        return task.exception() or task.result() or True
