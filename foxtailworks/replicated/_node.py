"""A replicated state machine: agreement, disk and machine together."""

import dataclasses
import functools
import random
import typing

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal

COMPACT_ENTRIES = 512
"""A snapshot is taken after so many entries."""
COMPACT_BYTES = 4 << 20
"""A snapshot is taken when the log file is larger."""
KEEP_ENTRIES = 128
"""Entries before a snapshot that stay for slow followers."""


class Machine(typing.Protocol):
    """A deterministic state machine; the same on every replica."""

    @property
    def index(self) -> int:
        """Last log entry that was applied."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply the command at ``index`` and return its outcome."""

    def skip(self, index: int) -> None:
        """Pass over an entry that isn't a command."""

    def snapshot(self) -> bytes:
        """Return the whole state."""


class Restore(typing.Protocol):
    """Makes a machine from a snapshot; an empty one from no data."""

    def __call__(self, index: int, data: bytes | None) -> Machine:
        """Return the machine as of the entry at ``index``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """A proposed command was committed and applied."""

    index: int
    """As given by ``propose_data``."""
    outcome: object
    """What the machine returned for the command."""


@dataclasses.dataclass(frozen=True, slots=True)
class Displaced:
    """Another entry stands where a proposed command was."""

    index: int
    """As given by ``propose_data``."""


Event = (
    agreement.Send
    | agreement.ReadReady
    | agreement.ReadAborted
    | agreement.RoleChanged
    | Decided
    | Displaced
)


class Node:
    """One replica; its only input and output besides events is the disk.

    After each call the caller takes the events, and calls :meth:`flush`
    before it waits again: all writes since then share one sync.

    :param disk: taken over
    :param restore: makes the state machine
    """

    def __init__(
        self,
        disk: journal.Journal,
        restore: Restore,
        rng: random.Random,
        now: float,
        timing: agreement.Timing | None = None,
        compact_entries: int = COMPACT_ENTRIES,
    ) -> None:
        self.disk = disk
        self._make = restore
        self.machine = restore(0, None)
        self._compact_entries = compact_entries
        self._snapshot_index = 0
        self._writes: list[journal.Write] = []
        self._pending: dict[int, int] = {}
        self._events: list[Event] = []
        restored = disk.restored
        if restored.snapshot is not None:
            self._load(restored.snapshot)
        self.replica = agreement.Replica(
            disk.keeper, restored, rng, now, timing
        )

    @property
    def needs_flush(self) -> bool:
        """Whether writes wait for :meth:`flush`."""
        return bool(self._writes)

    def take_events(self) -> list[Event]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    def bootstrap(
        self, group: str, membership: agreement.Membership, now: float
    ) -> None:
        """Create the group."""
        self._run(self.replica.bootstrap(group, membership, now))

    def on_message(
        self, src: ids.KeeperId, msg: agreement.Message, now: float
    ) -> None:
        """Take a message of another keeper."""
        self._run(self.replica.on_message(src, msg, now))

    def on_tick(self, now: float) -> None:
        """Let time pass."""
        self._run(self.replica.on_tick(now))

    def propose_data(self, data: bytes, now: float) -> int:
        """Propose a command; ``Decided`` or ``Displaced`` may follow.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        index, actions = self.replica.propose((data,), now)
        self._pending[index] = self.replica.term
        self._run(actions)
        return index

    def propose_membership(
        self, membership: agreement.Membership, now: float
    ) -> int:
        """Propose a change of one keeper; events as in :meth:`propose_data`.

        :raises FoxtailError: as ``Replica.propose_membership``
        """
        index, actions = self.replica.propose_membership(membership, now)
        self._pending[index] = self.replica.term
        self._run(actions)
        return index

    def read(self, now: float) -> int:
        """Ask for a read that can't be stale.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        number, actions = self.replica.read(now)
        self._run(actions)
        return number

    def transfer_leadership(self, now: float) -> None:
        """Hand the lead over, if this keeper leads."""
        self._run(self.replica.transfer_leadership(now))

    def flush(self, now: float) -> None:
        """Write and sync, then do what waited for it.

        :raises FoxtailError: ``JOURNAL_UNWRITABLE``; the node is done
        """
        while self._writes:
            writes, self._writes = self._writes, []
            self.disk.write(writes)
            self._run(self.replica.on_persisted(writes[-1].number, now))

    def _run(self, actions: tuple[agreement.Action, ...]) -> None:
        """Carry out actions in their order."""
        for item in actions:
            _carry_out(item, self)
        self._compact_if_due()

    def keep_write(self, write: journal.Write) -> None:
        """Keep a write for the next flush."""
        self._writes.append(write)

    def keep_event(self, event: Event) -> None:
        """Keep an event for the caller."""
        self._events.append(event)

    def apply(self, entries: tuple[agreement.Entry, ...]) -> None:
        """Give committed entries to the machine."""
        for item in entries:
            outcome = self._apply_one(item)
            term = self._pending.pop(item.index, None)
            if term == item.term:
                self.keep_event(Decided(item.index, outcome))
            elif term is not None:
                self.keep_event(Displaced(item.index))

    def restore(self, snapshot: agreement.Snapshot) -> None:
        """Take over a snapshot that the leader sent."""
        self._load(snapshot)
        for index in [key for key in self._pending if key <= snapshot.index]:
            del self._pending[index]
            self.keep_event(Displaced(index))

    def _apply_one(self, item: agreement.Entry) -> object:
        """Apply one entry."""
        if item.kind is agreement.EntryKind.COMMAND:
            return self.machine.apply(item.index, item.data)
        self.machine.skip(item.index)
        return None

    def _load(self, snapshot: agreement.Snapshot) -> None:
        """Set the machine to a snapshot."""
        self._snapshot_index = snapshot.index
        self.machine = self._make(snapshot.index, snapshot.data)

    def _compact_if_due(self) -> None:
        """Replace old entries by a snapshot."""
        index = self.machine.index
        grown = index - self._snapshot_index
        large = self.disk.log_bytes > COMPACT_BYTES and grown > KEEP_ENTRIES
        if grown < self._compact_entries and not large:
            return
        self._snapshot_index = index
        keep = min(KEEP_ENTRIES, self._compact_entries // 4)
        data = self.machine.snapshot()
        for item in self.replica.compact(index, data, keep):
            _carry_out(item, self)


@functools.singledispatch
def _carry_out(action: object, node: Node) -> None:
    """Do what the agreement asks for."""
    raise errors.FoxtailError(errors.Code.INTERNAL, "unknown action")


@_carry_out.register
def _(action: agreement.Persist, node: Node) -> None:
    node.keep_write(action)


@_carry_out.register
def _(action: agreement.PersistSnapshot, node: Node) -> None:
    node.keep_write(action)


@_carry_out.register
def _(action: agreement.Apply, node: Node) -> None:
    node.apply(action.entries)


@_carry_out.register
def _(action: agreement.Restore, node: Node) -> None:
    node.restore(action.snapshot)


@_carry_out.register(agreement.Send)
@_carry_out.register(agreement.ReadReady)
@_carry_out.register(agreement.ReadAborted)
@_carry_out.register(agreement.RoleChanged)
def _(action: Event, node: Node) -> None:
    node.keep_event(action)
