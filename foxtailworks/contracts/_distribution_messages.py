"""Messages with which entry hosts pass contracts to one another."""

import dataclasses
import zlib

import xxhash

from foxtailworks.contracts import _view
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import wire

PIECE_BYTES = 1100
"""Data of one piece: with its header it fits a datagram."""
MAX_PIECES = 4096
"""Pieces of one update."""
MAX_UPDATE_BYTES = 32 << 20
"""Size of an update once it is unpacked."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionDigest:
    """Says what is in force; who knows more answers with it."""

    version: ids.Version
    """Version in force on the sender."""
    counting: bool = False
    """The sender has just started: answer with a number only."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateChunk:
    """A part of a packed update."""

    since: ids.Version
    """Version that the receiver needs."""
    version: ids.Version
    """Version that the whole brings."""
    check: int
    """Checksum of the whole."""
    number: int
    """Which part, from 0."""
    total: int
    """How many parts there are."""
    data: bytes
    """The part."""


DISTRIBUTION_MESSAGES: dict[int, type] = {80: VersionDigest, 81: UpdateChunk}

_CODEC = wire.Codec({1: _view.Update}, limit=MAX_UPDATE_BYTES)


def pack(update: _view.Update) -> tuple[UpdateChunk, ...]:
    """Return an update in pieces; empty when it is too large."""
    data = zlib.compress(_CODEC.encode(update))
    check = _checksum(data)
    total = -(-len(data) // PIECE_BYTES)
    if total > MAX_PIECES:
        return ()
    return tuple(
        UpdateChunk(
            update.since,
            update.version,
            check,
            number,
            total,
            data[number * PIECE_BYTES : (number + 1) * PIECE_BYTES],
        )
        for number in range(total)
    )


def unpack(pieces: list[UpdateChunk]) -> _view.Update:
    """Return the update in all pieces, ordered by number.

    :raises FoxtailError: ``MESSAGE_MALFORMED``, ``MESSAGE_TOO_LARGE``
    """
    data = b"".join(item.data for item in pieces)
    first = pieces[0]
    if _checksum(data) != first.check:
        raise _malformed("pieces don't belong together")
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_UPDATE_BYTES)
    except zlib.error as exc:
        raise _malformed("an update can't be unpacked") from exc
    update: _view.Update = _CODEC.decode(plain)
    if (update.since, update.version) != (first.since, first.version):
        raise _malformed("an update of another version")
    return update


def _checksum(data: bytes) -> int:
    """Return a number that differs for different updates."""
    return xxhash.xxh3_64_intdigest(data)


def _malformed(detail: str) -> errors.FoxtailError:
    """Return the refusal of pieces."""
    return errors.FoxtailError(errors.Code.MESSAGE_MALFORMED, detail)
