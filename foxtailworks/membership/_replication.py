"""Tables that every host keeps a copy of, compared by bucket hashes."""

from collections import abc
import enum
import math
import typing

import xxhash

from foxtailworks.membership import _events
from foxtailworks.membership import _pending

BUCKETS = 256
OUTER_ROUNDS = 2
CROWDED = 64
CROWDED_SENDS = 3
HASH_BYTES = 4


class BucketHashes:
    """Incremental hashes over the live records of a table.

    Records that have ended aren't hashed, so that hosts may forget them at
    different times; they're sent all the same where buckets differ.
    """

    def __init__(self) -> None:
        self._hashes = [0] * BUCKETS
        self._items: dict[str, int] = {}
        self.root = 0

    @staticmethod
    def bucket_of(key: str) -> int:
        """Return the bucket that ``key`` falls into."""
        return xxhash.xxh32_intdigest(key.encode()) % BUCKETS

    def set(self, key: str, item: bytes | None) -> None:
        """Hash ``item`` under ``key``; ``None`` takes the key out."""
        new = xxhash.xxh32_intdigest(item) if item is not None else None
        old = self._items.pop(key, None)
        change = (new or 0) ^ (old or 0)
        if new is not None:
            self._items[key] = new
        self._hashes[self.bucket_of(key)] ^= change
        self.root ^= change

    def to_bytes(self) -> bytes:
        """Return the hashes of all buckets."""
        return b"".join(
            value.to_bytes(HASH_BYTES, "big") for value in self._hashes
        )

    def differing(self, hashes: bytes) -> list[int]:
        """Return the buckets whose hash isn't the one in ``hashes``."""
        mine = self.to_bytes()
        return [
            index
            for index in range(BUCKETS)
            if mine[index * 4 : index * 4 + 4]
            != hashes[index * 4 : index * 4 + 4]
        ]


class GossipScope(enum.Enum):
    """How far a record that was taken in is passed on."""

    NONE = "none"
    """Others have it or get it by comparing tables."""
    ZONE = "zone"
    """Within the own availability zone."""
    EVERYWHERE = "everywhere"
    """Through the relays to all availability zones."""


class GossipQueue:
    """Passes the records of one table on as far as they have to go."""

    def __init__(self) -> None:
        self.pending = _pending.PendingUpdates()
        self._sends = 2
        self._outer_rounds = 0

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Learn the size of the own zone and whether this host relays."""
        self._sends = 2 + math.ceil(math.log2(zone_hosts + 1))
        self._outer_rounds = OUTER_ROUNDS if is_relay else 0

    def put(
        self, key: str, item: bytes, spread: GossipScope, urgent: bool
    ) -> None:
        """Pass an encoded record on."""
        if spread is GossipScope.NONE:
            self.pending.drop(key)
            return
        is_far = spread is GossipScope.EVERYWHERE
        outer = self._outer_rounds if is_far else 0
        is_crowded = len(self.pending.inner) > CROWDED and not urgent
        # Comparing tables is cheaper for what many records miss.
        inner = min(self._sends, CROWDED_SENDS) if is_crowded else self._sends
        self.pending.put(key, item, inner, outer, urgent)


def tag_of(item: bytes) -> int:
    """Return the number of an encoded record's type, or -1.

    Numbers from 24 to 255 stand as one byte after two fixed ones in CBOR.
    """
    is_record = len(item) > 3 and item[0] == 0x82 and item[1] == 0x18
    return item[2] if is_record else -1


class ReplicatedTable(typing.Protocol):
    """A table that membership spreads and keeps equal on all hosts."""

    tags: frozenset[int]
    """Numbers of the record types of this table."""
    pending: _pending.PendingUpdates
    """What is still to be passed on."""
    hashes: BucketHashes
    """Hashes of the live records."""

    @property
    def changed_at(self) -> float:
        """Time of the last change."""

    def decode(self, item: bytes) -> object:
        """Return the record in ``item``.

        :raises FoxtailError: the item is malformed
        """

    def merge(
        self, record: typing.Any, spread: GossipScope, now: float
    ) -> abc.Iterable[object]:
        """Take a record in; yield events if it changed something."""

    def items_of(self, bucket: int) -> abc.Iterable[bytes]:
        """Yield the encoded records of ``bucket``, ended ones too."""

    def on_event(
        self, event: _events.Event, now: float
    ) -> abc.Iterable[object]:
        """Take note of a change of hosts or availability zones."""

    def on_tick(self, now: float) -> abc.Iterable[object]:
        """Let time pass."""

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Learn the size of the own zone and whether this host relays."""
