"""Packets that may wait for the link."""

import dataclasses
import enum
import typing

from foxtailworks import ids

HEADER_BYTES = 28
"""Bytes that the headers of IP and UDP add to each datagram on the link."""
FULL_BYTES = 1272
"""Largest packet of a caller on the link: 28 bytes of IP and UDP headers, 8 of
the upstream's id, 36 of the fabric's header and 1,200 of data."""
MAX_SMALL_BYTES = 200
"""Largest packet on the link that goes ahead of bulk.  Packets without data
have 72 bytes; full ones of an upload have 1,272."""


class DropReason(enum.Enum):
    """Why a packet was dropped instead of sent."""

    FULL = "full"
    """The queue exceeded its limit."""
    OLD = "old"
    """It waited for so long that its caller has sent it again."""
    REPEATED = "repeated"
    """Its caller sent it again, and the new copy took its place."""


Key: typing.TypeAlias = tuple[bytes, bytes]
"""Flow and body of a packet; equal for its repetitions."""


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A packet to send."""

    flow: bytes
    """Identifies the flow, for fair turns."""
    body: bytes
    """What the packet has in common with its repetitions."""
    data: bytes
    """Datagram to send."""
    target: ids.Address
    """Address to send it to."""

    @property
    def key(self) -> Key:
        """Return what identifies the packet and its repetitions."""
        return self.flow, self.body

    @property
    def size(self) -> int:
        """Return the bytes that the packet takes on the link."""
        return len(self.data) + HEADER_BYTES

    @property
    def is_small(self) -> bool:
        """Return whether the packet goes ahead of bulk."""
        return self.size <= MAX_SMALL_BYTES
