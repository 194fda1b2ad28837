"""Actions that a replica returns for its adapter to carry out."""

import dataclasses
import enum

from foxtailworks.agreement import _messages
from foxtailworks import ids


class Role(enum.Enum):
    """Role of a keeper in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Request to write and sync, then to call ``on_persisted(number)``."""

    number: int
    """Grows by one; a later number covers all earlier ones."""
    state: _messages.HardState
    """Term, vote and group as of now."""
    entries: tuple[_messages.Entry, ...] = ()
    """Entries to write; the first replaces all from its index on."""


@dataclasses.dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Request to replace the log, then to call ``on_persisted(number)``."""

    number: int
    """Grows by one; a later number covers all earlier ones."""
    state: _messages.HardState
    """Term, vote and group as of now."""
    snapshot: _messages.Snapshot
    """Snapshot that replaces the log up to its index."""
    base_index: int
    """Index of the entry before the first one in ``entries``."""
    base_term: int
    """Term of the entry at ``base_index``."""
    entries: tuple[_messages.Entry, ...]
    """The whole log after ``base_index``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Request to send a message, which may be lost."""

    to: ids.KeeperId
    """Keeper that receives the message."""
    msg: _messages.Message
    """Message to be encoded and sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Request to apply committed entries to the state machine."""

    entries: tuple[_messages.Entry, ...]
    """Entries in order; each index is passed exactly once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """Request to replace the state machine by a snapshot."""

    snapshot: _messages.Snapshot
    """Snapshot to be loaded."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """Notice that a read may be answered from the state machine now."""

    number: int
    """Number of the read, as returned by ``read``."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAborted:
    """Notice that this keeper can no longer answer a read."""

    number: int
    """Number of the read, as returned by ``read``."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """Notice that the role or the known leader has changed."""

    role: Role
    """Role of this keeper from now on."""
    term: int
    """Current term of this keeper."""
    leader: ids.KeeperId | None
    """Leader of the term, or None while unknown."""


Action = (
    Persist
    | PersistSnapshot
    | Send
    | Apply
    | Restore
    | ReadReady
    | ReadAborted
    | RoleChanged
)
