"""Dissemination of updates: piggybacked on probes and by gossip."""

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
MIN_PAYLOAD_BYTES = 200
LEAVE_FANOUT = 32
MIN_PACKED_ITEMS = 4


class Dissemination:
    """Chooses receivers of updates and fills datagrams within a byte rate."""

    def __init__(
        self,
        rng: random.Random,
        now: float,
        config: _config.Config,
        hosts: _hosts.HostTable,
        zones: _zones.ZoneMonitor,
        updates: _updates.UpdateHandler,
        sync: _sync.Sync,
        tables: abc.Sequence[_replication.ReplicatedTable],
    ) -> None:
        self._rng = rng
        self._cfg = config
        self._hosts = hosts
        self._zones = zones
        self._updates = updates
        self._sync = sync
        self._tables = tables
        self._cursor = 0
        self._budget = _sync.TokenBucket(
            config.bulk_bytes_per_s, config.bulk_burst_bytes, now
        )

    def available_bytes(self, now: float) -> float:
        """Return how many bytes of gossip and records may be sent now."""
        return self._budget.available_bytes(now)

    def ping(
        self, host: _host.Host, sequence: int, now: float
    ) -> _events.Send:
        """Return a ping with piggybacked updates."""
        me = self._updates.me
        roots = self._sync.roots()
        items = self.piggyback(host, now)
        return _events.Send(
            host.address,
            _messages.Ping(me.id, me.incarnation, sequence, roots, items),
        )

    def piggyback(self, host: _host.Host, now: float) -> tuple[bytes, ...]:
        """Return the records to piggyback on a message to ``host``.

        A host that isn't alive receives its own record, so that it can
        refute it; a recently started sender includes its own record.
        """
        items: tuple[bytes, ...] = ()
        if host.state is not _host.HostState.ALIVE:
            items = (self._hosts.encoded(host.id),)
        if self._updates.is_recently_started(now):
            items += (self._hosts.encoded(self._updates.me.id),)
        if host.zone != self._updates.me.zone:
            return items
        budget = self._cfg.piggyback_bytes - sum(map(len, items))
        return items + self._take(budget, other_zones=False)

    def _take(self, budget: int, other_zones: bool) -> tuple[bytes, ...]:
        """Take pending updates of all tables, up to ``budget`` bytes."""
        items: list[bytes] = []
        # Start with another table each time, so that none is starved.
        self._cursor += 1
        count = len(self._tables)
        for step in range(count):
            pending = self._tables[(self._cursor + step) % count].pending
            if not len(pending):
                continue
            buffer = pending.other_zones if other_zones else pending.own_zone
            taken = buffer.take(budget)
            items += taken
            budget -= sum(map(len, taken)) + 3 * len(taken)
        return tuple(items)

    def gossip(self, now: float) -> abc.Iterator[_events.Send]:
        """Send updates within the zone and, as a relay, to other zones."""
        if not any(len(table.pending) for table in self._tables):
            return
        yield from self._gossip_in_zone(now)
        if self._updates.is_relay:
            yield from self._gossip_across_zones(now)

    def _gossip_in_zone(self, now: float) -> abc.Iterator[_events.Send]:
        """Send updates to some hosts of the own zone, one of them a relay."""
        others = self._others(self._hosts.live_in(self._updates.me.zone))
        if not others:
            # The zone has no other host: count the updates as sent.
            self._take(self._cfg.datagram_bytes, other_zones=False)
            return
        fanout = min(self._cfg.gossip_fanout, len(others))
        targets = self._rng.sample(others, fanout)
        relays = self._others(self._zones.relays(self._updates.me.zone))
        if relays and fanout < len(others):
            targets[-1] = self._rng.choice(relays)
        for host in targets:
            size = self._payload_bytes(1, now)
            items = self._take(size, other_zones=False) if size else ()
            if items:
                yield from self._send(host, items)

    def _gossip_across_zones(self, now: float) -> abc.Iterator[_events.Send]:
        """Send updates to one relay of each other zone."""
        targets = [
            self._rng.choice(relays)
            for zone in sorted(self._hosts.zones())
            if zone != self._updates.me.zone
            and (relays := self._zones.relays(zone))
        ]
        size = self._payload_bytes(max(1, len(targets)), now)
        items = self._take(size, other_zones=True) if size else ()
        if items:
            for host in targets:
                yield from self._send(host, items)

    def _payload_bytes(self, receivers: int, now: float) -> int:
        """Return the size of uncompressed records for each receiver, in bytes.

        It is twice the share of the byte rate, since many records deflate
        to less than half.
        """
        share = int(2 * self._budget.available_bytes(now) / receivers)
        size = min(share, _sync.RAW_CHUNK_BYTES) - MESSAGE_OVERHEAD_BYTES
        return size if size >= MIN_PAYLOAD_BYTES else 0

    def _send(
        self, host: _host.Host, items: tuple[bytes, ...]
    ) -> abc.Iterator[_events.Send]:
        """Send updates, compressed if they are many, and count the bytes."""
        me = self._updates.me.id
        size = sum(map(len, items))
        if len(items) < MIN_PACKED_ITEMS:
            self._spend(size)
            yield _events.Send(host.address, _messages.Gossip(me, items))
            return
        limit = self._cfg.datagram_bytes - MESSAGE_OVERHEAD_BYTES
        for packed in _sync.pack(items, limit):
            self._spend(len(packed))
            msg = _messages.PackedGossip(me, packed)
            yield _events.Send(host.address, msg)

    def _spend(self, size: int) -> None:
        """Charge one datagram with its overhead to the byte rate."""
        overhead = MESSAGE_OVERHEAD_BYTES + UDP_OVERHEAD_BYTES
        self._budget.spend(size + overhead)

    def bulk(
        self,
        to: ids.Address,
        messages: abc.Iterable[_messages.Buckets | _messages.Records],
    ) -> abc.Iterator[_events.Send]:
        """Send messages of a table comparison and count the bytes."""
        for msg in messages:
            body = (
                msg.packed
                if isinstance(msg, _messages.Records)
                else msg.hashes
            )
            self._spend(len(body))
            yield _events.Send(to, msg)

    def _others(self, hosts: list[_host.Host]) -> list[_host.Host]:
        """Return ``hosts`` without this host."""
        return [host for host in hosts if host.id != self._updates.me.id]

    def announce_leave(self) -> abc.Iterator[_events.Send]:
        """Send the leave to the own zone and to the relays of others now."""
        zone = self._updates.me.zone
        near = self._others(self._hosts.live_in(zone))
        targets = self._rng.sample(near, min(LEAVE_FANOUT, len(near)))
        for other in sorted(self._hosts.zones()):
            if other != zone:
                targets += self._zones.relays(other)
        items = (self._hosts.encoded(self._updates.me.id),)
        for host in targets:
            yield from self._send(host, items)
