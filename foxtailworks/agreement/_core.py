"""State shared by the follower, candidate and leader code of a replica."""

import dataclasses
import random

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _leadership
from foxtailworks.agreement import _log
from foxtailworks.agreement import _messages
from foxtailworks import errors
from foxtailworks import ids

MAX_UNSENT = 4096
"""Cap of messages that wait for a write; more are dropped, as if lost."""


@dataclasses.dataclass(frozen=True)
class Timing:
    """Timeouts and intervals, in seconds of the monotonic clock."""

    heartbeat_s: float = 0.1
    """Interval between the heartbeats of a leader."""
    election_min_s: float = 0.5
    """Shortest election timeout; no vote is granted while the last contact
    with the leader is more recent than this."""
    election_max_s: float = 1.0
    """Longest election timeout; each timeout is drawn between the two."""
    restart_min_s: float = 0.1
    """Shortest first election timeout of a member after a restart."""
    restart_max_s: float = 0.4
    """Longest first election timeout after a restart. It is shorter than the
    usual one: after a power loss of all members there is no leader to wait
    for, and a live leader sends its heartbeat sooner."""
    lease_s: float = 0.4
    """A leader steps down when no majority has answered for this long."""

    def __post_init__(self) -> None:
        """Reject durations under which two keepers could lead.

        :raises FoxtailError: ``SETTINGS_INVALID``
        """
        if not self.heartbeat_s < self.lease_s < self.election_min_s:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID,
                "heartbeat_s < lease_s < election_min_s must hold",
            )


@dataclasses.dataclass(frozen=True)
class RestoredState:
    """State read from the disk at the start."""

    state: _messages.HardState = _messages.HardState()
    """Term, vote and group as last written."""
    snapshot: _messages.Snapshot | None = None
    """Newest snapshot, if there is one."""
    base_index: int = 0
    """Index of the entry before the first one in ``entries``."""
    base_term: int = 0
    """Term of the entry at ``base_index``."""
    entries: tuple[_messages.Entry, ...] = ()
    """All log entries after ``base_index``."""


@dataclasses.dataclass
class IncomingSnapshot:
    """A snapshot of which some parts have been received."""

    index: int
    """Last log entry that the snapshot includes."""
    term: int
    """Term of the leader that sends it."""
    data: bytearray
    """Bytes received so far."""


