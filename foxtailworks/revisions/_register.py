"""The state machine: one document, its revision only grows."""

import dataclasses
import enum
import zlib

from foxtailworks import errors
from foxtailworks import wire

_COMPRESSION = 6
# zlib's default level: a document is compressed once and sent often.


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Command: put a document in force unless a newer one is."""

    revision: int
    """Chosen by the operator; the highest wins."""
    document: bytes
    """The operator's text, compressed with zlib."""

    @classmethod
    def of(cls, revision: int, text: bytes) -> "Put":
        """Return the command for a document's text."""
        return cls(revision, zlib.compress(text, _COMPRESSION))


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDocument:
    """What is in force."""

    revision: int
    """0 while there is nothing."""
    document: bytes
    """As in the command."""

    def text(self) -> bytes:
        """Return the document as the operator sent it."""
        return zlib.decompress(self.document)


NO_DOCUMENT = StoredDocument(0, b"")
"""Before the first document."""


class Outcome(enum.Enum):
    """What became of a command."""

    IN_FORCE = "in_force"
    OVERTAKEN = "overtaken"


_CODEC = wire.Codec({1: Put, 2: StoredDocument}, limit=4 << 20)


def encode_put(command: Put) -> bytes:
    """Return ``command`` as the data of a log entry."""
    return _CODEC.encode(command)


def decode_put(data: bytes) -> Put:
    """Read the data of a log entry."""
    command: Put = _CODEC.decode(data)
    return command


class Register:
    """The document after some log entry."""

    def __init__(
        self, index: int = 0, held: StoredDocument = NO_DOCUMENT
    ) -> None:
        self._index = index
        self.current = held

    @property
    def index(self) -> int:
        """Last log entry that was applied."""
        return self._index

    def apply(self, index: int, data: bytes) -> Outcome:
        """Apply the command at ``index``; the same on every replica."""
        self.skip(index)
        command = decode_put(data)
        if command.revision <= self.current.revision:
            return Outcome.OVERTAKEN
        self.current = StoredDocument(command.revision, command.document)
        return Outcome.IN_FORCE

    def skip(self, index: int) -> None:
        """Pass over an entry that isn't a command."""
        if index <= self._index:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "entry applied twice", index=index
            )
        self._index = index

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _CODEC.encode(self.current)


def restore(index: int, data: bytes | None) -> Register:
    """Return the register in a snapshot, or an empty one."""
    if data is None:
        return Register()
    held: StoredDocument = _CODEC.decode(data)
    return Register(index, held)
