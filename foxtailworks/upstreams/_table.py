"""Replicated table of upstreams with one record for each address."""

from collections import abc

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _messages
from foxtailworks.upstreams import _record


class UpstreamTable:
    """Keeps the winning record of each address, and indexes of them."""

    def __init__(self, config: _config.Config) -> None:
        self._records: dict[ids.Address, _record.Upstream] = {}
        self._encoded: membership.EncodedRecords[ids.Address]
        self._encoded = membership.EncodedRecords(
            config.max_upstreams, config.tombstone_s, self._remove
        )
        self._by_id: dict[ids.UpstreamId, _record.Upstream] = {}
        self._by_service: dict[
            _record.ServiceKey, dict[ids.Address, _record.Upstream]
        ] = {}
        self.queue = membership.GossipQueue()
        self.pending = self.queue.pending
        self.hashes = membership.BucketHashes()
        self.changed_at = 0.0
        self.dropped = 0

    def __len__(self) -> int:
        """Return the number of records, tombstones included."""
        return len(self._records)

    def get(self, address: ids.Address) -> _record.Upstream | None:
        """Return the record of an address, also a tombstone."""
        return self._records.get(address)

    def by_id(self, upstream_id: ids.UpstreamId) -> _record.Upstream | None:
        """Return the record of an open upstream, ``None`` for any other."""
        return self._by_id.get(upstream_id)

    def all(self) -> abc.Iterable[_record.Upstream]:
        """Return all records, tombstones included."""
        return self._records.values()

    def of_service(
        self, key: _record.ServiceKey
    ) -> abc.Iterable[_record.Upstream]:
        """Return the open upstreams of a service."""
        return self._by_service.get(key, {}).values()

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Set the number of live hosts in the zone and this host's role."""
        self.queue.set_role(zone_hosts, is_relay)

    def has_room(self) -> bool:
        """Return whether a record of a new address can be added."""
        return self._encoded.has_room()

    def merge(
        self, new: _record.Upstream, scope: membership.GossipScope, now: float
    ) -> tuple[_record.Upstream | None, _record.Upstream] | None:
        """Merge a record; return the old and the new one if it changed."""
        old = self._records.get(new.address)
        if old is not None:
            winner = _record.resolve(old, new)
            if winner.order() <= old.order():
                return None
            new = winner
        elif not self._encoded.make_room():
            self.dropped += 1
            return None
        self._check(old, new)
        self._store(old, new, now)
        # Records that stop new work are sent before others.
        self.queue.put(
            str(new.address),
            self._encoded.items[new.address],
            scope,
            urgent=not new.takes_work,
        )
        return old, new

    def _check(
        self, old: _record.Upstream | None, new: _record.Upstream
    ) -> None:
        """Raise an error if ``new`` isn't newer than ``old``."""
        if old is not None and new.order() <= old.order():
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "upstream record isn't newer", id=new.id
            )

    def _store(
        self,
        old: _record.Upstream | None,
        new: _record.Upstream,
        now: float,
    ) -> None:
        """Replace ``old`` by ``new`` in the table and its indexes."""
        if old is not None:
            self._unlink(old)
        address = new.address
        name = str(address)
        item = _messages.CODEC.encode(new)
        self._records[address] = new
        self._encoded.put(address, item, None if new.is_open else now)
        self.hashes.set(name, item if new.is_open else None)
        self.changed_at = now
        if new.is_open:
            self._by_id[new.id] = new
            self._by_service.setdefault(new.key, {})[address] = new

    def _unlink(self, old: _record.Upstream) -> None:
        """Remove a record from the indexes by id and by service."""
        self._by_id.pop(old.id, None)
        peers = self._by_service.get(old.key, {})
        peers.pop(old.address, None)
        if not peers:
            self._by_service.pop(old.key, None)

    def _remove(self, address: ids.Address) -> None:
        """Remove a record whose tombstone has been dropped."""
        del self._records[address]

    def remove_old_tombstones(self, now: float) -> None:
        """Remove tombstones older than ``tombstone_s``."""
        self._encoded.remove_old_tombstones(now)

    def items_of(self, bucket: int) -> abc.Iterable[bytes]:
        """Return the encoded records of ``bucket``, tombstones included."""
        return self._encoded.items_of(bucket)
