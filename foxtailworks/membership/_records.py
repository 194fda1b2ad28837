"""Encoded records of a replicated table, with tombstones and a bound."""

from collections import abc
import typing

from foxtailworks.membership import _replication

Key = typing.TypeVar("Key", bound=abc.Hashable)


class EncodedRecords(typing.Generic[Key]):
    """Encoded records by key and bucket.

    A tombstone is the record of something that has ended. It is kept for a
    while, so that older records don't revive it.

    :param capacity: maximum number of records, tombstones included
    :param tombstone_s: lifetime of a tombstone in seconds
    :param on_removed: called with the key of each tombstone that is removed
    """

    def __init__(
        self,
        capacity: int,
        tombstone_s: float,
        on_removed: abc.Callable[[Key], None],
    ) -> None:
        self._capacity = capacity
        self._tombstone_s = tombstone_s
        self._on_removed = on_removed
        self._buckets: dict[int, dict[Key, None]] = {}
        self.items: dict[Key, bytes] = {}
        """Encoded record of each key."""
        self.ended_at: dict[Key, float] = {}
        """Time from which a record is a tombstone."""

    def put(self, key: Key, item: bytes, ended_at: float | None) -> None:
        """Store a record; with a time of its end it is a tombstone."""
        self.items[key] = item
        bucket = _replication.BucketHashes.bucket_of(str(key))
        self._buckets.setdefault(bucket, {})[key] = None
        if ended_at is None:
            self.ended_at.pop(key, None)
        else:
            self.ended_at[key] = ended_at

    def has_room(self) -> bool:
        """Return whether ``make_room`` would succeed."""
        return len(self.items) < self._capacity or bool(self.ended_at)

    def make_room(self) -> bool:
        """Return whether a record fits, dropping the oldest tombstone."""
        if len(self.items) < self._capacity:
            return True
        if not self.ended_at:
            return False
        self._remove(min(self.ended_at, key=self.ended_at.__getitem__))
        return True

    def remove_old_tombstones(self, now: float) -> None:
        """Remove tombstones older than their lifetime."""
        limit = now - self._tombstone_s
        for key in [k for k, at in self.ended_at.items() if at < limit]:
            self._remove(key)

    def _remove(self, key: Key) -> None:
        """Remove a tombstone."""
        del self.items[key]
        del self.ended_at[key]
        del self._buckets[_replication.BucketHashes.bucket_of(str(key))][key]
        self._on_removed(key)

    def items_of(self, bucket: int) -> list[bytes]:
        """Return the encoded records of ``bucket``, tombstones included."""
        return [self.items[key] for key in self._buckets.get(bucket, ())]
