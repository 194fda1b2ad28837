"""The replicated table of upstreams: one record for each address."""

from collections import abc

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _messages
from foxtailworks.upstreams import _record


class UpstreamTable:
    """Holds the record of each address that stands against all others."""

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._records: dict[ids.Address, _record.Upstream] = {}
        self._items: dict[ids.Address, bytes] = {}
        self._by_id: dict[ids.UpstreamId, _record.Upstream] = {}
        self._by_service: dict[
            _record.ServiceKey, dict[ids.Address, _record.Upstream]
        ] = {}
        self._buckets: dict[int, dict[ids.Address, None]] = {}
        self._ended_at: dict[ids.Address, float] = {}
        self.queue = membership.GossipQueue()
        self.pending = self.queue.pending
        self.hashes = membership.BucketHashes()
        self.changed_at = 0.0
        self.dropped = 0

    def __len__(self) -> int:
        """Return the number of records, ended ones included."""
        return len(self._records)

    def get(self, address: ids.Address) -> _record.Upstream | None:
        """Return the record of an address, ended or not."""
        return self._records.get(address)

    def by_id(self, upstream_id: ids.UpstreamId) -> _record.Upstream | None:
        """Return the record of a process that is open."""
        return self._by_id.get(upstream_id)

    def all(self) -> abc.Iterable[_record.Upstream]:
        """Return every record."""
        return self._records.values()

    def of_service(
        self, key: _record.ServiceKey
    ) -> abc.Iterable[_record.Upstream]:
        """Return the open upstreams of a service."""
        return self._by_service.get(key, {}).values()

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Learn the size of the own zone and whether this host relays."""
        self.queue.set_role(zone_hosts, is_relay)

    def has_room(self) -> bool:
        """Tell whether a new address can be taken in."""
        return len(self._records) < self._cfg.max_upstreams or bool(
            self._ended_at
        )

    def merge(
        self, new: _record.Upstream, spread: membership.GossipScope, now: float
    ) -> tuple[_record.Upstream | None, _record.Upstream] | None:
        """Take a record in; return the old and the standing one if changed."""
        old = self._records.get(new.address)
        if old is not None:
            stands = _record.resolve(old, new)
            if stands.order() <= old.order():
                return None
            new = stands
        elif not self._make_room():
            self.dropped += 1
            return None
        self._check(old, new)
        self._put(old, new, now)
        # What ends new work goes first.
        self.queue.put(
            str(new.address),
            self._items[new.address],
            spread,
            urgent=not new.takes_work,
        )
        return old, new

    def _check(
        self, old: _record.Upstream | None, new: _record.Upstream
    ) -> None:
        """Assert that no record falls back."""
        if old is not None and new.order() <= old.order():
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "upstream came back", id=new.id
            )

    def _put(
        self,
        old: _record.Upstream | None,
        new: _record.Upstream,
        now: float,
    ) -> None:
        """Hold ``new`` in the place of ``old``."""
        if old is not None:
            self._unlink(old)
        address = new.address
        name = str(address)
        item = _messages.CODEC.encode(new)
        self._records[address] = new
        self._items[address] = item
        bucket = self.hashes.bucket_of(name)
        self._buckets.setdefault(bucket, {})[address] = None
        self.hashes.set(name, item if new.is_open else None)
        self.changed_at = now
        if new.is_open:
            self._ended_at.pop(address, None)
            self._by_id[new.id] = new
            self._by_service.setdefault(new.key, {})[address] = new
        else:
            self._ended_at[address] = now

    def _unlink(self, old: _record.Upstream) -> None:
        """Take a record out of the indexes."""
        self._by_id.pop(old.id, None)
        peers = self._by_service.get(old.key, {})
        peers.pop(old.address, None)
        if not peers:
            self._by_service.pop(old.key, None)

    def _make_room(self) -> bool:
        """Forget the record that ended first when the table is full."""
        if len(self._records) < self._cfg.max_upstreams:
            return True
        if not self._ended_at:
            return False
        self._forget(min(self._ended_at, key=self._ended_at.__getitem__))
        return True

    def _forget(self, address: ids.Address) -> None:
        """Drop all that is held of an ended record."""
        del self._records[address]
        del self._items[address]
        del self._ended_at[address]
        bucket = self.hashes.bucket_of(str(address))
        del self._buckets[bucket][address]

    def forget_old(self, now: float) -> None:
        """Forget records that ended long ago."""
        limit = now - self._cfg.tombstone_s
        for address in [a for a, at in self._ended_at.items() if at < limit]:
            self._forget(address)

    def items_of(self, bucket: int) -> abc.Iterable[bytes]:
        """Return the encoded records of ``bucket``."""
        return [self._items[key] for key in self._buckets.get(bucket, ())]
