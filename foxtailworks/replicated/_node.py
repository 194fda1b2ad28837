"""One replica: runs consensus, its journal and a state machine."""

import dataclasses
import functools
import random
import typing

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal

COMPACT_ENTRIES = 512
"""Default number of applied entries after which a snapshot is taken."""
COMPACT_BYTES = 4 << 20
"""Size of the log file, in bytes, above which a snapshot is taken."""
KEEP_ENTRIES = 128
"""Entries before a snapshot that stay in the log for slow followers."""


class Machine(typing.Protocol):
    """Interface of a deterministic state machine."""

    @property
    def index(self) -> int:
        """Index of the last log entry that was applied or skipped."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply the command at ``index`` and return its outcome."""

    def skip(self, index: int) -> None:
        """Advance ``index`` past an entry that isn't a command."""

    def snapshot(self) -> bytes:
        """Return the encoded state as of ``index``."""


class MachineFactory(typing.Protocol):
    """Creates a machine from a snapshot, or an empty one."""

    def __call__(self, index: int, data: bytes | None) -> Machine:
        """Return the machine as of the entry at ``index``.

        :param data: as returned by ``Machine.snapshot``; None for an empty
            machine
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """Notice that a proposed entry was committed and applied."""

    index: int
    """Index returned for the proposal."""
    outcome: object
    """Result of ``Machine.apply``; None for a change of the membership."""


@dataclasses.dataclass(frozen=True, slots=True)
class Displaced:
    """Notice that the outcome of a proposed entry isn't available.

    The entry was overwritten, or a snapshot from the leader covers its index.
    In the second case it may have been committed.
    """

    index: int
    """Index returned for the proposal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Notice that this replica can't apply its log any further.

    It neither applies, votes nor answers from here on.  What it has stored
    stays, so that a release that reads the command goes on from there.
    """

    error: errors.FoxtailError
    """``COMMAND_UNREADABLE``, with the index of the entry."""


Event = (
    agreement.Send
    | agreement.ReadReady
    | agreement.ReadAborted
    | agreement.RoleChanged
    | Decided
    | Displaced
    | Stopped
)


class Node:
    """One replica; apart from events it performs I/O only on its disk.

    After each call the caller takes the events.  Before it waits for input
    again it calls :meth:`flush`: all writes since the last flush share one
    sync.

    :param disk: journal, which the node owns from now on; closed if its
        content can't be used
    :param make_machine: creates the state machine, also from a snapshot
    :param now: monotonic seconds, as in all methods
    :param compact_entries: applied entries after which a snapshot is taken
    """

    def __init__(
        self,
        disk: journal.Journal,
        make_machine: MachineFactory,
        rng: random.Random,
        now: float,
        timing: agreement.Timing | None = None,
        compact_entries: int = COMPACT_ENTRIES,
    ) -> None:
        self.disk = disk
        self._make_machine = make_machine
        self.machine = make_machine(0, None)
        self._compact_entries = compact_entries
        self._snapshot_index = 0
        self._writes: list[journal.Write] = []
        self._proposed_terms: dict[int, int] = {}
        self._events: list[Event] = []
        self._is_stopped = False
        restored = disk.restored
        with journal.closed_on_error(disk):
            if restored.snapshot is not None:
                self._load(restored.snapshot)
            self.replica = agreement.Replica(
                disk.keeper, restored, rng, now, timing
            )

    @property
    def needs_flush(self) -> bool:
        """Whether writes are queued for :meth:`flush`."""
        return bool(self._writes)

    def take_events(self) -> list[Event]:
        """Return the events queued since the last call."""
        events, self._events = self._events, []
        return events

    def bootstrap(
        self, group: str, membership: agreement.Membership, now: float
    ) -> None:
        """Create the group; valid only on a replica that belongs to none."""
        self._carry_out_all(self.replica.bootstrap(group, membership, now))

    def on_message(
        self, src: ids.KeeperId, msg: agreement.Message, now: float
    ) -> None:
        """Handle a message from another keeper."""
        self._carry_out_all(self.replica.on_message(src, msg, now))

    def on_tick(self, now: float) -> None:
        """Handle the timeouts that are due."""
        self._carry_out_all(self.replica.on_tick(now))

    def propose_data(self, data: bytes, now: float) -> int:
        """Propose a command; ``Decided`` or ``Displaced`` may follow.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        index, actions = self.replica.propose((data,), now)
        self._proposed_terms[index] = self.replica.term
        self._carry_out_all(actions)
        return index

    def propose_membership(
        self, membership: agreement.Membership, now: float
    ) -> int:
        """Propose a change of one keeper; events as in :meth:`propose_data`.

        :raises FoxtailError: as ``Replica.propose_membership``
        """
        index, actions = self.replica.propose_membership(membership, now)
        self._proposed_terms[index] = self.replica.term
        self._carry_out_all(actions)
        return index

    def read(self, now: float) -> int:
        """Start a linearizable read and return its number.

        ``ReadReady`` or ``ReadAborted`` follows.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        number, actions = self.replica.read(now)
        self._carry_out_all(actions)
        return number

    def transfer_leadership(self, now: float) -> None:
        """Transfer the leadership to another voter, if this keeper leads."""
        self._carry_out_all(self.replica.transfer_leadership(now))

    def flush(self, now: float) -> None:
        """Write and sync, then carry out the actions that depend on it.

        :raises FoxtailError: ``JOURNAL_UNWRITABLE``; the node must not be
            used any more
        """
        while self._writes:
            writes, self._writes = self._writes, []
            self.disk.write(writes)
            self._carry_out_all(
                self.replica.on_persisted(writes[-1].number, now)
            )

    def _carry_out_all(self, actions: tuple[agreement.Action, ...]) -> None:
        """Carry out actions in order, then compact the log if needed."""
        for item in actions:
            if self._is_stopped:
                return
            _carry_out(item, self)
        self._compact_if_needed()

    def _stop(self, index: int, exc: errors.FoxtailError) -> None:
        """Carry out nothing any more, as an entry or a snapshot is unreadable.

        To skip it would make this replica's state differ from the others'.
        """
        self._is_stopped = True
        error = errors.FoxtailError(
            errors.Code.COMMAND_UNREADABLE, exc.detail, index=index
        )
        self.queue_event(Stopped(error))

    def queue_write(self, write: journal.Write) -> None:
        """Queue a write for the next flush."""
        self._writes.append(write)

    def queue_event(self, event: Event) -> None:
        """Queue an event for the caller."""
        self._events.append(event)

    def apply(self, entries: tuple[agreement.Entry, ...]) -> None:
        """Apply committed entries to the machine and queue the outcomes."""
        for item in entries:
            try:
                outcome = self._apply_one(item)
            except errors.FoxtailError as exc:
                if exc.code is not errors.Code.MESSAGE_MALFORMED:
                    raise
                self._stop(item.index, exc)
                return
            term = self._proposed_terms.pop(item.index, None)
            if term == item.term:
                self.queue_event(Decided(item.index, outcome))
            elif term is not None:
                self.queue_event(Displaced(item.index))

    def restore(self, snapshot: agreement.Snapshot) -> None:
        """Replace the machine by a snapshot that the leader sent."""
        try:
            self._load(snapshot)
        except errors.FoxtailError as exc:
            if exc.code is not errors.Code.MESSAGE_MALFORMED:
                raise
            self._stop(snapshot.index, exc)
            return
        for index in [
            key for key in self._proposed_terms if key <= snapshot.index
        ]:
            del self._proposed_terms[index]
            self.queue_event(Displaced(index))

    def _apply_one(self, item: agreement.Entry) -> object:
        """Apply or skip one entry and return the outcome."""
        if item.kind is agreement.EntryKind.COMMAND:
            return self.machine.apply(item.index, item.data)
        self.machine.skip(item.index)
        return None

    def _load(self, snapshot: agreement.Snapshot) -> None:
        """Create the machine anew from a snapshot."""
        self.machine = self._make_machine(snapshot.index, snapshot.data)
        self._snapshot_index = snapshot.index

    def _compact_if_needed(self) -> None:
        """Replace old entries by a snapshot once there are enough of them."""
        if self._is_stopped:
            return
        index = self.machine.index
        new_entries = index - self._snapshot_index
        is_log_large = (
            self.disk.log_bytes > COMPACT_BYTES and new_entries > KEEP_ENTRIES
        )
        if new_entries < self._compact_entries and not is_log_large:
            return
        self._snapshot_index = index
        kept_entries = min(KEEP_ENTRIES, self._compact_entries // 4)
        data = self.machine.snapshot()
        for item in self.replica.compact(index, data, kept_entries):
            _carry_out(item, self)


@functools.singledispatch
def _carry_out(action: object, node: Node) -> None:
    """Carry out one action of the replica."""
    raise errors.FoxtailError(errors.Code.INTERNAL, "unknown action")


@_carry_out.register
def _(action: agreement.Persist, node: Node) -> None:
    node.queue_write(action)


@_carry_out.register
def _(action: agreement.PersistSnapshot, node: Node) -> None:
    node.queue_write(action)


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
    node.queue_event(action)
