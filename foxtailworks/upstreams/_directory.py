"""Directory of the upstreams known to one host."""

from collections import abc
import itertools
import random

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _announcing
from foxtailworks.upstreams import _candidates
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _health
from foxtailworks.upstreams import _leases
from foxtailworks.upstreams import _lifecycle
from foxtailworks.upstreams import _messages
from foxtailworks.upstreams import _reachability
from foxtailworks.upstreams import _record
from foxtailworks.upstreams import _suspicions
from foxtailworks.upstreams import _table

_State = _record.UpstreamState


class Directory:
    """Directory of one host, which membership replicates as a table.

    Each call returns actions and events; the state has changed when the call
    returns.

    :param me: id of this host
    :param zone: availability zone of this host
    :param rng: source of all random choices
    :param now: monotonic seconds
    :param config: intervals and bounds
    """

    tags = frozenset({170, 171})

    def __init__(
        self,
        me: ids.HostId,
        zone: ids.ZoneId,
        rng: random.Random,
        now: float,
        config: _config.Config | None = None,
    ) -> None:
        self._me = me
        self._cfg = config or _config.Config()
        self._table = _table.UpstreamTable(self._cfg)
        self._leases = _leases.Leases(me, now, self._cfg)
        self._suspicions = _suspicions.SuspicionTracker(
            me, self._cfg, self._table.queue
        )
        self._candidates = _candidates.Candidates(
            zone, rng, self._cfg, self._suspicions
        )
        self._reachability = _reachability.Reachability()
        self._lifecycle = _lifecycle.Lifecycle(
            me, self._table, self._leases, self._candidates, self._reachability
        )
        self.pending = self._table.pending
        self.hashes = self._table.hashes

    # New and established work.

    def candidates(
        self, customer: ids.CustomerId, service: ids.ServiceId, now: float
    ) -> tuple[_candidates.Candidate, ...]:
        """Return the upstreams that may get new work of a service.

        Unreachable ones are left out unless there are no others.
        """
        key = _record.ServiceKey(customer, service)
        found = self._candidates.cached(key, now)
        if found is not None:
            return found
        usable = [
            item
            for item in self._table.of_service(key)
            if self._reachability.takes_work(item)
        ]
        reachable = [
            item
            for item in usable
            if not self._reachability.is_unreachable(item)
        ]
        return self._candidates.compute(key, reachable or usable, now)

    def upstreams(
        self, customer: ids.CustomerId, service: ids.ServiceId
    ) -> tuple[_record.Upstream, ...]:
        """Return the open upstreams of a service, sorted by address.

        Health isn't taken into account, so that hosts with the same records
        return the same upstreams.
        """
        key = _record.ServiceKey(customer, service)
        found = self._table.of_service(key)
        return tuple(sorted(found, key=lambda item: item.address))

    def get(self, upstream_id: ids.UpstreamId) -> _record.Upstream | None:
        """Return the record of an upstream that may continue its work.

        It is ``None`` once the upstream has ended, expired or lost its
        address to another one.
        """
        return self._table.by_id(upstream_id)

    def lapsed(self) -> frozenset[ids.Address]:
        """Return the addresses of the upstreams that are lapsed.

        Their lifetime is over on this host, but their unreachable holder may
        have renewed it. They get no new work until the holder is reachable
        again.
        """
        return frozenset(self._reachability.lapsed)

    def all(self) -> tuple[_record.Upstream, ...]:
        """Return all records, tombstones included, sorted by address."""
        return tuple(sorted(self._table.all(), key=lambda item: item.address))

    def version(self) -> int:
        """Return a number that changes whenever any candidates change."""
        return self._candidates.version

    def records_version(self) -> int:
        """Return a number that changes with records, health states and zones.

        Weights alone don't change it.
        """
        return self._candidates.records_version

    def on_placed(self, upstream_id: ids.UpstreamId, now: float) -> None:
        """Count new work, of which a half-open upstream gets little."""
        health = self._candidates.health(upstream_id)
        if health is not None and health.on_placed():
            self._invalidate(upstream_id)

    def record_outcome(
        self,
        upstream_id: ids.UpstreamId,
        outcome: _health.Outcome,
        latency_ms: float,
        now: float,
    ) -> None:
        """Record the outcome of one piece of work.

        :param latency_ms: time to the outcome, for a timeout the time waited
        """
        health = self._candidates.health(upstream_id)
        if health is None:
            return
        health.refresh(now)
        if health.record_outcome(outcome, latency_ms, now):
            self._invalidate(upstream_id)
            if self._cfg.share_suspicions:
                self._suspicions.report(
                    upstream_id, health.is_unresponsive, now
                )

    def health_of(
        self, upstream_id: ids.UpstreamId
    ) -> _health.HealthState | None:
        """Return the health state of an upstream on this host.

        It is ``None`` for an upstream that isn't open.
        """
        health = self._candidates.health(upstream_id)
        return health.state if health is not None else None

    def _invalidate(self, upstream_id: ids.UpstreamId) -> None:
        """Invalidate the cached candidates of an upstream's service."""
        upstream = self._table.by_id(upstream_id)
        if upstream is not None:
            self._candidates.invalidate(upstream.key)

    # Announcements.

    def announce(
        self, announcement: _record.Announcement, now: float
    ) -> abc.Iterator[object]:
        """Handle an announcement received from the upstream itself.

        A rejected one yields an :class:`AnnouncementRefused`.
        """
        old = self._table.get(announcement.address)
        if old is None and not self._table.has_room():
            return iter((_announcing.make_refusal(announcement, old),))
        if old is None or announcement.incarnation > old.incarnation:
            return self._lifecycle.merge(
                _announcing.first_record(announcement, self._me), now
            )
        if announcement.key != old.key:
            return self._on_conflict(announcement, old, now)
        is_older = announcement.incarnation < old.incarnation
        if is_older or old.state is _State.ENDED:
            return iter((_announcing.make_refusal(announcement, old),))
        self._report_load(old, announcement.load, now)
        new = _announcing.next_record(announcement, old)
        if new == old and not self._reachability.is_uncertain(old):
            return self._renew(old, announcement.load, now)
        return self._lifecycle.merge(
            new.with_changes(sequence=old.sequence + 1, holder=self._me), now
        )

    def _on_conflict(
        self,
        announcement: _record.Announcement,
        old: _record.Upstream,
        now: float,
    ) -> abc.Iterator[object]:
        """Reject an announcement of another service than the recorded one.

        Two services under one incarnation end it.
        """
        events: abc.Iterator[object] = iter(())
        if announcement.incarnation == old.incarnation:
            events = self._lifecycle.merge(
                _announcing.first_record(announcement, self._me), now
            )
        refused = _announcing.make_refusal(announcement, old)
        return itertools.chain(events, (refused,))

    def _renew(
        self, old: _record.Upstream, load: float | None, now: float
    ) -> abc.Iterator[object]:
        """Renew a lifetime at its holder, or take it over from a lost one."""
        if old.holder == self._me:
            self._leases.renew(old, now)
            return iter(())
        state = self._leases.holder_state(old.holder)
        if state is _leases.HolderState.LIVE:
            renew = _messages.Renew(old.address, old.incarnation, load)
            to = self._leases.address_of(old.holder)
            return iter((membership.Send(to, renew),))
        return self._lifecycle.merge(
            old.with_changes(sequence=old.sequence + 1, holder=self._me), now
        )

    def on_message(
        self, src: ids.Address, msg: object, now: float
    ) -> abc.Iterator[object]:
        """Handle a message from another host's directory."""
        if isinstance(msg, _messages.Renew):
            old = self._table.get(msg.address)
            is_held = old is not None and old.holder == self._me
            if old is not None and is_held and old.is_open:
                if old.incarnation == msg.incarnation:
                    self._leases.renew(old, now)
                    self._report_load(old, msg.load, now)
        return iter(())

    def _report_load(
        self, upstream: _record.Upstream, load: float | None, now: float
    ) -> None:
        """Record the load that an upstream reported, if any."""
        health = self._candidates.health(upstream.id)
        if health is not None and load is not None:
            health.report_load(load, now)

    def drain(
        self, upstream_id: ids.UpstreamId, now: float
    ) -> abc.Iterator[object]:
        """Mark an upstream as draining, so that no host gives it new work."""
        return self._lifecycle.advance(upstream_id, _State.DRAINING, now)

    def deregister(
        self, upstream_id: ids.UpstreamId, now: float
    ) -> abc.Iterator[object]:
        """Mark an upstream as ended, since it has deregistered."""
        return self._lifecycle.advance(upstream_id, _State.ENDED, now)

    # Records.

    @property
    def changed_at(self) -> float:
        """Monotonic time of the last change."""
        return self._table.changed_at

    def decode(self, item: bytes) -> _record.Upstream | _messages.Suspicion:
        """Decode the record in ``item``.

        :raises FoxtailError: the item is malformed
        """
        record: _record.Upstream | _messages.Suspicion
        record = _messages.CODEC.decode(item)
        return record

    def merge(
        self,
        record: _record.Upstream | _messages.Suspicion,
        scope: membership.GossipScope,
        now: float,
    ) -> abc.Iterator[object]:
        """Merge a record that another host sent."""
        if isinstance(record, _messages.Suspicion):
            if self._suspicions.merge(record, now):
                self._invalidate(record.upstream)
            return iter(())
        return self._lifecycle.merge(record, now, scope)

    def items_of(self, bucket: int) -> abc.Iterable[bytes]:
        """Return the encoded records of ``bucket``, tombstones included."""
        return self._table.items_of(bucket)

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Set the number of live hosts in the zone and this host's role."""
        self._table.set_role(zone_hosts, is_relay)

    def on_tick(self, now: float) -> abc.Iterator[object]:
        """Expire upstreams and suspicions whose lifetime is over."""
        self._table.remove_old_tombstones(now)
        for upstream_id in self._suspicions.on_tick(now):
            self._invalidate(upstream_id)
        events: list[object] = []
        for address in self._leases.pop_expired(now):
            events += self._lifecycle.expire(address, now)
        return iter(events)

    def on_event(self, event: object, now: float) -> abc.Iterator[object]:
        """Update which hosts and availability zones are reachable."""
        return self._lifecycle.on_event(event, now)
