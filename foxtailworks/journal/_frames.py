"""Frames: checksummed pieces of a file, each written with one sync."""

import dataclasses
import struct
import typing

import xxhash

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import wire

FORMAT_VERSION = 1
"""Raised when the stored format changes."""

_MAGIC = b"FxJ1"
_HEADER = struct.Struct(">4sIQQ")
_LIMIT_BYTES = 256 << 20


@dataclasses.dataclass(frozen=True)
class Start:
    """First frame of a log file."""

    format_version: int
    """Version of the stored format."""
    generation: int
    """Grows with each compaction; the largest is in force."""
    keeper: ids.KeeperId
    """Identity of the keeper; lives and dies with the disk."""
    state: agreement.HardState
    """Term, vote and group."""
    snapshot_index: int
    """Snapshot that this log goes with; 0 for none."""
    base_index: int
    """The log starts after this entry."""
    base_term: int
    """Its term."""
    entries: tuple[agreement.Entry, ...]
    """What was kept over a compaction."""


@dataclasses.dataclass(frozen=True)
class Batch:
    """What one sync made durable."""

    state: agreement.HardState
    """Term, vote and group."""
    entries: tuple[agreement.Entry, ...]
    """An entry replaces all held ones from its index on."""


Body = Start | Batch | agreement.Snapshot

_CODEC = wire.Codec(
    {1: Start, 2: Batch, 3: agreement.Snapshot}, limit=_LIMIT_BYTES
)


def encode(body: Body, sequence: int) -> bytes:
    """Return a frame.

    :param sequence: number of the frame within its file, from 0
    """
    data = _CODEC.encode(body)
    check = _checksum(data, sequence)
    return _HEADER.pack(_MAGIC, len(data), sequence, check) + data


@dataclasses.dataclass(frozen=True)
class Scan:
    """What a file holds."""

    bodies: tuple[Body, ...]
    """Whole frames, in order."""
    size: int
    """Bytes up to the end of the last whole frame."""


def scan(data: bytes, name: str) -> Scan:
    """Read frames up to a torn tail.

    A bad frame with a whole one behind it isn't a torn tail: each frame is
    synced before the next one is written.

    :raises FoxtailError: ``JOURNAL_DAMAGED``
    """
    bodies: list[Body] = []
    offset = 0
    while (found := _frame_at(data, offset)) is not None:
        sequence, end = found
        if sequence != len(bodies):
            raise _damaged(name, offset, "a frame is missing")
        bodies.append(_decode(data[offset + _HEADER.size : end], name))
        offset = end
    if _whole_frame_after(data, offset):
        raise _damaged(name, offset, "a frame fails its checksum")
    return Scan(tuple(bodies), offset)


def _checksum(data: bytes, sequence: int) -> int:
    """Return the checksum of a frame's body at its place."""
    seed = (sequence << 32 ^ len(data)) & 0xFFFFFFFFFFFFFFFF
    return xxhash.xxh3_64_intdigest(data, seed)


def _frame_at(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return sequence and end of the whole frame at ``offset``."""
    if offset + _HEADER.size > len(data):
        return None
    magic, size, sequence, check = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + size
    if magic != _MAGIC or end > len(data):
        return None
    if _checksum(data[offset + _HEADER.size : end], sequence) != check:
        return None
    return sequence, end


def _whole_frame_after(data: bytes, offset: int) -> bool:
    """Tell whether any whole frame starts after ``offset``."""
    return any(
        _frame_at(data, place) is not None
        for place in _places(data, offset + 1)
    )


def _places(data: bytes, offset: int) -> typing.Iterator[int]:
    """Yield where a frame may start."""
    place = data.find(_MAGIC, offset)
    while place >= 0:
        yield place
        place = data.find(_MAGIC, place + 1)


def _decode(data: bytes, name: str) -> Body:
    """Read the body of a frame whose checksum holds."""
    try:
        body: Body = _CODEC.decode(data)
    except errors.FoxtailError as exc:
        raise _damaged(name, 0, "a frame has another format") from exc
    return body


def _damaged(name: str, offset: int, reason: str) -> errors.FoxtailError:
    """Return the refusal of a damaged file."""
    return errors.FoxtailError(
        errors.Code.JOURNAL_DAMAGED, reason, file=name, offset=offset
    )