class Core:
    """State of one replica, and the actions that it has to return.

    :param keeper: identity stored on the disk
    :param restored: state read from the disk
    """

    def __init__(
        self,
        keeper: ids.KeeperId,
        restored: RestoredState,
        timing: Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self.keeper = keeper
        self.timing = timing
        self.rng = rng
        self.hard_state = restored.state
        self.snapshot = restored.snapshot
        self.log = _restored_log(restored)
        self.role = _actions.Role.FOLLOWER
        self.leader: ids.KeeperId | None = None
        self.commit_index = self.snapshot.index if self.snapshot else 0
        self.durable_index = self.log.last_index
        self.last_write = 0
        self.last_persisted_write = 0
        self.votes: set[ids.KeeperId] = set()
        self.pre_voting = False
        self.election_write = 0
        self.leadership: _leadership.Leadership | None = None
        self.term_start_index = 0
        self.heartbeat_due_at = now
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.last_contact_at = now
        self.election_due_at = now + self._election_delay()
        if restored.state.group:
            self._allow_early_election(now)
        self._outbox: list[_actions.Action] = []
        self._unsent: list[tuple[int, _actions.Send]] = []
        self._log_ends: list[tuple[int, int]] = []

    def take_actions(self) -> tuple[_actions.Action, ...]:
        """Return the actions collected since the last call."""
        out, self._outbox = tuple(self._outbox), []
        return out

    def emit(self, action: _actions.Action) -> None:
        """Add ``action`` to those for the adapter."""
        self._outbox.append(action)

    def send(self, to: ids.KeeperId, msg: _messages.Message) -> None:
        """Send ``msg`` once all writes requested so far are on disk."""
        action = _actions.Send(to, msg)
        if self.last_write == self.last_persisted_write:
            self._outbox.append(action)
        elif len(self._unsent) < MAX_UNSENT:
            self._unsent.append((self.last_write, action))

    def persist(self, entries: tuple[_messages.Entry, ...] = ()) -> None:
        """Append ``entries`` to the log; write them and the hard state."""
        if entries:
            self.durable_index = min(self.durable_index, entries[0].index - 1)
            self.log.append(entries)
        self._number_write()
        self.emit(_actions.Persist(self.last_write, self.hard_state, entries))

    def persist_snapshot(self) -> None:
        """Write the snapshot and replace the whole log on disk."""
        assert self.snapshot is not None
        self._number_write()
        base = self.log.base_index
        self.emit(
            _actions.PersistSnapshot(
                self.last_write,
                self.hard_state,
                self.snapshot,
                base,
                self.log.base_term,
                self.log.slice(base + 1, self.log.last_index),
            )
        )

    def on_persisted(self, number: int) -> None:
        """Send the messages that waited for writes up to ``number``."""
        self.last_persisted_write = max(self.last_persisted_write, number)
        while self._log_ends and self._log_ends[0][0] <= number:
            self.durable_index = self._log_ends.pop(0)[1]
        while self._unsent and self._unsent[0][0] <= number:
            self._outbox.append(self._unsent.pop(0)[1])

    def change_role(
        self, role: _actions.Role, leader: ids.KeeperId | None
    ) -> None:
        """Set role and leader; notify the adapter if one changed."""
        if (role, leader) == (self.role, self.leader):
            return
        self.role, self.leader = role, leader
        self.emit(_actions.RoleChanged(role, self.hard_state.term, leader))

    def become_follower(
        self, term: int, leader: ids.KeeperId | None, now: float
    ) -> None:
        """Become a follower in ``term``, the current or a newer one."""
        if term > self.hard_state.term:
            self.hard_state = dataclasses.replace(
                self.hard_state, term=term, voted_for=None
            )
            self.persist()
        self._drop_leadership()
        self.pre_voting = False
        self.change_role(_actions.Role.FOLLOWER, leader)
        self.restart_election_timer(now)

    def restart_election_timer(self, now: float) -> None:
        """Draw a new election timeout that starts now."""
        self.election_due_at = now + self._election_delay()

    def advance_commit(self, index: int) -> None:
        """Commit up to ``index`` and have the entries applied."""
        if index <= self.commit_index:
            return
        self.check(index <= self.log.last_index, "commit past the log")
        entries = self.log.slice(self.commit_index + 1, index)
        self.commit_index = index
        self.emit(_actions.Apply(entries))

    def check(self, holds: bool, invariant: str) -> None:
        """Check an invariant of the protocol.

        :raises FoxtailError: ``INTERNAL`` if it doesn't hold
        """
        if not holds:
            raise errors.FoxtailError(
                errors.Code.INTERNAL,
                "invariant broken: " + invariant,
                keeper=self.keeper,
                term=self.hard_state.term,
            )

    def others(self) -> tuple[ids.KeeperId, ...]:
        """Return all members but this keeper, learners included."""
        members = self.log.membership.members
        return tuple(m.keeper for m in members if m.keeper != self.keeper)

    def is_voter(self) -> bool:
        """Tell whether this keeper is counted in majorities."""
        return self.keeper in self.log.membership.voters()

    def _allow_early_election(self, now: float) -> None:
        """After a restart shorten the first timeout and grant votes at once.

        Safety doesn't depend on the time for which a voter waits for its
        leader: reads are confirmed by a majority, and a live leader refuses
        to vote for another.
        """
        self.last_contact_at = now - self.timing.election_min_s
        self.election_due_at = now + self.rng.uniform(
            self.timing.restart_min_s, self.timing.restart_max_s
        )

    def _number_write(self) -> None:
        """Number a write and record the end of the log as of it."""
        self.last_write += 1
        self._log_ends.append((self.last_write, self.log.last_index))

    def _drop_leadership(self) -> None:
        """Discard the leader's state and abort its pending reads."""
        if self.leadership is None:
            return
        for item in self.leadership.pending_reads:
            self.emit(_actions.ReadAborted(item.number))
        self.leadership = None

    def _election_delay(self) -> float:
        """Return a random election timeout in seconds."""
        return self.rng.uniform(
            self.timing.election_min_s, self.timing.election_max_s
        )


def _restored_log(restored: RestoredState) -> _log.Log:
    """Return the log that was read from the disk."""
    snapshot = restored.snapshot
    log = _log.Log(
        restored.base_index,
        restored.base_term,
        snapshot.membership if snapshot else _messages.Membership(),
        snapshot.index if snapshot else 0,
    )
    log.append(restored.entries)
    return log
