"""Messages between keepers, and the entries of their log."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks import wire


class EntryKind(enum.Enum):
    """Purpose of a log entry; decides how its data is read."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the replicated log."""

    index: int
    """Position, counted from 1."""
    term: int
    """Term of the leader that appended the entry."""
    kind: EntryKind
    """Decides how ``data`` is interpreted."""
    data: bytes
    """Command for the state machine, or an encoded membership."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A keeper that belongs to the group."""

    keeper: ids.KeeperId
    """Identity stored on the keeper's disk."""
    name: str
    """Name used by operators; may be reassigned to another identity."""
    address: ids.Address
    """Address at which the other keepers reach it."""
    voter: bool
    """False for a learner, which receives the log but isn't counted in
    majorities."""


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The members of the group as of some log entry."""

    members: tuple[Member, ...] = ()
    """Voters and learners together."""

    def voters(self) -> tuple[ids.KeeperId, ...]:
        """Return the keepers that are counted in majorities."""
        return tuple(item.keeper for item in self.members if item.voter)

    def find(self, keeper: ids.KeeperId) -> Member | None:
        """Return the member with this identity, or None."""
        found = (item for item in self.members if item.keeper == keeper)
        return next(found, None)

    def put(self, member: Member) -> "Membership":
        """Return a copy with ``member`` added or replaced."""
        remaining = self.without(member.keeper).members
        return Membership((*remaining, member))

    def without(self, keeper: ids.KeeperId) -> "Membership":
        """Return a copy without ``keeper``."""
        kept = (item for item in self.members if item.keeper != keeper)
        return Membership(tuple(kept))


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """State that must be on disk before a message that depends on it."""

    group: str = ""
    """Identity of the group; empty until the keeper joins one."""
    term: int = 0
    """Largest term that the keeper has seen."""
    voted_for: ids.KeeperId | None = None
    """Candidate that received this keeper's vote in ``term``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine; replaces the log up to ``index``."""

    index: int
    """Last log entry that the snapshot includes."""
    term: int
    """Term of the entry at ``index``."""
    membership: Membership
    """Membership as of that entry."""
    data: bytes
    """Encoded by the state machine itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request of a candidate for a vote."""

    group: str
    """Identity of the sender's group."""
    term: int
    """Term in which the candidate wants to lead."""
    last_index: int
    """Last entry of the candidate's log."""
    last_term: int
    """Term of the entry at ``last_index``."""
    is_pre_vote: bool
    """Whether this is a pre-vote, which changes no state of the voter."""
    is_transfer: bool = False
    """Whether the leader initiated this election to hand over its role."""


@dataclasses.dataclass(frozen=True, slots=True)
class VoteAnswer:
    """Response to :class:`VoteRequest`."""

    group: str
    """Identity of the sender's group."""
    term: int
    """Term of the request when granted, else the voter's own."""
    granted: bool
    """Whether the voter grants its vote."""
    is_pre_vote: bool
    """Copied from the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Entries for a follower; without entries, a heartbeat."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The leader's term."""
    prev_index: int
    """Index of the entry before the first one in ``entries``."""
    prev_term: int
    """Term of the entry at ``prev_index``."""
    entries: tuple[Entry, ...]
    """Entries that follow ``prev_index``."""
    commit: int
    """The leader's commit index."""
    round: int
    """Number of the leader's broadcast; the answer returns it."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Response to :class:`Append`, sent after the disk was synced."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The follower's term."""
    matched: bool
    """Whether the follower's log has the entry at ``prev_index``."""
    index: int
    """Last matching entry, or the index that the leader should try next."""
    round: int
    """Copied from the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Chunk of a snapshot for a keeper that is far behind."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The leader's term."""
    index: int
    """Last log entry that the snapshot includes."""
    index_term: int
    """Term of the entry at ``index``."""
    membership: Membership
    """Membership as of that entry."""
    offset: int
    """Offset of ``data`` in the snapshot, in bytes."""
    total: int
    """Size of the whole snapshot in bytes."""
    data: bytes
    """The bytes at ``offset``."""
    round: int
    """Number of the leader's broadcast; the answer returns it."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotAnswer:
    """Response to :class:`SnapshotPart`: how much has been received."""

    group: str
    """Identity of the sender's group."""
    term: int
    """The follower's term."""
    index: int
    """Last log entry that the snapshot includes."""
    received: int
    """Bytes received so far; the next part starts at this offset."""
    done: bool
    """Whether the complete snapshot is on disk."""
    round: int
    """Copied from the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ElectNow:
    """Request of a departing leader to start an election immediately."""

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
    """Encode ``membership`` as the data of a log entry."""
    return _MEMBERSHIP.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decode the data of a log entry of kind ``MEMBERSHIP``."""
    decoded: Membership = _MEMBERSHIP.decode(data)
    return decoded
