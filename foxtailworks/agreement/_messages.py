"""What keepers say to one another, and what their log holds."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks import wire


class EntryKind(enum.Enum):
    """What an entry of the log is for."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One place of the replicated log."""

    index: int
    """Position, counted from 1."""
    term: int
    """Term of the leader that appended it."""
    kind: EntryKind
    """Who interprets ``data``."""
    data: bytes
    """Command of the state machine, or an encoded membership."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One keeper of the group."""

    keeper: ids.KeeperId
    """Identity that lives on the keeper's disk."""
    name: str
    """Name that operators use; may pass to another identity."""
    address: ids.Address
    """Where the others reach it."""
    voter: bool
    """A learner (false) takes the log and doesn't count for majorities."""


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The keepers, as agreed through the log."""

    members: tuple[Member, ...] = ()
    """Voters and learners."""

    def voters(self) -> tuple[ids.KeeperId, ...]:
        """Return the keepers that count for majorities."""
        return tuple(item.keeper for item in self.members if item.voter)

    def find(self, keeper: ids.KeeperId) -> Member | None:
        """Return the member with this identity."""
        found = (item for item in self.members if item.keeper == keeper)
        return next(found, None)

    def put(self, member: Member) -> "Membership":
        """Return a copy with ``member`` added or replaced."""
        others = self.without(member.keeper).members
        return Membership((*others, member))

    def without(self, keeper: ids.KeeperId) -> "Membership":
        """Return a copy without ``keeper``."""
        kept = (item for item in self.members if item.keeper != keeper)
        return Membership(tuple(kept))


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """What must be on the disk before a message depends on it."""

    group: str = ""
    """Identity of the group; empty until the keeper belongs to one."""
    term: int = 0
    """Largest term seen."""
    voted_for: ids.KeeperId | None = None
    """Candidate that got this keeper's vote in ``term``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after ``index``, in place of the log up to it."""

    index: int
    """Last entry that is contained."""
    term: int
    """Term of that entry."""
    membership: Membership
    """Membership as of that entry."""
    data: bytes
    """The state machine's own encoding."""


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate asks for a vote."""

    group: str
    """Identity of the sender's group."""
    term: int
    """Term that the candidate stands for."""
    last_index: int
    """End of the candidate's log."""
    last_term: int
    """Term of that entry."""
    is_pre_vote: bool
    """A pre-vote changes no state of the voter."""
    is_transfer: bool = False
    """The leader itself asked for this election."""


@dataclasses.dataclass(frozen=True, slots=True)
class VoteAnswer:
    """The answer to a vote request."""

    group: str
    """Identity of the sender's group."""
    term: int
    """Term of the request when granted, else the voter's own."""
    granted: bool
    """Whether the vote is given."""
    is_pre_vote: bool
    """Repeats the request's field."""


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Entries, or none as a heartbeat."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The leader's term."""
    prev_index: int
    """Entry before the first one sent."""
    prev_term: int
    """Its term."""
    entries: tuple[Entry, ...]
    """What follows it."""
    commit: int
    """The leader's commit index."""
    round: int
    """Grows with each broadcast; the answer repeats it."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendAnswer:
    """The answer to :class:`Append`; sent after the sync of the disk."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The follower's term."""
    matched: bool
    """Whether the log held the previous entry."""
    index: int
    """Last matching entry, or where the leader should try next."""
    round: int
    """Repeats the request's field."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPart:
    """A piece of a snapshot for a keeper that is far behind."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The leader's term."""
    index: int
    """Last entry in the snapshot."""
    index_term: int
    """Its term."""
    membership: Membership
    """Membership as of that entry."""
    offset: int
    """Place of ``data`` in the whole."""
    total: int
    """Size of the whole in bytes."""
    data: bytes
    """The piece."""
    round: int
    """The answer repeats it."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotAnswer:
    """Says how much of a snapshot has arrived."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The follower's term."""
    index: int
    """Which snapshot."""
    received: int
    """Bytes held; the next piece starts here."""
    done: bool
    """The whole is on the disk."""
    round: int
    """Repeats the request's field."""


@dataclasses.dataclass(frozen=True, slots=True)
class ElectNow:
    """A leader that leaves asks a follower to stand at once."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The leader's term."""


Message = (
    VoteRequest
    | VoteAnswer
    | Append
    | AppendAnswer
    | SnapshotPart
    | SnapshotAnswer
    | ElectNow
)

MESSAGES: dict[int, type] = {
    10: VoteRequest,
    11: VoteAnswer,
    12: Append,
    13: AppendAnswer,
    14: SnapshotPart,
    15: SnapshotAnswer,
    16: ElectNow,
}

_MEMBERSHIP = wire.Codec({1: Membership})


def encode_membership(membership: Membership) -> bytes:
    """Return ``membership`` as the data of an entry."""
    return _MEMBERSHIP.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Read the data of an entry of kind ``MEMBERSHIP``."""
    decoded: Membership = _MEMBERSHIP.decode(data)
    return decoded
