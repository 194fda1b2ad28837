"""Comparison of whole tables, and the rate that bulk traffic keeps to."""

from collections import abc
import random
import zlib

import cbor2

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _messages
from foxtailworks.membership import _replication

RAW_CHUNK_BYTES = 3_000
MAX_RAW_BYTES = 16_384
HEADROOM_BYTES = 100
YOUNG_INTERVAL_S = 0.2


class TokenBucket:
    """A token bucket of bytes."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def left(self, now: float) -> float:
        """Return how many bytes may be sent at once."""
        gained = max(0.0, now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = now
        return self._tokens

    def spend(self, size: float) -> None:
        """Count bytes as sent; the balance may fall below zero."""
        self._tokens -= size


def pack(items: abc.Iterable[bytes], limit: int) -> abc.Iterator[bytes]:
    """Yield deflated arrays of ``items``, each within ``limit`` bytes."""
    chunk: list[bytes] = []
    size = 0
    for item in items:
        if size + len(item) > RAW_CHUNK_BYTES:
            yield from _deflate(chunk, limit)
            chunk, size = [], 0
        chunk.append(item)
        size += len(item)
    yield from _deflate(chunk, limit)


def _deflate(chunk: list[bytes], limit: int) -> abc.Iterator[bytes]:
    """Yield ``chunk`` deflated, in halves where it is too large."""
    if not chunk:
        return
    packed = zlib.compress(cbor2.dumps(chunk), level=6)
    if len(packed) <= limit or len(chunk) == 1:
        yield packed
        return
    middle = len(chunk) // 2
    yield from _deflate(chunk[:middle], limit)
    yield from _deflate(chunk[middle:], limit)


def unpack(packed: bytes) -> list[bytes]:
    """Return the items in ``packed``.

    :raises FoxtailError: ``MESSAGE_MALFORMED``, ``MESSAGE_TOO_LARGE``
    """
    try:
        inflater = zlib.decompressobj()
        raw = inflater.decompress(packed, MAX_RAW_BYTES)
        items = cbor2.loads(raw)
    except Exception as exc:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED, "records can't be inflated"
        ) from exc
    if inflater.unconsumed_tail:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_TOO_LARGE, "records inflate too far"
        )
    if not isinstance(items, list) or not all(
        isinstance(item, bytes) for item in items
    ):
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED, "records aren't byte strings"
        )
    return items


class Sync:
    """Finds and answers differences between two hosts' tables."""

    def __init__(
        self,
        me: ids.HostId,
        rng: random.Random,
        config: _config.Config,
        tables: abc.Sequence[_replication.ReplicatedTable],
    ) -> None:
        self._me = me
        self._rng = rng
        self._cfg = config
        self._tables = tables
        self._next_at = 0.0

    def roots(self) -> tuple[int, ...]:
        """Return the hash of each table."""
        return tuple(table.hashes.root for table in self._tables)

    def compare(
        self, roots: tuple[int, ...], is_young: bool, now: float
    ) -> abc.Iterator[_messages.Buckets]:
        """Yield the hashes of tables that differ from ``roots``.

        A young host compares at once and often, to fill its tables.
        """
        mine = self.roots()
        if roots == mine or len(roots) != len(mine) or now < self._next_at:
            return
        for index, table in enumerate(self._tables):
            quiet = now - table.changed_at >= self._cfg.sync_quiet_s
            if roots[index] == mine[index] or not (quiet or is_young):
                continue
            wait = YOUNG_INTERVAL_S if is_young else self._cfg.sync_interval_s
            self._next_at = now + wait
            yield self._buckets(index, False)

    def _buckets(self, index: int, is_reply: bool) -> _messages.Buckets:
        """Return the hashes of one table."""
        hashes = self._tables[index].hashes.to_bytes()
        return _messages.Buckets(self._me, index, hashes, is_reply)

    def answer(
        self, msg: _messages.Buckets, budget: float
    ) -> abc.Iterator[_messages.Records | _messages.Buckets]:
        """Yield own records of the buckets that differ, within ``budget``.

        :raises FoxtailError: ``MESSAGE_MALFORMED``
        """
        size = _replication.BUCKETS * _replication.HASH_BYTES
        known = 0 <= msg.table < len(self._tables)
        if not known or len(msg.hashes) != size:
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED, "hashes of no table"
            )
        table = self._tables[msg.table]
        differing = table.hashes.differing(msg.hashes)
        if not differing:
            return
        if not msg.is_reply:
            yield self._buckets(msg.table, True)
        self._rng.shuffle(differing)
        items = (
            item for bucket in differing for item in table.items_of(bucket)
        )
        yield from self.records(items, budget)

    def records(
        self, items: abc.Iterable[bytes], budget: float
    ) -> abc.Iterator[_messages.Records]:
        """Yield ``items`` as messages until ``budget`` bytes are used."""
        left = min(budget, float(self._cfg.sync_max_bytes))
        limit = self._cfg.datagram_bytes - HEADROOM_BYTES
        for packed in pack(items, limit):
            if left <= 0:
                return
            left -= len(packed)
            yield _messages.Records(self._me, packed)
