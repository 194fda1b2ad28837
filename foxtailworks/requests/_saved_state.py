"""State that a member saves at a planned stop for its next start."""

from collections import abc
import dataclasses
import math

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.requests import _fences
from foxtailworks.requests import _messages
from foxtailworks.requests import _records
from foxtailworks import wire

MAX_SAVED_STATE_BYTES = 64 << 20
"""Enough for a full store of 50,000 keys with outcomes of 1,200 bytes each."""
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedKey:
    """A recently refused key."""

    key: ids.RequestKey
    """Key of the refused request."""
    remaining_ms: int
    """Milliseconds for which no claim on it is granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class SavedState:
    """All claims, outcomes and fences of one member.

    It is complete only once the member grants nothing more, and valid for one
    start: what the next process grants isn't part of it.  Durations count from
    the stop; the downtime is in effect added to them, so that nothing expires
    early.
    """

    host: ids.HostId
    """Host that the state belongs to."""
    epoch: int
    """Epoch of the latest roster that the host had seen."""
    records: tuple[_messages.HandOver, ...]
    """Claim, outcome and fenced attempts of each key."""
    refused_keys: tuple[RefusedKey, ...]
    """Recently refused keys."""


_CODEC = wire.Codec({1: SavedState}, limit=MAX_SAVED_STATE_BYTES)


def encode_saved_state(saved_state: SavedState) -> bytes:
    """Return the encoded form of a saved state."""
    return _CODEC.encode(saved_state)


def decode_saved_state(data: bytes) -> SavedState:
    """Decode a stored state.

    :raises FoxtailError: ``MESSAGE_MALFORMED``, ``MESSAGE_TOO_LARGE``
    """
    found: SavedState = _CODEC.decode(data)
    return found


def refused_keys(
    fences: _fences.Fences, now: float
) -> abc.Iterator[RefusedKey]:
    """Yield the recently refused keys with their remaining time."""
    for key, seconds in fences.refused_keys(now):
        yield RefusedKey(key, math.ceil(seconds * _MS_PER_S))


def restore(
    saved_state: SavedState,
    records: _records.Records,
    fences: _fences.Fences,
    now: float,
) -> None:
    """Restore a saved state into the empty tables of a starting member.

    :raises FoxtailError: ``INTERNAL`` when it exceeds the size of a table
    """
    for item in saved_state.records:
        if item.fenced_attempts:
            fences.restore(now, item.key, item.fenced_attempts, 0.0)
        if item.claim is not None or item.outcome is not None:
            _restore_record(item, records, now)
    for refused in saved_state.refused_keys:
        fences.restore(now, refused.key, (), refused.remaining_ms / _MS_PER_S)


def _restore_record(
    item: _messages.HandOver, records: _records.Records, now: float
) -> None:
    """Restore the claim or the outcome of one key."""
    record = records.get_or_create(now, item.key, item.keep_ms)
    if record is None:
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "the saved state is larger than the store"
        )
    if item.outcome is not None:
        record.set_outcome(item.outcome)
    elif item.claim is not None:
        record.set_claim(now, item.claim)
