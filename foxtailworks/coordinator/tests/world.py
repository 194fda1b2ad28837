"""Coordinators in virtual time: datagrams, disks and their failures."""

import asyncio
import dataclasses
import pathlib
import random

from foxtailworks import coordinator
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import steering
from foxtailworks import upkeep

STEP_S = 0.05
DELAY_S = 0.01


def address(number):
    return ids.Address(f"10.0.0.{number}", 7000)


@dataclasses.dataclass
class Place:
    """One host with a disk."""

    number: int
    files: journal.MemoryFiles
    program: coordinator.Coordinator | None = None
    is_frozen: bool = False
    first: bool = True


class Port:
    """Stands in for an endpoint."""

    def __init__(self, world, src):
        self._world, self._src = world, src

    def send(self, msg, target):
        self._world.carry(self._src, target, msg)


class World:
    """All hosts, the network between them, and time."""

    def __init__(self, count, seeds=3, seed=1, folder="absent"):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.cuts = set()
        self.folder = pathlib.Path(folder)
        self.seeds = tuple(address(n) for n in range(1, seeds + 1))
        self.hosts = {}
        self._carried = []
        for number in range(1, count + 1):
            self.add(number)

    # What happens to hosts.

    def add(self, number, first=True):
        place = Place(number, journal.MemoryFiles(), first=first)
        if self.folder.is_dir():
            (self.folder / f"k{number}").mkdir()
        self.hosts[address(number)] = place
        self.start(number)

    def start(self, number):
        place = self.hosts[address(number)]
        cfg = coordinator.Settings(
            f"k{number}",
            ids.ZoneId(f"z{number}"),
            address(number),
            self.folder / f"k{number}",
            self.seeds,
            place.first,
            3.0,
            upkeep.Policy(),
        )
        place.program = coordinator.Coordinator(
            cfg,
            lambda _text: steering.RouteTable(1, (), 15_000),
            lambda: self.now,
            random.Random(self.rng.random()),
            lambda: place.files,
        )
        place.program.attach(Port(self, address(number)))
        place.is_frozen = place.first = False

    def stop(self, number):
        place = self.hosts[address(number)]
        if place.program is not None and place.program.documents is not None:
            place.program.documents.abort_waiting()
        place.program = None

    def power_off(self, number):
        self.stop(number)
        self.hosts[address(number)].files.crash(self.rng)

    def wipe(self, number):
        self.stop(number)
        self.hosts[address(number)].files = journal.MemoryFiles()

    def cut(self, ones, others):
        pairs = {(address(a), address(b)) for a in ones for b in others}
        self.cuts |= pairs | {(b, a) for a, b in pairs}

    def heal(self):
        self.cuts = set()

    def carry(self, src, dst, msg):
        if (src, dst) in self.cuts or self.rng.random() < self.loss:
            return
        self._carried.append((self.now + DELAY_S, src, dst, msg))

    # Time.

    def running(self):
        return [
            place
            for place in self.hosts.values()
            if place.program is not None and not place.is_frozen
        ]

    def step(self):
        self.now += STEP_S
        for place in self.running():
            place.program.on_tick(self.now)
        # Answers to what is delivered now go out within the same step.
        for _ in range(4):
            due, self._carried = self._carried, []
            for _, src, dst, msg in due:
                place = self.hosts.get(dst)
                if place in self.running():
                    place.program.receive(msg, src)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def leader(self):
        """Return the running leader of the highest term."""
        found = [
            place.program
            for place in self.running()
            if place.program.node is not None
            and place.program.node.replica.role.value == "leader"
        ]
        return max(
            found, key=lambda item: item.node.replica.term, default=None
        )

    async def ask(self, make, seconds=3.0):
        """Run a question while virtual time passes; None if undecided."""
        task = asyncio.ensure_future(make())
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
