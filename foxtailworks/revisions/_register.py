"""The state machine of one document with a growing revision."""

import dataclasses
import enum
import zlib

from foxtailworks import errors
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
class StoredDocument:
    """The document in force."""

    revision: int
    """Revision of the document; 0 while there is none."""
    document: bytes
    """Text of the document, compressed with zlib."""

    def text(self) -> bytes:
        """Return the uncompressed text, as the operator sent it."""
        return zlib.decompress(self.document)


NO_DOCUMENT = StoredDocument(0, b"")
"""State before the first command."""


class Outcome(enum.Enum):
    """Result of applying a command."""

    IN_FORCE = "in_force"
    OVERTAKEN = "overtaken"


_CODEC = wire.Codec({1: Put, 2: StoredDocument}, limit=4 << 20)


def encode_put(command: Put) -> bytes:
    """Encode ``command`` as the data of a log entry."""
    return _CODEC.encode(command)


def decode_put(data: bytes) -> Put:
    """Decode the data of a log entry."""
    command: Put = _CODEC.decode(data)
    return command


class Register:
    """State machine that stores the document in force.

    :param index: last log entry that is contained in ``stored``
    """

    def __init__(
        self, index: int = 0, stored: StoredDocument = NO_DOCUMENT
    ) -> None:
        self._index = index
        self.current = stored

    @property
    def index(self) -> int:
        """Index of the last log entry that was applied or skipped."""
        return self._index

    def apply(self, index: int, data: bytes) -> Outcome:
        """Apply the command at ``index``; deterministic on all replicas."""
        self.skip(index)
        command = decode_put(data)
        if command.revision <= self.current.revision:
            return Outcome.OVERTAKEN
        self.current = StoredDocument(command.revision, command.document)
        return Outcome.IN_FORCE

    def skip(self, index: int) -> None:
        """Advance ``index`` past an entry that isn't a command.

        :raises FoxtailError: ``INTERNAL`` if the entry was applied before
        """
        if index <= self._index:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "an entry was applied twice", index=index
            )
        self._index = index

    def snapshot(self) -> bytes:
        """Return the encoded document, without the index."""
        return _CODEC.encode(self.current)


def restore(index: int, data: bytes | None) -> Register:
    """Create a register from a snapshot, or an empty one without data."""
    if data is None:
        return Register()
    stored: StoredDocument = _CODEC.decode(data)
    return Register(index, stored)
