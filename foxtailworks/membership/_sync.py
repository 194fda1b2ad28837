"""Table comparison (anti-entropy) and the rate limit of bulk traffic."""

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
STARTUP_INTERVAL_S = 0.2


class TokenBucket:
    """Token bucket that counts bytes."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def available_bytes(self, now: float) -> float:
        """Return how many bytes may be sent now."""
        gained = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
        return self._tokens

    def spend(self, size: float) -> None:
        """Count bytes as sent; the balance may become negative."""
        self._tokens -= size


def pack(items: abc.Iterable[bytes], limit: int) -> abc.Iterator[bytes]:
    """Yield deflated CBOR arrays of ``items``, each within ``limit`` bytes.

    Only a single item that is too large by itself exceeds the limit.
    """
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
    """Yield ``chunk`` deflated, split in halves while it is too large."""
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
    """Inflate the items in ``packed``.

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
            errors.Code.MESSAGE_TOO_LARGE, "inflated records are too large"
        )
    if not isinstance(items, list) or not all(
        isinstance(item, bytes) for item in items
    ):
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED, "records aren't byte strings"
        )
    return items


class Sync:
    """Finds differences between two hosts' tables and sends records."""

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
        """Return the root hash of each table."""
        return tuple(table.hashes.root for table in self._tables)

    def compare(
        self, roots: tuple[int, ...], is_recently_started: bool, now: float
    ) -> abc.Iterator[_messages.Buckets]:
        """Yield the bucket hashes of tables that differ from ``roots``.

        A recently started host compares at once and often, to fill its
        tables.
        """
        mine = self.roots()
        if roots == mine or len(roots) != len(mine) or now < self._next_at:
            return
        for index, table in enumerate(self._tables):
            is_stable = now - table.changed_at >= self._cfg.sync_stable_s
            if roots[index] == mine[index] or not (
                is_stable or is_recently_started
            ):
                continue
            wait = (
                STARTUP_INTERVAL_S
                if is_recently_started
                else self._cfg.sync_interval_s
            )
            self._next_at = now + wait
            yield self._buckets(index, False)

    def _buckets(self, index: int, is_reply: bool) -> _messages.Buckets:
        """Return a message with the bucket hashes of one table."""
        hashes = self._tables[index].hashes.to_bytes()
        return _messages.Buckets(self._me, index, hashes, is_reply)

    def answer(
        self, msg: _messages.Buckets, budget: float
    ) -> abc.Iterator[_messages.Records | _messages.Buckets]:
        """Yield own records of the buckets that differ.

        :param budget: maximum size in bytes, exceeded by one message at most
        :raises FoxtailError: ``MESSAGE_MALFORMED``
        """
        size = _replication.BUCKETS * _replication.HASH_BYTES
        is_known_table = 0 <= msg.table < len(self._tables)
        if not is_known_table or len(msg.hashes) != size:
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED, "unknown table or wrong length"
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
        """Yield messages with ``items`` until ``budget`` bytes are used."""
        remaining = min(budget, float(self._cfg.sync_max_bytes))
        limit = self._cfg.datagram_bytes - HEADROOM_BYTES
        for packed in pack(items, limit):
            if remaining <= 0:
                return
            remaining -= len(packed)
            yield _messages.Records(self._me, packed)
