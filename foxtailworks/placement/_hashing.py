"""Hash functions that give the same result on every host."""

import math

import xxhash

from foxtailworks import ids

HOST_SLOT_BITS = 14
"""log2 of the number of host slots; each slot has one owner."""
TABLE_SLOT_BITS = 10
"""log2 of the number of slots in the table of one service."""
FINGERPRINT_BITS = 28
"""Length of the key prefix in digests; it starts with the host slot."""

HOST_SLOTS = 1 << HOST_SLOT_BITS
TABLE_SLOTS = 1 << TABLE_SLOT_BITS

_HOST_SHIFT = 64 - HOST_SLOT_BITS
_FINGERPRINT_SHIFT = 64 - FINGERPRINT_BITS
_SLOT_OF_FINGERPRINT_SHIFT = FINGERPRINT_BITS - HOST_SLOT_BITS
_TABLE_MASK = TABLE_SLOTS - 1

_SCALE = 2.0**-64


def flow_key(service: ids.ServiceId, caller: ids.Address) -> int:
    """Return the 64-bit hash that identifies a flow."""
    text = f"{service} {caller.ip} {caller.port}"
    return xxhash.xxh3_64_intdigest(text.encode())


def host_slot(key: int) -> int:
    """Return the host slot of a flow, which decides its owner."""
    return key >> _HOST_SHIFT


def table_slot(key: int) -> int:
    """Return the slot of a flow in the table of its service."""
    return key & _TABLE_MASK


def fingerprint(key: int) -> int:
    """Return the prefix of a key that digests contain."""
    return key >> _FINGERPRINT_SHIFT


def slot_of_fingerprint(value: int) -> int:
    """Return the host slot of a fingerprint."""
    return value >> _SLOT_OF_FINGERPRINT_SHIFT


def seed(name: str) -> int:
    """Return the hash seed of a host or an upstream."""
    return xxhash.xxh3_64_intdigest(name.encode())


def score(seed_value: int, slot: int) -> int:
    """Return the rendezvous score of a seed at a slot."""
    return xxhash.xxh3_64_intdigest(
        slot.to_bytes(4, "little"), seed=seed_value
    )


def weighted_score(seed_value: int, slot: int, weight: float) -> float:
    """Return a score with which the chance to win follows the weight."""
    unit = (score(seed_value, slot) + 0.5) * _SCALE
    return -weight / math.log(unit)
