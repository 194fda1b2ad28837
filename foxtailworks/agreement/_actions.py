"""What a replica asks its adapter to do."""

import dataclasses
import enum

from foxtailworks.agreement import _messages
from foxtailworks import ids


class Role(enum.Enum):
    """What a keeper is in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Write and sync, then call ``on_persisted(number)``."""

    number: int
    """Grows by one; a later number covers all earlier ones."""
    state: _messages.HardState
    """Term, vote and group as of now."""
    entries: tuple[_messages.Entry, ...] = ()
    """The first one replaces all from its index on."""


@dataclasses.dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Replace the log on disk, then call ``on_persisted(number)``."""

    number: int
    """Grows by one; a later number covers all earlier ones."""
    state: _messages.HardState
    """Term, vote and group as of now."""
    snapshot: _messages.Snapshot
    """State up to its index."""
    base_index: int
    """The log on disk starts after this entry."""
    base_term: int
    """Its term."""
    entries: tuple[_messages.Entry, ...]
    """The whole log after the base."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Pass a message on; it may be lost."""

    to: ids.KeeperId
    """Receiver."""
    msg: _messages.Message
    """What to send."""


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Give committed entries to the state machine, in order."""

    entries: tuple[_messages.Entry, ...]
    """Each index comes once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """Set the state machine to a snapshot."""

    snapshot: _messages.Snapshot
    """What to load."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """A read may be answered from the state machine now."""

    number: int
    """As given by ``read``."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAborted:
    """A read can't be answered by this keeper any more."""

    number: int
    """As given by ``read``."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """Role, term or known leader changed."""

    role: Role
    """The new role."""
    term: int
    """The new term."""
    leader: ids.KeeperId | None
    """Who leads, as far as is known."""


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
