"""Tables replicated on every host by gossip and bucket hashes."""

from collections import abc
import enum
import math
import typing

import xxhash

from foxtailworks.membership import _events
from foxtailworks.membership import _pending

BUCKETS = 256
CROSS_ZONE_ROUNDS = 2
BACKLOG_THRESHOLD = 64
BACKLOG_SENDS = 3
HASH_BYTES = 4


class BucketHashes:
    """Incremental hashes over the live records of a table.

    Tombstones aren't hashed, so that hosts may drop them at different times;
    they're still sent where buckets differ.
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
        """Set the item of ``key``; ``None`` removes the key."""
        new = xxhash.xxh32_intdigest(item) if item is not None else None
        old = self._items.pop(key, None)
        change = (new or 0) ^ (old or 0)
        if new is not None:
            self._items[key] = new
        self._hashes[self.bucket_of(key)] ^= change
        self.root ^= change

    def to_bytes(self) -> bytes:
        """Return the hashes of all buckets, four bytes each."""
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
    """Hosts that a merged record is gossiped to."""

    NONE = "none"
    """None: others have it or receive it by table comparison."""
    ZONE = "zone"
    """Hosts of the own availability zone."""
    EVERYWHERE = "everywhere"
    """Hosts of all availability zones, through the relays."""


class GossipQueue:
    """Queue of one table's updates, with the number of sends for each."""

    def __init__(self) -> None:
        self.pending = _pending.PendingUpdates()
        self._sends = 2
        self._cross_zone_rounds = 0

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Set the number of live hosts in the zone and this host's role.

        As in SWIM an update is sent O(log n) times by each host.
        """
        self._sends = 2 + math.ceil(math.log2(zone_hosts + 1))
        self._cross_zone_rounds = CROSS_ZONE_ROUNDS if is_relay else 0

    def put(
        self, key: str, item: bytes, scope: GossipScope, urgent: bool
    ) -> None:
        """Queue an encoded record for the hosts of ``scope``.

        :param urgent: send it before others, and as often despite a backlog
        """
        if scope is GossipScope.NONE:
            self.pending.drop(key)
            return
        crosses_zones = scope is GossipScope.EVERYWHERE
        cross_zone_rounds = self._cross_zone_rounds if crosses_zones else 0
        has_backlog = (
            len(self.pending.own_zone) > BACKLOG_THRESHOLD and not urgent
        )
        # With a long backlog, table comparison costs less than more sends.
        zone_sends = (
            min(self._sends, BACKLOG_SENDS) if has_backlog else self._sends
        )
        self.pending.put(key, item, zone_sends, cross_zone_rounds, urgent)


def tag_of(item: bytes) -> int:
    """Return the type number of an encoded record, or -1.

    Records are CBOR arrays of two parts. Numbers from 24 to 255 are one byte
    after two fixed ones: the head of the array and the mark of the length.
    """
    is_record = len(item) > 3 and item[0] == 0x82 and item[1] == 0x18
    return item[2] if is_record else -1


class ReplicatedTable(typing.Protocol):
    """Interface of a table that membership replicates on all hosts."""

    tags: frozenset[int]
    """Type numbers of the records in this table."""
    pending: _pending.PendingUpdates
    """Updates that are still to be sent."""
    hashes: BucketHashes
    """Hashes of the live records."""

    @property
    def changed_at(self) -> float:
        """Monotonic time of the last change."""

    def decode(self, item: bytes) -> object:
        """Decode the record in ``item``.

        :raises FoxtailError: the item is malformed
        """

    def merge(
        self, record: typing.Any, scope: GossipScope, now: float
    ) -> abc.Iterable[object]:
        """Merge a record; yield events if that changed the table."""

    def items_of(self, bucket: int) -> abc.Iterable[bytes]:
        """Yield the encoded records of ``bucket``, tombstones included."""

    def on_event(
        self, event: _events.Event, now: float
    ) -> abc.Iterable[object]:
        """Handle a change of hosts or zones; yield events of the table."""

    def on_tick(self, now: float) -> abc.Iterable[object]:
        """Run the table's timers; yield events."""

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Set the number of live hosts in the zone and this host's role."""
