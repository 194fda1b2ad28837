"""A reply saved for the next start, at the head of another file."""

import os
import struct
import typing
import zlib

FILE_NAME = ".hints"
"""File in a coordinator's data folder that begins with the reply; journals
ignore dotted names."""

_MAGIC = b"FXR1"
_HEADER = struct.Struct("!4sII")
# Magic number, length of the packed reply in bytes, its CRC-32.
_LENGTH = struct.Struct("!H")


class Reply(typing.NamedTuple):
    """Datagrams that answer every request of one kind.

    Not a dataclass: importing that module costs more than the rest of this
    package.
    """

    offset: int
    """Position of the signature in the requests that are answered."""
    signature: bytes
    """Bytes that these requests have there."""
    datagrams: tuple[bytes, ...]
    """Datagrams to send back, each shorter than 64 KB."""


def pack(reply: Reply) -> bytes:
    """Return a reply as bytes, to be followed by anything."""
    parts = (reply.signature, *reply.datagrams)
    body = _LENGTH.pack(reply.offset)
    body += b"".join(_LENGTH.pack(len(item)) + item for item in parts)
    return _HEADER.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def answers(reply: Reply, request: bytes) -> bool:
    """Return whether a reply answers a request."""
    return request.startswith(reply.signature, reply.offset)


def split(data: bytes) -> tuple[Reply | None, bytes]:
    """Return the reply at the head of ``data``, and what follows it.

    The reply is None when there is none or it is damaged.  A file may be
    torn by a loss of power, and one of an earlier release has no reply.
    """
    if len(data) < _HEADER.size or not data.startswith(_MAGIC):
        return None, data
    _, size, checksum = _HEADER.unpack_from(data)
    end = _HEADER.size + size
    body = data[_HEADER.size : end]
    is_whole = _LENGTH.size <= size == len(body)
    if not is_whole or zlib.crc32(body) != checksum:
        return None, data[end:]
    (offset,) = _LENGTH.unpack_from(body)
    signature, *datagrams = _parts(body[_LENGTH.size :])
    return Reply(offset, signature, tuple(datagrams)), data[end:]


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
