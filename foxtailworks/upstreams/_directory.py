"""The upstreams that a host knows of, and which may take new work."""

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
    """The directory of one host; spread by membership as a replica.

    Each call returns the actions it asks for; the state has changed when
    the call returns.

    :param me: id of this host
    :param zone: availability zone of this host
    :param rng: source of all choices
    :param now: seconds of a monotonic clock
    :param config: times and bounds
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
        self._cut: set[ids.ZoneId] = set()
        # Heard of on this side since their zone was cut off.
        self._reached: set[ids.Address] = set()
        self.pending = self._table.pending
        self.hashes = self._table.hashes

    # New and established work.

    def candidates(
        self, customer: ids.CustomerId, service: ids.ServiceId, now: float
    ) -> tuple[_candidates.Candidate, ...]:
        """Return the upstreams that new work of a service may go to.

        Those behind a cut are left out unless nothing else is left.
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
        near = [item for item in usable if not self._is_behind_cut(item)]
        return self._candidates.compute(key, near or usable, now)

    def _is_behind_cut(self, item: _record.Upstream) -> bool:
        """Tell whether an upstream's zone is cut off and it is unheard."""
        return item.zone in self._cut and item.address not in self._reached

    def upstreams(
        self, customer: ids.CustomerId, service: ids.ServiceId
    ) -> tuple[_record.Upstream, ...]:
        """Return the open upstreams of a service, sorted by address.

        Health plays no part: hosts that know the same records return the
        same upstreams.
        """
        key = _record.ServiceKey(customer, service)
        found = self._table.of_service(key)
        return tuple(sorted(found, key=lambda item: item.address))

    def get(self, upstream_id: ids.UpstreamId) -> _record.Upstream | None:
        """Return an upstream that established work may go on at.

        ``None`` once it has ended, expired or lost its address.
        """
        return self._table.by_id(upstream_id)

    def lapsed(self) -> frozenset[ids.Address]:
        """Return the upstreams in doubt because their holder is cut off.

        They get no new work; each comes back when its holder does.
        """
        return frozenset(self._lapsed)

    def all(self) -> tuple[_record.Upstream, ...]:
        """Return every record, ended ones included, sorted by address."""
        return tuple(sorted(self._table.all(), key=lambda item: item.address))

    def version(self) -> int:
        """Return a number that changes whenever candidates do."""
        return self._candidates.version

    def records_version(self) -> int:
        """Return a number that weights alone don't change.

        It changes with records, health states and cuts.
        """
        return self._candidates.records_version

    def on_placed(self, upstream_id: ids.UpstreamId, now: float) -> None:
        """Count new work: one that returns from back-off gets little."""
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
        """Take in how work went.

        :param latency_ms: time to the outcome, for silence the time waited
        """
        health = self._candidates.health(upstream_id)
        if health is None:
            return
        health.refresh(now)
        if health.observe(outcome, latency_ms, now):
            self._invalidate(upstream_id)
            if self._cfg.share_suspicions:
                self._suspicions.tell(upstream_id, health.is_silent, now)

    def health_of(
        self, upstream_id: ids.UpstreamId
    ) -> _health.HealthState | None:
        """Return the health of an upstream as this host sees it."""
        health = self._candidates.health(upstream_id)
        return health.state if health is not None else None

    def _invalidate(self, upstream_id: ids.UpstreamId) -> None:
        """Compute candidates anew after a change of health."""
        upstream = self._table.by_id(upstream_id)
        if upstream is not None:
            self._candidates.invalidate(upstream.key)

    # Announcements.

    def announce(
        self, announcement: _record.Announcement, now: float
    ) -> abc.Iterator[object]:
        """Take an announcement in, from the upstream itself.

        It may be answered with an :class:`AnnouncementRefused`.
        """
        old = self._table.get(announcement.address)
        if old is None and not self._table.has_room():
            return iter((_announcing.refuse(announcement, old),))
        if old is None or announcement.incarnation > old.incarnation:
            return self._change(
                _announcing.first_record(announcement, self._me), now
            )
        if announcement.key != old.key:
            return self._on_clash(announcement, old, now)
        is_older = announcement.incarnation < old.incarnation
        if is_older or old.state is _State.ENDED:
            return iter((_announcing.refuse(announcement, old),))
        self._hint(old, announcement.load, now)
        new = _announcing.next_record(announcement, old)
        is_doubted = old.address in self._lapsed or self._is_behind_cut(old)
        if new == old and not is_doubted:
            return self._renew(old, announcement.load, now)
        return self._change(
            new.with_changes(sequence=old.sequence + 1, holder=self._me), now
        )

    def _on_clash(
        self,
        announcement: _record.Announcement,
        old: _record.Upstream,
        now: float,
    ) -> abc.Iterator[object]:
        """End an incarnation that two services claim; refuse the other."""
        events: abc.Iterator[object] = iter(())
        if announcement.incarnation == old.incarnation:
            events = self._change(
                _announcing.first_record(announcement, self._me), now
            )
        refused = _announcing.refuse(announcement, old)
        return itertools.chain(events, (refused,))

    def _renew(
        self, old: _record.Upstream, load: float | None, now: float
    ) -> abc.Iterator[object]:
        """Extend a lifetime, at its holder or, if it is lost, here."""
        if old.holder == self._me:
            self._leases.renew(old, now)
            return iter(())
        state = self._leases.holder_state(old.holder)
        if state is _leases.HolderState.LIVE:
            renew = _messages.Renew(old.address, old.incarnation, load)
            to = self._leases.address_of(old.holder)
            return iter((membership.Send(to, renew),))
        return self._change(
            old.with_changes(sequence=old.sequence + 1, holder=self._me), now
        )

    def on_message(
        self, src: ids.Address, msg: object, now: float
    ) -> abc.Iterator[object]:
        """Take a message of another host's directory in."""
        if isinstance(msg, _messages.Renew):
            old = self._table.get(msg.address)
            is_held = old is not None and old.holder == self._me
            if old is not None and is_held and old.is_open:
                if old.incarnation == msg.incarnation:
                    self._leases.renew(old, now)
                    self._hint(old, msg.load, now)
        return iter(())

    def _hint(
        self, upstream: _record.Upstream, load: float | None, now: float
    ) -> None:
        """Note a reported load."""
        health = self._candidates.health(upstream.id)
        if health is not None and load is not None:
            health.hint(load, now)

    def drain(
        self, upstream_id: ids.UpstreamId, now: float
    ) -> abc.Iterator[object]:
        """Give an upstream no new work, on all hosts."""
        return self._advance(upstream_id, _State.DRAINING, now)

    def deregister(
        self, upstream_id: ids.UpstreamId, now: float
    ) -> abc.Iterator[object]:
        """End an upstream that has deregistered."""
        return self._advance(upstream_id, _State.ENDED, now)

    def _advance(
        self, upstream_id: ids.UpstreamId, state: _State, now: float
    ) -> abc.Iterator[object]:
        """Bring an upstream to a further state."""
        old = self._table.by_id(upstream_id)
        if old is None or old.state.value >= state.value:
            return iter(())
        new = old.with_changes(
            state=state, sequence=old.sequence + 1, holder=self._me
        )
        return self._change(new, now)

    # Records.

    @property
    def changed_at(self) -> float:
        """Time of the last change."""
        return self._table.changed_at

    def decode(self, item: bytes) -> _record.Upstream | _messages.Suspicion:
        """Return the record in ``item``.

        :raises FoxtailError: the item is malformed
        """
        record: _record.Upstream | _messages.Suspicion
        record = _messages.CODEC.decode(item)
        return record

    def merge(
        self,
        record: _record.Upstream | _messages.Suspicion,
        spread: membership.GossipScope,
        now: float,
    ) -> abc.Iterator[object]:
        """Take a record in that another host passed on."""
        if isinstance(record, _messages.Suspicion):
            if self._suspicions.merge(record, now):
                self._invalidate(record.upstream)
            return iter(())
        return self._change(record, now, spread)

    def _change(
        self,
        new: _record.Upstream,
        now: float,
        spread: membership.GossipScope = membership.GossipScope.EVERYWHERE,
    ) -> abc.Iterator[object]:
        """Take a record in; return events on what it changed."""
        merged = self._table.merge(new, spread, now)
        if merged is None:
            return iter(())
        old, stands = merged
        events = []
        if old is not None:
            self._leases.stop(old)
            self._lapsed.discard(old.address)
            self._candidates.invalidate(old.key)
            if old.is_open and (old.id != stands.id or not stands.is_open):
                self._candidates.drop(old)
            if old.id != stands.id and old.is_open:
                ended = old.with_changes(state=_State.ENDED)
                events.append(self._event(ended))
        if stands.zone in self._cut:
            self._reached.add(stands.address)
        if stands.is_open:
            self._leases.start(stands, now)
            if self._candidates.health(stands.id) is None:
                self._candidates.add(stands, True, now)
        self._candidates.invalidate(stands.key)
        events.append(self._event(stands))
        return iter(events)

    def _event(self, upstream: _record.Upstream) -> _events.UpstreamChanged:
        """Return the event that tells the state of ``upstream``."""
        takes_work = upstream.takes_work
        takes_work = takes_work and upstream.address not in self._lapsed
        return _events.UpstreamChanged(
            upstream.id, upstream, takes_work, upstream.is_open
        )

    def items_of(self, bucket: int) -> abc.Iterable[bytes]:
        """Return the encoded records of ``bucket``."""
        return self._table.items_of(bucket)

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Learn the size of the own zone and whether this host relays."""
        self._table.set_role(zone_hosts, is_relay)

    def on_tick(self, now: float) -> abc.Iterator[object]:
        """Expire what wasn't announced for its lifetime."""
        self._table.forget_old(now)
        for upstream_id in self._suspicions.on_tick(now):
            self._invalidate(upstream_id)
        events: list[object] = []
        for address in self._leases.due(now):
            events += self._expire(address, now)
        return iter(events)

    def _expire(
        self, address: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """End a lifetime, or only doubt it while its holder is cut off."""
        old = self._table.get(address)
        if old is None or not old.is_open:
            return iter(())
        state = self._leases.holder_state(old.holder)
        is_new = address not in self._lapsed
        if state is _leases.HolderState.UNREACHED and is_new:
            self._lapsed.add(address)
            self._leases.lapse(old, now)
            self._candidates.invalidate(old.key)
            return iter((self._event(old),))
        new = old.with_changes(expired=True, sequence=old.sequence + 1)
        return self._change(new, now)

    def on_event(self, event: object, now: float) -> abc.Iterator[object]:
        """Follow which hosts and availability zones are reached."""
        if isinstance(event, membership.ZoneChanged):
            change = self._cut.discard if event.reachable else self._cut.add
            change(event.zone)
            self._reached = {
                address
                for address in self._reached
                if (item := self._table.get(address)) is not None
                and item.zone in self._cut - {event.zone}
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
