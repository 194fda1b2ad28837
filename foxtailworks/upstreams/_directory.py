"""Directory of the upstreams that one host knows."""

from collections import abc
import itertools
import random

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _announcing
from foxtailworks.upstreams import _candidates
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _events
from foxtailworks.upstreams import _health
from foxtailworks.upstreams import _leases
from foxtailworks.upstreams import _messages
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
        self._lapsed: set[ids.Address] = set()
        self._unreachable_zones: set[ids.ZoneId] = set()
        # Announced here although their zone is unreachable.
        self._reachable: set[ids.Address] = set()
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
            if item.takes_work and item.address not in self._lapsed
        ]
        reachable = [item for item in usable if not self._is_unreachable(item)]
        return self._candidates.compute(key, reachable or usable, now)

    def _is_unreachable(self, item: _record.Upstream) -> bool:
        """Return whether an upstream's zone is unreachable.

        An upstream that was announced here since then is reachable.
        """
        return (
            item.zone in self._unreachable_zones
            and item.address not in self._reachable
        )

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
        return frozenset(self._lapsed)

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
            return self._merge_record(
                _announcing.first_record(announcement, self._me), now
            )
        if announcement.key != old.key:
            return self._on_conflict(announcement, old, now)
        is_older = announcement.incarnation < old.incarnation
        if is_older or old.state is _State.ENDED:
            return iter((_announcing.make_refusal(announcement, old),))
        self._report_load(old, announcement.load, now)
        new = _announcing.next_record(announcement, old)
        is_uncertain = old.address in self._lapsed or self._is_unreachable(old)
        if new == old and not is_uncertain:
            return self._renew(old, announcement.load, now)
        return self._merge_record(
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
            events = self._merge_record(
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
        return self._merge_record(
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
        return self._advance(upstream_id, _State.DRAINING, now)

    def deregister(
        self, upstream_id: ids.UpstreamId, now: float
    ) -> abc.Iterator[object]:
        """Mark an upstream as ended, since it has deregistered."""
        return self._advance(upstream_id, _State.ENDED, now)

    def _advance(
        self, upstream_id: ids.UpstreamId, state: _State, now: float
    ) -> abc.Iterator[object]:
        """Move an upstream to a later stage, unless it is there already."""
        old = self._table.by_id(upstream_id)
        if old is None or old.state.value >= state.value:
            return iter(())
        new = old.with_changes(
            state=state, sequence=old.sequence + 1, holder=self._me
        )
        return self._merge_record(new, now)

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
        return self._merge_record(record, now, scope)

    def _merge_record(
        self,
        new: _record.Upstream,
        now: float,
        scope: membership.GossipScope = membership.GossipScope.EVERYWHERE,
    ) -> abc.Iterator[object]:
        """Merge an upstream's record; return events for what it changed."""
        merged = self._table.merge(new, scope, now)
        if merged is None:
            return iter(())
        old, winner = merged
        events = []
        if old is not None:
            self._leases.stop(old)
            self._lapsed.discard(old.address)
            self._candidates.invalidate(old.key)
            if old.is_open and (old.id != winner.id or not winner.is_open):
                self._candidates.drop(old)
            if old.id != winner.id and old.is_open:
                ended = old.with_changes(state=_State.ENDED)
                events.append(self._event(ended))
        if winner.zone in self._unreachable_zones:
            self._reachable.add(winner.address)
        if winner.is_open:
            self._leases.start(winner, now)
            if self._candidates.health(winner.id) is None:
                self._candidates.add(winner, True, now)
        self._candidates.invalidate(winner.key)
        events.append(self._event(winner))
        return iter(events)

    def _event(self, upstream: _record.Upstream) -> _events.UpstreamChanged:
        """Return an event with the present state of ``upstream``."""
        takes_work = upstream.takes_work
        takes_work = takes_work and upstream.address not in self._lapsed
        return _events.UpstreamChanged(
            upstream.id, upstream, takes_work, upstream.is_open
        )

    def items_of(self, bucket: int) -> abc.Iterable[bytes]:
        """Return the encoded records of ``bucket``, tombstones included."""
        return self._table.items_of(bucket)

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Set the number of live hosts in the zone and this host's role."""
        self._table.set_role(zone_hosts, is_relay)

    def on_tick(self, now: float) -> abc.Iterator[object]:
        """Expire upstreams and suspicions whose lifetime is over."""
        self._table.forget_old(now)
        for upstream_id in self._suspicions.on_tick(now):
            self._invalidate(upstream_id)
        events: list[object] = []
        for address in self._leases.pop_expired(now):
            events += self._expire(address, now)
        return iter(events)

    def _expire(
        self, address: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Expire an upstream; with an unreachable holder it lapses first."""
        old = self._table.get(address)
        if old is None or not old.is_open:
            return iter(())
        state = self._leases.holder_state(old.holder)
        is_first_time = address not in self._lapsed
        if state is _leases.HolderState.UNREACHED and is_first_time:
            self._lapsed.add(address)
            self._leases.lapse(old, now)
            self._candidates.invalidate(old.key)
            return iter((self._event(old),))
        new = old.with_changes(expired=True, sequence=old.sequence + 1)
        return self._merge_record(new, now)

    def on_event(self, event: object, now: float) -> abc.Iterator[object]:
        """Update which hosts and availability zones are reachable."""
        if isinstance(event, membership.ZoneChanged):
            change = (
                self._unreachable_zones.discard
                if event.reachable
                else self._unreachable_zones.add
            )
            change(event.zone)
            self._reachable = {
                address
                for address in self._reachable
                if (item := self._table.get(address)) is not None
                and item.zone in self._unreachable_zones - {event.zone}
            }
            self._candidates.invalidate_all()
        events: list[object] = []
        for address in self._leases.on_event(event, now):
            old = self._table.get(address)
            if address in self._lapsed and old is not None:
                self._lapsed.discard(address)
                self._candidates.invalidate(old.key)
                events.append(self._event(old))
        return iter(events)
