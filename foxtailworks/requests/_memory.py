"""What a member leaves to its own next start when it stops as planned."""

import dataclasses

from foxtailworks import ids
from foxtailworks.requests import _messages
from foxtailworks import wire

MAX_MEMORY_BYTES = 64 << 20
"""A full store of 50,000 keys with outcomes of 1,200 bytes each."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quiet:
    """A key that was refused of late."""

    key: ids.RequestKey
    """Which key."""
    for_ms: int
    """How much longer nothing is granted for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """Everything that a member has granted, kept or refused.

    Whole from the moment on at which the member grants nothing more, and
    good for one start: what that one grants isn't part of it.  Durations
    count from the moment of the stop; the time between is added to them,
    so that nothing is forgotten early.
    """

    host: ids.HostId
    """Whose memory it is."""
    epoch: int
    """Of the latest roster that it knew."""
    records: tuple[_messages.HandOver, ...]
    """Claims, outcomes and marks, one for each key."""
    quiet: tuple[Quiet, ...]
    """Keys that were refused of late."""


_CODEC = wire.Codec({1: Memory}, limit=MAX_MEMORY_BYTES)


def encode_memory(memory: Memory) -> bytes:
    """Return a memory as it is stored."""
    return _CODEC.encode(memory)


def decode_memory(data: bytes) -> Memory:
    """Read a stored memory.

    :raises FoxtailError: ``MESSAGE_MALFORMED``, ``MESSAGE_TOO_LARGE``
    """
    found: Memory = _CODEC.decode(data)
    return found
