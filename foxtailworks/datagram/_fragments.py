"""Fragmentation and reassembly of messages."""

from collections import abc
import dataclasses
import struct
import typing
import zlib

from foxtailworks import errors
from foxtailworks import ids

FRAGMENT_BYTES = 1200
"""Payload of one fragment; with all headers below the usual MTU of 1,500."""
MAX_FRAGMENTS = 512
"""Most fragments of a message: 600 KB, above the largest configuration."""
MAX_MESSAGE_BYTES = 4 << 20
"""Largest message after decompression; bounds the memory a peer can use."""
MAX_INCOMPLETE = 64
"""Most incomplete messages; a new one then replaces the oldest."""
REASSEMBLY_TIMEOUT_S = 2.0
"""Seconds after its last fragment when an incomplete message is dropped."""
_COMPRESSION = 1
# zlib's fastest level suffices: configurations mainly repeat names.

_HEADER = struct.Struct("!IHHB")
# Message number, fragment index, fragment count, 1 if compressed.


def split(number: int, data: bytes) -> abc.Iterator[bytes]:
    """Yield the datagrams that carry one message.

    :param number: identifies the message among the sender's recent ones
    :raises FoxtailError: ``MESSAGE_TOO_LARGE``
    """
    is_compressed = len(data) > FRAGMENT_BYTES
    if is_compressed:
        data = zlib.compress(data, _COMPRESSION)
    count = max(1, -(-len(data) // FRAGMENT_BYTES))
    if count > MAX_FRAGMENTS:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_TOO_LARGE,
            "message exceeds the datagram limit",
            size=len(data),
            limit=MAX_FRAGMENTS * FRAGMENT_BYTES,
        )
    for index in range(count):
        start = index * FRAGMENT_BYTES
        header = _HEADER.pack(number & 0xFFFFFFFF, index, count, is_compressed)
        yield header + data[start : start + FRAGMENT_BYTES]


def signature(data: bytes, size: int) -> tuple[int, bytes]:
    """Return by which bytes datagrams of alike messages are recognized.

    :param data: one message, which fits into a datagram
    :param size: number of its first bytes that the others have as well
    :returns: position in the datagram and the bytes there
    """
    (first,) = split(0, data)
    start = struct.calcsize("!I")
    return start, first[start : _HEADER.size + size]


@dataclasses.dataclass(slots=True)
class _Incomplete:
    """An incomplete message and the fragments received so far."""

    count: int
    """Number of fragments of the message."""
    expires_at: float = 0.0
    """Time after which it is dropped, in monotonic seconds."""
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    """Received fragments by index."""


def message_number(datagram: bytes) -> int:
    """Return the number of the message that a datagram is a part of."""
    number: int = _HEADER.unpack_from(datagram)[0]
    return number


class PartHandler(typing.Protocol):
    """Called with each received fragment of a message that has several."""

    def __call__(
        self, src: ids.Address, number: int, missing: abc.Set[int]
    ) -> None:
        """Handle one fragment.

        :param number: number of the message among those of its sender
        :param missing: indexes of the fragments that haven't arrived
        """


class Assembler:
    """Reassembles messages from the fragments of many senders.

    :param on_part: called with each fragment of a message that has several
    """

    def __init__(self, on_part: PartHandler | None = None) -> None:
        self._on_part = on_part
        self._incomplete: dict[tuple[ids.Address, int], _Incomplete] = {}

    def add(
        self, src: ids.Address, datagram: bytes, now: float
    ) -> bytes | None:
        """Add a fragment; return its message if that is now complete.

        :param now: monotonic seconds

        :raises FoxtailError: ``MESSAGE_MALFORMED``, ``MESSAGE_TOO_LARGE``
        """
        if len(datagram) < _HEADER.size:
            raise _malformed("datagram shorter than its header")
        number, index, count, is_compressed = _HEADER.unpack_from(datagram)
        body = datagram[_HEADER.size :]
        if count == 0 or index >= count or count > MAX_FRAGMENTS:
            raise _malformed("fragment out of range")
        if count > 1:
            complete = self._reassemble((src, number), index, count, body, now)
            if complete is None:
                return None
            body = complete
        return _decompress(body) if is_compressed else body

    def _reassemble(
        self,
        key: tuple[ids.Address, int],
        index: int,
        count: int,
        body: bytes,
        now: float,
    ) -> bytes | None:
        """Store a fragment; return the data once all have arrived."""
        self._drop_expired(now)
        message = self._incomplete.get(key)
        if message is None or message.count != count:
            message = _Incomplete(count)
        # Expires after others that have had no fragment for longer.
        self._incomplete.pop(key, None)
        self._incomplete[key] = message
        message.expires_at = now + REASSEMBLY_TIMEOUT_S
        message.parts[index] = body
        if self._on_part is not None:
            missing = set(range(count)) - message.parts.keys()
            self._on_part(*key, missing)
        if len(message.parts) < count:
            return None
        del self._incomplete[key]
        return b"".join(message.parts[i] for i in range(count))

    def _drop_expired(self, now: float) -> None:
        """Drop expired messages, and the oldest one if the table is full."""
        while self._incomplete:
            key = next(iter(self._incomplete))
            is_full = len(self._incomplete) >= MAX_INCOMPLETE
            if not is_full and self._incomplete[key].expires_at > now:
                return
            del self._incomplete[key]


def _decompress(body: bytes) -> bytes:
    """Decompress a message, up to ``MAX_MESSAGE_BYTES``."""
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(body, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise _malformed(str(exc)) from exc
    if decompressor.unconsumed_tail:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_TOO_LARGE,
            "decompressed message exceeds its limit",
            limit=MAX_MESSAGE_BYTES,
        )
    return data


def _malformed(detail: str) -> errors.FoxtailError:
    """Return the error for a datagram that cannot be decoded."""
    return errors.FoxtailError(errors.Code.MESSAGE_MALFORMED, detail)
