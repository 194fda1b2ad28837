"""Messages that distribute contracts among entry hosts."""

import dataclasses
import zlib

import xxhash

from foxtailworks.contracts import _view
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import wire

CHUNK_BYTES = 1100
"""Data of one chunk, in bytes: with its header it fits a datagram."""
MAX_CHUNKS = 4096
"""Maximum number of chunks of one update."""
MAX_UPDATE_BYTES = 32 << 20
"""Maximum size of a decompressed update, in bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionDigest:
    """Announces the version in force; a host with a later one sends it."""

    version: ids.Version
    """Version in force on the sender."""
    version_only: bool = False
    """The sender has just started: reply with a version only."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateChunk:
    """A part of a compressed update."""

    since: ids.Version
    """Version that the receiver must have."""
    version: ids.Version
    """Version after the complete update."""
    checksum: int
    """Checksum of the compressed update."""
    index: int
    """Position of the chunk, from 0."""
    total: int
    """Number of chunks of the update."""
    data: bytes
    """Bytes of the chunk."""


DISTRIBUTION_MESSAGES: dict[int, type] = {80: VersionDigest, 81: UpdateChunk}

_CODEC = wire.Codec({1: _view.Update}, limit=MAX_UPDATE_BYTES)


def pack(update: _view.Update) -> tuple[UpdateChunk, ...]:
    """Return an update as chunks; empty when it is too large."""
    data = zlib.compress(_CODEC.encode(update))
    checksum = _checksum(data)
    total = -(-len(data) // CHUNK_BYTES)
    if total > MAX_CHUNKS:
        return ()
    return tuple(
        UpdateChunk(
            update.since,
            update.version,
            checksum,
            index,
            total,
            data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES],
        )
        for index in range(total)
    )


def unpack(chunks: list[UpdateChunk]) -> _view.Update:
    """Return the update in ``chunks``, which are ordered by index.

    :raises FoxtailError: ``MESSAGE_MALFORMED``, ``MESSAGE_TOO_LARGE``
    """
    data = b"".join(item.data for item in chunks)
    first = chunks[0]
    if _checksum(data) != first.checksum:
        raise _malformed("the checksum of the chunks differs")
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_UPDATE_BYTES)
    except zlib.error as exc:
        raise _malformed("an update can't be decompressed") from exc
    update: _view.Update = _CODEC.decode(plain)
    if (update.since, update.version) != (first.since, first.version):
        raise _malformed("an update of another version")
    return update


def _checksum(data: bytes) -> int:
    """Return a digest that differs for different updates."""
    return xxhash.xxh3_64_intdigest(data)


def _malformed(detail: str) -> errors.FoxtailError:
    """Return the error for invalid chunks."""
    return errors.FoxtailError(errors.Code.MESSAGE_MALFORMED, detail)
