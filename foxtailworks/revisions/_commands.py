"""Commands of the state machine and their encoding in log and snapshot."""

import dataclasses
import zlib

from foxtailworks import ids
from foxtailworks import wire

_COMPRESSION = 6
# zlib's default level: a document is compressed once and sent often.


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Command that stores a document unless a newer one is stored."""

    revision: int
    """Number chosen by the operator; the highest wins."""
    document: bytes
    """Text of the document, compressed with zlib."""

    @classmethod
    def of(cls, revision: int, text: bytes) -> "Put":
        """Create the command from the uncompressed text."""
        return cls(revision, zlib.compress(text, _COMPRESSION))


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuate:
    """Command that evacuates a zone or ends its evacuation."""

    zone: ids.ZoneId
    """Zone whose upstreams may or may not get new flows."""
    is_evacuated: bool
    """False for the withdrawal of an earlier order."""


Command = Put | Evacuate
"""Command in a log entry."""

COMMAND_FORM = 1
"""Highest form of commands that this release applies: 0 for documents, 1 for
evacuations as well.  A command enters the log once all voters apply its form,
so a new one takes a higher form."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDocument:
    """Document in force, with its revision."""

    revision: int
    """Revision of the document; 0 while there is none."""
    document: bytes
    """Text of the document, compressed with zlib."""

    def text(self) -> bytes:
        """Return the uncompressed text, as the operator sent it."""
        return zlib.decompress(self.document)


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """Zones whose upstreams get no new flows.

    The zones are as many as operators may name, since orders for others are
    refused before they are proposed.
    """

    number: int = 0
    """Number of orders that changed the zones; 0 before the first one."""
    zones: tuple[ids.ZoneId, ...] = ()
    """Evacuated zones in ascending order."""

    def apply(self, command: Evacuate) -> "Evacuation":
        """Return the evacuation after an order, itself if nothing changes."""
        if (command.zone in self.zones) == command.is_evacuated:
            return self
        zones = set(self.zones) ^ {command.zone}
        return Evacuation(self.number + 1, tuple(sorted(zones)))


NO_DOCUMENT = StoredDocument(0, b"")
"""Document before the first command."""
NO_EVACUATION = Evacuation()
"""Evacuation before the first order."""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """All that the state machine stores."""

    document: StoredDocument = NO_DOCUMENT
    """Document in force."""
    evacuation: Evacuation = NO_EVACUATION
    """Zones that are evacuated."""


_CODEC = wire.Codec(
    {1: Put, 2: StoredDocument, 3: Evacuate, 4: State}, limit=4 << 20
)


def encode_put(command: Put) -> bytes:
    """Encode ``command`` as the data of a log entry."""
    return _CODEC.encode(command)


def encode_evacuate(command: Evacuate) -> bytes:
    """Encode ``command`` as the data of a log entry."""
    return _CODEC.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode the data of a log entry."""
    command: Command = _CODEC.decode(data)
    return command


def encode_state(state: State) -> bytes:
    """Encode a snapshot.

    Without orders it is the document alone, which releases without
    evacuations can read.
    """
    if state.evacuation == NO_EVACUATION:
        return _CODEC.encode(state.document)
    return _CODEC.encode(state)


def decode_state(data: bytes) -> State:
    """Decode a snapshot, also one of a release without evacuations."""
    stored: State | StoredDocument = _CODEC.decode(data)
    if isinstance(stored, StoredDocument):
        return State(stored)
    return stored
