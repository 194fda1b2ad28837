"""Contract log: consensus of three keepers, a journal, the catalogue.

Shows: an accepted edit survives the leader's crash; a resent edit has the
same outcome and a stale one is rejected; the crashed keeper is synchronized;
all keepers crash at once, lose what their disks hadn't synced, and still
have each accepted edit.
"""

from collections import abc
import random

from foxtailworks import agreement
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal

TICK_S = 0.02
NAMES = ("k1", "k2", "k3")
CUSTOMER = ids.CustomerId("balans")
DOCUMENT = (
    '{customer: "balans", services: [{name: "check-ins", kind: "request",'
    ' address: "10.0.0.1:5683"}]}'
)


def first_members() -> agreement.Membership:
    """Return the voters that bootstrap the group."""
    return agreement.Membership(
        tuple(
            agreement.Member(
                ids.KeeperId(name), name, ids.Address("10.0.0.1", port), True
            )
            for port, name in enumerate(NAMES, start=7001)
        )
    )


class Keeper:
    """A running keeper: its journal, its replica and its catalogue."""

    def __init__(
        self,
        name: str,
        files: journal.MemoryFiles,
        rng: random.Random,
        now: float,
    ) -> None:
        self.files = files
        self.disk = journal.Journal(files, lambda: ids.KeeperId(name))
        self.replica = agreement.Replica(
            self.disk.keeper, self.disk.restored, rng, now
        )
        self.catalogue = contracts.Catalogue()

    def apply(self, entries: tuple[agreement.Entry, ...]) -> None:
        """Apply committed entries to the state machine."""
        for entry in entries:
            if entry.kind is agreement.EntryKind.COMMAND:
                self.catalogue.apply(entry.index, entry.data)
            else:
                self.catalogue.skip(entry.index)


class Adapter:
    """Executes the actions of the running keepers in virtual time."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.keepers: dict[ids.KeeperId, Keeper] = {}
        self._sent: list[tuple[ids.KeeperId, agreement.Send]] = []
        for name in NAMES:
            self.start(name, journal.MemoryFiles())
        first_keeper = self.keepers[ids.KeeperId(NAMES[0])]
        actions = first_keeper.replica.bootstrap(
            "group-1", first_members(), self.now
        )
        self.perform(first_keeper, actions)

    def start(self, name: str, files: journal.MemoryFiles) -> None:
        """Start a keeper on the files of its disk."""
        rng = random.Random(self.rng.random())
        keeper = Keeper(name, files, rng, self.now)
        self.keepers[keeper.replica.keeper] = keeper

    def crash(self, name: ids.KeeperId) -> journal.MemoryFiles:
        """Stop a keeper; its disk may lose unsynced writes."""
        files = self.keepers.pop(name).files
        files.crash(self.rng)
        return files

    def perform(
        self, keeper: Keeper, actions: tuple[agreement.Action, ...]
    ) -> None:
        """Execute a keeper's actions in order."""
        pending = list(actions)
        while pending:
            match pending.pop(0):
                case agreement.Send() as send:
                    self._sent.append((keeper.replica.keeper, send))
                case agreement.Apply(entries):
                    keeper.apply(entries)
                case (
                    agreement.Persist() | agreement.PersistSnapshot()
                ) as write:
                    keeper.disk.write([write])
                    pending += keeper.replica.on_persisted(
                        write.number, self.now
                    )

    def run(self, seconds: float) -> None:
        """Advance the virtual time; messages take one tick."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            arrived, self._sent = self._sent, []
            for src, send in arrived:
                keeper = self.keepers.get(send.to)
                if keeper is not None:
                    self.perform(
                        keeper,
                        keeper.replica.on_message(src, send.msg, self.now),
                    )
            for keeper in self.keepers.values():
                self.perform(keeper, keeper.replica.on_tick(self.now))

    def leader(self) -> Keeper:
        """Return the leader of the newest term."""
        leaders = [
            keeper
            for keeper in self.keepers.values()
            if keeper.replica.role is agreement.Role.LEADER
        ]
        return max(leaders, key=lambda keeper: keeper.replica.term)

    def edit(self, edit_id: str, base: int) -> contracts.Outcome:
        """Propose an edit and wait for its outcome."""
        edit = contracts.Edit(
            ids.EditId(edit_id), CUSTOMER, ids.Version(base), DOCUMENT
        )
        keeper = self.leader()
        data = contracts.encode_command(edit)
        _, actions = keeper.replica.propose((data,), self.now)
        self.perform(keeper, actions)
        self.run(1.0)
        outcome = keeper.catalogue.outcome(edit.edit_id)
        assert outcome is not None
        return outcome


def run(seed: int) -> abc.Iterator[str]:
    """Run the scenario and yield a line for each result."""
    adapter = Adapter(seed)
    adapter.run(3.0)
    first = adapter.edit("edit-1", 0)
    assert first.accepted
    yield f"edit-1 is accepted as version {first.version}"

    crashed = adapter.leader().replica.keeper
    files = adapter.crash(crashed)
    adapter.run(5.0)
    assert adapter.leader().replica.keeper != crashed
    assert adapter.edit("edit-1", 0) == first
    yield "the leader crashed; the new leader has edit-1's outcome"

    second = adapter.edit("edit-2", first.version)
    stale = adapter.edit("edit-3", first.version)
    assert second.accepted and second.version > first.version
    assert stale.code == errors.Code.VERSION_CONFLICT
    yield f"edit-2 is version {second.version}; edit-3 has an old base"

    adapter.start(crashed, files)
    adapter.run(3.0)
    states = {k.catalogue.snapshot() for k in adapter.keepers.values()}
    assert len(adapter.keepers) == len(NAMES) and len(states) == 1
    yield "the crashed keeper is back; all catalogues are equal"

    disks = {name: adapter.crash(name) for name in list(adapter.keepers)}
    for name, files in disks.items():
        adapter.start(name, files)
    adapter.run(3.0)
    for keeper in adapter.keepers.values():
        assert keeper.catalogue.outcome(first.edit_id) == first
        assert keeper.catalogue.outcome(second.edit_id) == second
    yield "all crashed at once; edit-1 and edit-2 came back from the disks"


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
