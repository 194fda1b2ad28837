"""What goes out: news on probes and in datagrams of its own."""

from collections import abc
import random

from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _events
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts
from foxtailworks.membership import _messages
from foxtailworks.membership import _replication
from foxtailworks.membership import _sync
from foxtailworks.membership import _updates
from foxtailworks.membership import _zones

MESSAGE_OVERHEAD_BYTES = 90
UDP_OVERHEAD_BYTES = 28
MIN_NEWS_BYTES = 200
LEAVE_SENDS = 32
PACK_ITEMS = 4


class Dissemination:
    """Chooses receivers and fills datagrams within a rate of bytes."""

    def __init__(
        self,
        rng: random.Random,
        now: float,
        config: _config.Config,
        hosts: _hosts.HostTable,
        zones: _zones.ZoneMonitor,
        claims: _updates.UpdateHandler,
        sync: _sync.Sync,
        tables: abc.Sequence[_replication.ReplicatedTable],
    ) -> None:
        self._rng = rng
        self._cfg = config
        self._hosts = hosts
        self._zones = zones
        self._updates = claims
        self._sync = sync
        self._tables = tables
        self._cursor = 0
        self._budget = _sync.TokenBucket(
            config.bulk_bytes_per_s, config.bulk_burst_bytes, now
        )

    def left(self, now: float) -> float:
        """Return how many bytes of bulk may be sent at once."""
        return self._budget.left(now)

    def ping(
        self, host: _host.Host, sequence: int, now: float
    ) -> _events.Send:
        """Return a ping with news on it."""
        me = self._updates.me
        roots = self._sync.roots()
        items = self.for_probe(host, now)
        return _events.Send(
            host.address,
            _messages.Ping(me.id, me.incarnation, sequence, roots, items),
        )

    def for_probe(self, host: _host.Host, now: float) -> tuple[bytes, ...]:
        """Return piggybacked records for ``host``.

        A doubted host learns of the doubt, and a new one makes itself known.
        """
        items: tuple[bytes, ...] = ()
        if host.state is not _host.HostState.ALIVE:
            items = (self._hosts.item_of(host.id),)
        if self._updates.is_young(now):
            items += (self._hosts.item_of(self._updates.me.id),)
        if host.zone != self._updates.me.zone:
            return items
        budget = self._cfg.piggyback_bytes - sum(map(len, items))
        return items + self._take(budget, outer=False)

    def _take(self, budget: int, outer: bool) -> tuple[bytes, ...]:
        """Take news of all tables that fits into ``budget``."""
        items: list[bytes] = []
        # The tables take turns to come first.
        self._cursor += 1
        count = len(self._tables)
        for step in range(count):
            pending = self._tables[(self._cursor + step) % count].pending
            if not len(pending):
                continue
            lane = pending.outer if outer else pending.inner
            taken = lane.take(budget)
            items += taken
            budget -= sum(map(len, taken)) + 3 * len(taken)
        return tuple(items)

    def gossip(self, now: float) -> abc.Iterator[_events.Send]:
        """Send news to hosts of the own zone and, as relay, of others."""
        if not any(len(table.pending) for table in self._tables):
            return
        yield from self._gossip_inner(now)
        if self._updates.is_relay:
            yield from self._gossip_outer(now)

    def _gossip_inner(self, now: float) -> abc.Iterator[_events.Send]:
        """Send news to a relay and some other hosts of the own zone."""
        others = self._others(self._hosts.live_in(self._updates.me.zone))
        if not others:
            # Nobody to tell within the zone: the records count as told.
            self._take(self._cfg.datagram_bytes, outer=False)
            return
        fanout = min(self._cfg.gossip_fanout, len(others))
        targets = self._rng.sample(others, fanout)
        relays = self._others(self._zones.relays(self._updates.me.zone))
        if relays and fanout < len(others):
            targets[-1] = self._rng.choice(relays)
        for host in targets:
            size = self._size(1, now)
            items = self._take(size, outer=False) if size else ()
            if items:
                yield from self._send(host, items)

    def _gossip_outer(self, now: float) -> abc.Iterator[_events.Send]:
        """Send news to one relay of each other zone."""
        targets = [
            self._rng.choice(relays)
            for zone in sorted(self._hosts.zones())
            if zone != self._updates.me.zone
            and (relays := self._zones.relays(zone))
        ]
        size = self._size(max(1, len(targets)), now)
        items = self._take(size, outer=True) if size else ()
        if items:
            for host in targets:
                yield from self._send(host, items)

    def _size(self, receivers: int, now: float) -> int:
        """Return the bytes of records that each receiver may get now.

        Much news is deflated to less than half.
        """
        share = int(2 * self._budget.left(now) / receivers)
        size = min(share, _sync.RAW_CHUNK_BYTES) - MESSAGE_OVERHEAD_BYTES
        return size if size >= MIN_NEWS_BYTES else 0

    def _send(
        self, host: _host.Host, items: tuple[bytes, ...]
    ) -> abc.Iterator[_events.Send]:
        """Send news, deflated where it is much, and count its bytes."""
        me = self._updates.me.id
        size = sum(map(len, items))
        if len(items) < PACK_ITEMS:
            self._spend(size)
            yield _events.Send(host.address, _messages.Gossip(me, items))
            return
        limit = self._cfg.datagram_bytes - MESSAGE_OVERHEAD_BYTES
        for packed in _sync.pack(items, limit):
            self._spend(len(packed))
            msg = _messages.PackedGossip(me, packed)
            yield _events.Send(host.address, msg)

    def _spend(self, size: int) -> None:
        """Count the bytes of one datagram."""
        overhead = MESSAGE_OVERHEAD_BYTES + UDP_OVERHEAD_BYTES
        self._budget.spend(size + overhead)

    def bulk(
        self,
        to: ids.Address,
        messages: abc.Iterable[_messages.Buckets | _messages.Records],
    ) -> abc.Iterator[_events.Send]:
        """Send messages of a table comparison and count their bytes."""
        for msg in messages:
            body = (
                msg.packed
                if isinstance(msg, _messages.Records)
                else msg.hashes
            )
            self._spend(len(body))
            yield _events.Send(to, msg)

    def _others(self, hosts: list[_host.Host]) -> list[_host.Host]:
        """Return ``hosts`` without this one."""
        return [host for host in hosts if host.id != self._updates.me.id]

    def farewell(self) -> abc.Iterator[_events.Send]:
        """Tell the own zone and the relays of others of a leave at once."""
        zone = self._updates.me.zone
        near = self._others(self._hosts.live_in(zone))
        targets = self._rng.sample(near, min(LEAVE_SENDS, len(near)))
        for other in sorted(self._hosts.zones()):
            if other != zone:
                targets += self._zones.relays(other)
        items = (self._hosts.item_of(self._updates.me.id),)
        for host in targets:
            yield from self._send(host, items)
