"""What a member leaves to its own next start when it stops as planned."""

from collections import abc
import dataclasses
import math

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.requests import _fences
from foxtailworks.requests import _messages
from foxtailworks.requests import _records
from foxtailworks import wire

MAX_MEMORY_BYTES = 64 << 20
"""A full store of 50,000 keys with outcomes of 1,200 bytes each."""
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Quiet:
    """A key that was refused of late."""

    key: ids.RequestKey
    """Which key."""
    for_ms: int
    """How much longer nothing is granted for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class SavedState:
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


_CODEC = wire.Codec({1: SavedState}, limit=MAX_MEMORY_BYTES)


def encode_saved_state(memory: SavedState) -> bytes:
    """Return a memory as it is stored."""
    return _CODEC.encode(memory)


def decode_saved_state(data: bytes) -> SavedState:
    """Read a stored memory.

    :raises FoxtailError: ``MESSAGE_MALFORMED``, ``MESSAGE_TOO_LARGE``
    """
    found: SavedState = _CODEC.decode(data)
    return found


def quiet_keys(fences: _fences.Fences, now: float) -> abc.Iterator[Quiet]:
    """Yield the keys that were refused of late."""
    for key, seconds in fences.quiet_keys(now):
        yield Quiet(key, math.ceil(seconds * _MS_PER_S))


def recall(
    memory: SavedState,
    records: _records.Records,
    fences: _fences.Fences,
    now: float,
) -> None:
    """Put a memory into the empty tables of a member that starts.

    :raises FoxtailError: ``INTERNAL`` when it holds more than they may
    """
    for item in memory.records:
        if item.marks:
            fences.restore(now, item.key, item.marks, 0.0)
        if item.claim is not None or item.outcome is not None:
            _recall_record(item, records, now)
    for quiet in memory.quiet:
        fences.restore(now, quiet.key, (), quiet.for_ms / _MS_PER_S)


def _recall_record(
    item: _messages.HandOver, records: _records.Records, now: float
) -> None:
    """Put back the claim or the outcome of one key."""
    record = records.open(now, item.key, item.keep_ms)
    if record is None:
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "a memory larger than the store"
        )
    if item.outcome is not None:
        record.keep_outcome(item.outcome)
    elif item.claim is not None:
        record.stand(now, item.claim)
