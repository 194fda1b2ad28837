"""Frames: checksummed records of a file, each written with one sync."""

import dataclasses
import struct
import typing

import xxhash

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import wire

FORMAT_VERSION = 1
"""Version of the stored format, incremented with each change of it."""

_MAGIC = b"FxJ1"
_HEADER = struct.Struct(">4sIQQ")
_LIMIT_BYTES = 256 << 20


@dataclasses.dataclass(frozen=True)
class LogStart:
    """First frame of each log file."""

    format_version: int
    """Format version with which the file was written."""
    generation: int
    """Number of the log file, incremented with each compaction; the file with
    the largest one is valid."""
    keeper: ids.KeeperId
    """Identity of the keeper; it is lost with the disk."""
    state: agreement.HardState
    """Term, vote and group at the start of the file."""
    snapshot_index: int
    """Index of the snapshot that belongs to this log; 0 for none."""
    base_index: int
    """Index of the entry before the first one in ``entries``."""
    base_term: int
    """Term of the entry at ``base_index``."""
    entries: tuple[agreement.Entry, ...]
    """Entries that the compaction kept."""


@dataclasses.dataclass(frozen=True)
class Batch:
    """Writes that were made durable by one sync."""

    state: agreement.HardState
    """Term, vote and group after these writes."""
    entries: tuple[agreement.Entry, ...]
    """Entries of which each replaces all earlier ones from its index on."""


Body = LogStart | Batch | agreement.Snapshot

_CODEC = wire.Codec(
    {1: LogStart, 2: Batch, 3: agreement.Snapshot}, limit=_LIMIT_BYTES
)


def encode(body: Body, sequence: int) -> bytes:
    """Encode a frame with its header and checksum.

    :param sequence: number of the frame within its file, from 0
    """
    data = _CODEC.encode(body)
    check = _checksum(data, sequence)
    return _HEADER.pack(_MAGIC, len(data), sequence, check) + data


@dataclasses.dataclass(frozen=True)
class ScanResult:
    """Valid content of a file."""

    bodies: tuple[Body, ...]
    """Bodies of all complete frames, in order."""
    size: int
    """Offset of the end of the last complete frame, in bytes."""


def scan(data: bytes, name: str) -> ScanResult:
    """Read all frames up to the end or a torn tail.

    A bad frame that is followed by a complete one isn't a torn tail: each
    frame is synced before the next one is written.

    :param name: name of the file, for errors
    :raises FoxtailError: ``JOURNAL_DAMAGED``
    """
    bodies: list[Body] = []
    offset = 0
    while (frame := _frame_at(data, offset)) is not None:
        sequence, end = frame
        if sequence != len(bodies):
            raise _damaged(name, offset, "a frame is missing")
        bodies.append(_decode(data[offset + _HEADER.size : end], name))
        offset = end
    if _has_frame_after(data, offset):
        raise _damaged(name, offset, "a frame has a wrong checksum")
    return ScanResult(tuple(bodies), offset)


def _checksum(data: bytes, sequence: int) -> int:
    """Return the checksum of a frame's body, seeded with its sequence."""
    seed = (sequence << 32 ^ len(data)) & 0xFFFFFFFFFFFFFFFF
    return xxhash.xxh3_64_intdigest(data, seed)


def _frame_at(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return sequence and end of the frame at ``offset``.

    :return: None if there is no complete frame with a matching checksum
    """
    if offset + _HEADER.size > len(data):
        return None
    magic, size, sequence, check = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + size
    if magic != _MAGIC or end > len(data):
        return None
    if _checksum(data[offset + _HEADER.size : end], sequence) != check:
        return None
    return sequence, end


def _has_frame_after(data: bytes, offset: int) -> bool:
    """Tell whether any complete frame starts after ``offset``."""
    return any(
        _frame_at(data, start) is not None
        for start in _possible_starts(data, offset + 1)
    )


def _possible_starts(data: bytes, offset: int) -> typing.Iterator[int]:
    """Yield the offsets at which a frame may start."""
    start = data.find(_MAGIC, offset)
    while start >= 0:
        yield start
        start = data.find(_MAGIC, start + 1)


def _decode(data: bytes, name: str) -> Body:
    """Decode the body of a frame whose checksum matches."""
    try:
        body: Body = _CODEC.decode(data)
    except errors.FoxtailError as exc:
        raise _damaged(name, 0, "a frame can't be decoded") from exc
    return body


def _damaged(name: str, offset: int, reason: str) -> errors.FoxtailError:
    """Return the error for a damaged file."""
    return errors.FoxtailError(
        errors.Code.JOURNAL_DAMAGED, reason, file=name, offset=offset
    )
