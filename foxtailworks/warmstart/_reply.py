"""A reply saved for the next start, at the head of another file."""

import os
import struct
import typing
import zlib

FILE_NAME = ".hints"
"""File in a coordinator's data folder that begins with the reply; journals
ignore dotted names."""

_MAGIC = b"FXR2"
_LAST_MAGIC = b"FXR1"
# Of the last release, whose reply can't be sent in parts.
_HEADER = struct.Struct("!4sII")
# Magic number, length of the packed reply in bytes, its CRC-32.
_LENGTH = struct.Struct("!H")
_COUNTS = struct.Struct("!HH")
# Offset of the signatures, number of datagrams of the summary.
_MAX_REQUEST_BYTES = 128
_SMALL_INTEGERS = 24
# CBOR encodes integers below as one byte with their value.
_TWO_BYTE_LENGTH = b"\x58"
# From this first byte on, CBOR's length of a byte string takes two bytes.


class Reply(typing.NamedTuple):
    """Datagrams that answer polls of one kind.

    Not a dataclass: importing that module costs more than the rest of this
    package.
    """

    offset: int
    """Position of the signatures in the requests that are answered."""
    signature: bytes
    """Bytes that polls have there."""
    part_signature: bytes
    """Bytes that requests of parts of this reply have there."""
    summaries: tuple[bytes, ...]
    """Datagrams for a poll that grants no part."""
    datagrams: tuple[bytes, ...]
    """Datagrams to send back, each shorter than 64 KB."""


def pack(reply: Reply) -> bytes:
    """Return a reply as bytes, to be followed by anything."""
    parts = (
        reply.signature,
        reply.part_signature,
        *reply.summaries,
        *reply.datagrams,
    )
    body = _COUNTS.pack(reply.offset, len(reply.summaries))
    body += b"".join(_LENGTH.pack(len(item)) + item for item in parts)
    return _HEADER.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def granted_parts(reply: Reply, request: bytes) -> int | None:
    """Return how many datagrams a poll grants; None for other requests.

    The number is the last byte.  A poll of the last release has another
    field there, whose byte isn't a small integer; it gets all datagrams.
    """
    if not request.startswith(reply.signature, reply.offset):
        return None
    last = request[-1]
    return last if last < _SMALL_INTEGERS else len(reply.datagrams)


def requested_parts(reply: Reply, request: bytes) -> tuple[bytes, ...]:
    """Return the datagrams that a request of parts asks for."""
    if not request.startswith(reply.part_signature, reply.offset):
        return ()
    packed = request[reply.offset + len(reply.part_signature) :]
    # The length of the positions takes a byte, or two when it is larger.
    head = 1 + (packed[:1] >= _TWO_BYTE_LENGTH)
    packed = packed[head:]
    if len(packed) % _LENGTH.size or len(packed) > _MAX_REQUEST_BYTES:
        return ()
    return tuple(
        reply.datagrams[item]
        for (item,) in _LENGTH.iter_unpack(packed)
        if item < len(reply.datagrams)
    )


def split(data: bytes) -> tuple[Reply | None, bytes]:
    """Return the reply at the head of ``data``, and what follows it.

    The reply is None when there is none or it is damaged.  A file may be
    torn by a loss of power, and one of an earlier release has no reply.
    """
    is_known = data.startswith((_MAGIC, _LAST_MAGIC))
    if len(data) < _HEADER.size or not is_known:
        return None, data
    magic, size, checksum = _HEADER.unpack_from(data)
    end = _HEADER.size + size
    body = data[_HEADER.size : end]
    is_whole = _COUNTS.size <= size == len(body)
    is_usable = is_whole and magic == _MAGIC
    if not is_usable or zlib.crc32(body) != checksum:
        return None, data[end:]
    offset, summary_count = _COUNTS.unpack_from(body)
    signature, part_signature, *rest = _parts(body[_COUNTS.size :])
    reply = Reply(
        offset,
        signature,
        part_signature,
        tuple(rest[:summary_count]),
        tuple(rest[summary_count:]),
    )
    return reply, data[end:]


def _parts(body: bytes) -> typing.Iterator[bytes]:
    """Yield the byte strings in a packed reply."""
    start = 0
    while start < len(body):
        (size,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        yield body[start : start + size]
        start += size


def load(folder: str) -> Reply | None:
    """Return the reply saved in a folder; None without a usable one.

    The program that owns the file reads it again later and logs its errors.
    """
    try:
        with open(os.path.join(folder, FILE_NAME), "rb") as file:
            return split(file.read())[0]
    except OSError:
        return None
