"""State that the parts of a replica share, and how they act on it."""

import dataclasses
import random

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _leadership
from foxtailworks.agreement import _log
from foxtailworks.agreement import _messages
from foxtailworks import errors
from foxtailworks import ids

MAX_HELD = 4096
"""Messages that wait for the disk; more are dropped, as if lost."""


@dataclasses.dataclass(frozen=True)
class Timing:
    """Durations in seconds of the keeper's own monotonic clock."""

    heartbeat_s: float = 0.1
    """A leader speaks at least so often."""
    election_min_s: float = 0.5
    """A follower that heard its leader later than this grants no vote."""
    election_max_s: float = 1.0
    """Elections start between the two, at random."""
    restart_min_s: float = 0.1
    """A member that has just started waits so long for a leader's word."""
    restart_max_s: float = 0.4
    """It stands between the two, at random: after a loss of power of all
    there is nobody to wait for, and a leader that lives speaks sooner."""
    lease_s: float = 0.4
    """A leader without answers of a majority for so long steps down."""

    def __post_init__(self) -> None:
        """Refuse durations under which two keepers could lead."""
        if not self.heartbeat_s < self.lease_s < self.election_min_s:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID,
                "heartbeat < lease < election time must hold",
            )


@dataclasses.dataclass(frozen=True)
class RestoredState:
    """What a disk gave back."""

    state: _messages.HardState = _messages.HardState()
    """Term, vote and group."""
    snapshot: _messages.Snapshot | None = None
    """State machine as of its index."""
    base_index: int = 0
    """The log starts after this entry."""
    base_term: int = 0
    """Its term."""
    entries: tuple[_messages.Entry, ...] = ()
    """The log."""


@dataclasses.dataclass
class Incoming:
    """A snapshot that arrives in parts."""

    index: int
    """Which snapshot."""
    term: int
    """Term of the leader that sends it."""
    data: bytearray
    """What has arrived."""


class Core:
    """The state of one replica.

    :param keeper: identity on the disk
    :param restored: what the disk gave back
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
        self.state = restored.state
        self.snapshot = restored.snapshot
        self.log = _restored_log(restored)
        self.role = _actions.Role.FOLLOWER
        self.leader: ids.KeeperId | None = None
        self.commit = self.snapshot.index if self.snapshot else 0
        self.durable = self.log.last_index
        self.number = 0
        self.persisted = 0
        self.votes: set[ids.KeeperId] = set()
        self.pre_voting = False
        self.election_number = 0
        self.lead: _leadership.Leadership | None = None
        self.term_start = 0
        self.heartbeat_at = now
        self.incoming: Incoming | None = None
        self.heard_at = now
        self.election_at = now + self._election_delay()
        if restored.state.group:
            self._expect_no_leader(now)
        self._out: list[_actions.Action] = []
        self._held: list[tuple[int, _actions.Send]] = []
        self._ends: list[tuple[int, int]] = []

    def drain(self) -> tuple[_actions.Action, ...]:
        """Return the actions since the last call."""
        out, self._out = tuple(self._out), []
        return out

    def emit(self, action: _actions.Action) -> None:
        """Ask the adapter for ``action``."""
        self._out.append(action)

    def send(self, to: ids.KeeperId, msg: _messages.Message) -> None:
        """Send once all that was written so far is on the disk."""
        action = _actions.Send(to, msg)
        if self.number == self.persisted:
            self._out.append(action)
        elif len(self._held) < MAX_HELD:
            self._held.append((self.number, action))

    def persist(self, entries: tuple[_messages.Entry, ...] = ()) -> None:
        """Write the state and new entries, which the log takes over."""
        if entries:
            self.durable = min(self.durable, entries[0].index - 1)
            self.log.append(entries)
        self._next_number()
        self.emit(_actions.Persist(self.number, self.state, entries))

    def persist_snapshot(self) -> None:
        """Write the snapshot and the whole log anew."""
        assert self.snapshot is not None
        self._next_number()
        base = self.log.base_index
        self.emit(
            _actions.PersistSnapshot(
                self.number,
                self.state,
                self.snapshot,
                base,
                self.log.base_term,
                self.log.slice(base + 1, self.log.last_index),
            )
        )

    def on_persisted(self, number: int) -> None:
        """Release what waited for the disk."""
        self.persisted = max(self.persisted, number)
        while self._ends and self._ends[0][0] <= number:
            self.durable = self._ends.pop(0)[1]
        while self._held and self._held[0][0] <= number:
            self._out.append(self._held.pop(0)[1])

    def change_role(
        self, role: _actions.Role, leader: ids.KeeperId | None
    ) -> None:
        """Take a role and tell the adapter when something changed."""
        if (role, leader) == (self.role, self.leader):
            return
        self.role, self.leader = role, leader
        self.emit(_actions.RoleChanged(role, self.state.term, leader))

    def follow(
        self, term: int, leader: ids.KeeperId | None, now: float
    ) -> None:
        """Become a follower in ``term``."""
        if term > self.state.term:
            self.state = dataclasses.replace(
                self.state, term=term, voted_for=None
            )
            self.persist()
        self._give_up_leading()
        self.pre_voting = False
        self.change_role(_actions.Role.FOLLOWER, leader)
        self.restart_election_timer(now)

    def restart_election_timer(self, now: float) -> None:
        """Start counting anew towards an election."""
        self.election_at = now + self._election_delay()

    def advance_commit(self, index: int) -> None:
        """Commit up to ``index`` and hand the entries over."""
        if index <= self.commit:
            return
        self.check(index <= self.log.last_index, "commit past the log")
        entries = self.log.slice(self.commit + 1, index)
        self.commit = index
        self.emit(_actions.Apply(entries))

    def check(self, holds: bool, invariant: str) -> None:
        """Stop the program when an invariant is broken."""
        if not holds:
            raise errors.FoxtailError(
                errors.Code.INTERNAL,
                "invariant broken: " + invariant,
                keeper=self.keeper,
                term=self.state.term,
            )

    def others(self) -> tuple[ids.KeeperId, ...]:
        """Return every other member."""
        members = self.log.membership.members
        return tuple(m.keeper for m in members if m.keeper != self.keeper)

    def is_voter(self) -> bool:
        """Tell whether this keeper counts for majorities."""
        return self.keeper in self.log.membership.voters()

    def _expect_no_leader(self, now: float) -> None:
        """Stand soon after a restart, and grant votes at once.

        No promise rests on the silence that a vote waits for: reads are
        confirmed by a majority, and a leader that lives refuses the vote.
        """
        self.heard_at = now - self.timing.election_min_s
        self.election_at = now + self.rng.uniform(
            self.timing.restart_min_s, self.timing.restart_max_s
        )

    def _next_number(self) -> None:
        """Number a write and remember where the log ends in it."""
        self.number += 1
        self._ends.append((self.number, self.log.last_index))

    def _give_up_leading(self) -> None:
        """Forget what only a leader knows."""
        if self.lead is None:
            return
        for item in self.lead.reads:
            self.emit(_actions.ReadAborted(item.number))
        self.lead = None

    def _election_delay(self) -> float:
        """Return a random duration between the two bounds."""
        return self.rng.uniform(
            self.timing.election_min_s, self.timing.election_max_s
        )


def _restored_log(restored: RestoredState) -> _log.Log:
    """Return the log as the disk had it."""
    snapshot = restored.snapshot
    log = _log.Log(
        restored.base_index,
        restored.base_term,
        snapshot.membership if snapshot else _messages.Membership(),
        snapshot.index if snapshot else 0,
    )
    log.append(restored.entries)
    return log
