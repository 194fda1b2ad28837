"""Replicated table of entry hosts."""

from collections import abc
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _events
from foxtailworks.membership import _host
from foxtailworks.membership import _messages
from foxtailworks.membership import _records
from foxtailworks.membership import _replication


class HostTable:
    """Records of hosts; of two records of a host the newer one wins."""

    tags = frozenset({120})

    def __init__(self, me: _host.Host, config: _config.Config) -> None:
        self._zone = me.zone
        self._hosts: dict[ids.HostId, _host.Host] = {}
        self._records: _records.EncodedRecords[ids.HostId]
        self._records = _records.EncodedRecords(
            config.max_hosts, config.tombstone_s, self._remove
        )
        self._by_zone: dict[ids.ZoneId, dict[ids.HostId, _host.Host]] = {}
        self._queue = _replication.GossipQueue()
        self.pending = self._queue.pending
        self.hashes = _replication.BucketHashes()
        self.changed_at = 0.0
        self.dropped = 0

    def __len__(self) -> int:
        """Return the number of records, tombstones included."""
        return len(self._hosts)

    def get(self, host_id: ids.HostId) -> _host.Host | None:
        """Return the record of a host, ``None`` if there is none."""
        return self._hosts.get(host_id)

    def all(self) -> abc.Iterable[_host.Host]:
        """Return all records, also of hosts that are dead or left."""
        return self._hosts.values()

    def zones(self) -> abc.Iterable[ids.ZoneId]:
        """Return every availability zone with a record."""
        return self._by_zone

    def in_zone(self, zone: ids.ZoneId) -> abc.Iterable[_host.Host]:
        """Return all records of hosts of ``zone``."""
        return self._by_zone.get(zone, {}).values()

    def live_in(self, zone: ids.ZoneId) -> list[_host.Host]:
        """Return the hosts of ``zone`` that are alive or suspected."""
        return [host for host in self.in_zone(zone) if host.is_live]

    def encoded(self, host_id: ids.HostId) -> bytes:
        """Return the encoded record of a host.

        :raises KeyError: the table has no record of it
        """
        return self._records.items[host_id]

    def ended_at(self, host_id: ids.HostId) -> float:
        """Return when a host was recorded as dead or left.

        :raises KeyError: the host is live or has no record
        """
        return self._records.ended_at[host_id]

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Set the number of live hosts in the zone and this host's role."""
        self._queue.set_role(zone_hosts, is_relay)

    def decode(self, item: bytes) -> _host.Host:
        """Decode the record in ``item``.

        :raises FoxtailError: the item is malformed
        """
        host = _messages.CODEC.decode(item)
        assert isinstance(host, _host.Host)
        return host

    def merge(
        self, record: _host.Host, scope: _replication.GossipScope, now: float
    ) -> list[object]:
        """Store a record if it supersedes the present one."""
        old = self._hosts.get(record.id)
        if old is not None and not record.supersedes(old):
            return []
        if old is None and not self._records.make_room():
            self.dropped += 1
            return []
        self._store(old, record, now)
        self._gossip(record, scope)
        return [_events.HostChanged(record, record.state)]

    def _store(
        self, old: _host.Host | None, new: _host.Host, now: float
    ) -> None:
        """Replace ``old`` by ``new`` in the table and its indexes."""
        if old is not None and not new.supersedes(old):
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "host record isn't newer", host=new.id
            )
        if old is not None and old.zone != new.zone:
            self._by_zone[old.zone].pop(new.id)
        self._hosts[new.id] = new
        self._by_zone.setdefault(new.zone, {})[new.id] = new
        item = _messages.CODEC.encode(new)
        self._records.put(new.id, item, None if new.is_live else now)
        self._hash(new)
        self.changed_at = now

    def _hash(self, host: _host.Host) -> None:
        """Update the hash of a record as if it weren't suspected.

        Suspicion stays in a zone; tables of two zones must hash alike.
        """
        if not host.is_live:
            self.hashes.set(host.id, None)
            return
        if host.state is _host.HostState.SUSPECT:
            host = host.with_changes(state=_host.HostState.ALIVE)
        self.hashes.set(host.id, _messages.CODEC.encode(host))

    def _gossip(
        self, record: _host.Host, scope: _replication.GossipScope
    ) -> None:
        """Queue a record for gossip; suspicion stays in the zone."""
        is_suspicion = record.state is _host.HostState.SUSPECT
        if is_suspicion and scope is _replication.GossipScope.EVERYWHERE:
            scope = _replication.GossipScope.ZONE
        item = self._records.items[record.id]
        self._queue.put(record.id, item, scope, urgent=not record.is_live)

    def _remove(self, host_id: ids.HostId) -> None:
        """Remove a host whose tombstone was dropped from the indexes."""
        host = self._hosts.pop(host_id)
        del self._by_zone[host.zone][host_id]
        if not self._by_zone[host.zone]:
            del self._by_zone[host.zone]

    def on_tick(self, now: float) -> list[object]:
        """Remove tombstones older than ``tombstone_s``."""
        self._records.remove_old_tombstones(now)
        return []

    def on_event(self, event: _events.Event, now: float) -> list[object]:
        """Ignore events: this table itself is their source."""
        return []

    def items_of(self, bucket: int) -> list[bytes]:
        """Return the encoded records of ``bucket``, tombstones included."""
        return self._records.items_of(bucket)
