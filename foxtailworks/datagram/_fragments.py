"""Cuts messages into fragments and puts them together again."""

from collections import abc
import dataclasses
import struct
import zlib

from foxtailworks import errors
from foxtailworks import ids

FRAGMENT_BYTES = 1200
"""Data in one fragment; with all headers below the usual MTU of 1,500."""
MAX_FRAGMENTS = 512
"""Fragments of one message: 600 KB, above the largest configuration."""
MAX_MESSAGE_BYTES = 4 << 20
"""A message after decompression; bounds what a peer can make us hold."""
MAX_PARTIAL = 64
"""Messages under way; the oldest is given up for a new one."""
PARTIAL_S = 2.0
"""A message is given up so long after its first fragment."""
_COMPRESSION = 1
# zlib's fastest level: configurations repeat names, any level finds them.

_HEADER = struct.Struct("!IHHB")
# Message number, fragment index, fragment count, 1 when compressed.


def split(number: int, data: bytes) -> abc.Iterator[bytes]:
    """Yield the datagrams of one message.

    :param number: differs from those of the sender's last messages
    :raises FoxtailError: ``MESSAGE_TOO_LARGE``
    """
    packed = len(data) > FRAGMENT_BYTES
    if packed:
        data = zlib.compress(data, _COMPRESSION)
    count = max(1, -(-len(data) // FRAGMENT_BYTES))
    if count > MAX_FRAGMENTS:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_TOO_LARGE,
            "message over the limit of datagrams",
            size=len(data),
            limit=MAX_FRAGMENTS * FRAGMENT_BYTES,
        )
    for index in range(count):
        start = index * FRAGMENT_BYTES
        head = _HEADER.pack(number & 0xFFFFFFFF, index, count, packed)
        yield head + data[start : start + FRAGMENT_BYTES]


@dataclasses.dataclass(slots=True)
class _Partial:
    """A message of which fragments are missing."""

    count: int
    """Fragments of the whole."""
    until: float
    """When it is given up."""
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    """What has arrived, by index."""


class Assembler:
    """Collects fragments of many senders until messages are whole."""

    def __init__(self) -> None:
        self._partial: dict[tuple[ids.Address, int], _Partial] = {}

    def add(
        self, src: ids.Address, datagram: bytes, now: float
    ) -> bytes | None:
        """Return the message that this datagram completes, if it does.

        :raises FoxtailError: ``MESSAGE_MALFORMED``, ``MESSAGE_TOO_LARGE``
        """
        if len(datagram) < _HEADER.size:
            raise _malformed("shorter than its header")
        number, index, count, packed = _HEADER.unpack_from(datagram)
        body = datagram[_HEADER.size :]
        if count == 0 or index >= count or count > MAX_FRAGMENTS:
            raise _malformed("fragment out of range")
        if count > 1:
            whole = self._collect((src, number), index, count, body, now)
            if whole is None:
                return None
            body = whole
        return _decompress(body) if packed else body

    def _collect(
        self,
        key: tuple[ids.Address, int],
        index: int,
        count: int,
        body: bytes,
        now: float,
    ) -> bytes | None:
        """Keep a fragment; return the data once all have come."""
        self._give_up(now)
        partial = self._partial.get(key)
        if partial is None or partial.count != count:
            partial = _Partial(count, now + PARTIAL_S)
            self._partial[key] = partial
        partial.parts[index] = body
        if len(partial.parts) < count:
            return None
        del self._partial[key]
        return b"".join(partial.parts[i] for i in range(count))

    def _give_up(self, now: float) -> None:
        """Forget what took too long, and the oldest when there are many."""
        while self._partial:
            key = next(iter(self._partial))
            full = len(self._partial) >= MAX_PARTIAL
            if not full and self._partial[key].until > now:
                return
            del self._partial[key]


def _decompress(body: bytes) -> bytes:
    """Return the data of a compressed message of bounded size."""
    try:
        engine = zlib.decompressobj()
        data = engine.decompress(body, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise _malformed(str(exc)) from exc
    if engine.unconsumed_tail:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_TOO_LARGE,
            "message over its limit",
            limit=MAX_MESSAGE_BYTES,
        )
    return data


def _malformed(detail: str) -> errors.FoxtailError:
    """Return the refusal of a datagram."""
    return errors.FoxtailError(errors.Code.MESSAGE_MALFORMED, detail)
