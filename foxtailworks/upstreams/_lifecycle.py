"""Changes of upstreams' records and the events that follow from them."""

from collections import abc

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _candidates
from foxtailworks.upstreams import _events
from foxtailworks.upstreams import _leases
from foxtailworks.upstreams import _reachability
from foxtailworks.upstreams import _record
from foxtailworks.upstreams import _table

_State = _record.UpstreamState


class Lifecycle:
    """Moves upstreams through their stages, from open to ended or expired.

    Leases, candidates and reachability follow each change of a record.
    """

    def __init__(
        self,
        me: ids.HostId,
        table: _table.UpstreamTable,
        leases: _leases.Leases,
        candidates: _candidates.Candidates,
        reachability: _reachability.Reachability,
    ) -> None:
        self._me = me
        self._table = table
        self._leases = leases
        self._candidates = candidates
        self._reachability = reachability

    def merge(
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
            self._reachability.lapsed.discard(old.address)
            self._candidates.invalidate(old.key)
            if old.is_open and (old.id != winner.id or not winner.is_open):
                self._candidates.drop(old)
            if old.id != winner.id and old.is_open:
                ended = old.with_changes(state=_State.ENDED)
                events.append(self._event(ended))
        self._reachability.on_merged(winner)
        if winner.is_open:
            self._leases.start(winner, now)
            if self._candidates.health(winner.id) is None:
                self._candidates.add(winner, True, now)
        self._candidates.invalidate(winner.key)
        events.append(self._event(winner))
        return iter(events)

    def _event(self, upstream: _record.Upstream) -> _events.UpstreamChanged:
        """Return an event with the present state of ``upstream``."""
        takes_work = self._reachability.takes_work(upstream)
        return _events.UpstreamChanged(
            upstream.id, upstream, takes_work, upstream.is_open
        )

    def advance(
        self, upstream_id: ids.UpstreamId, state: _State, now: float
    ) -> abc.Iterator[object]:
        """Move an upstream to a later stage, unless it is there already."""
        old = self._table.by_id(upstream_id)
        if old is None or old.state.value >= state.value:
            return iter(())
        new = old.with_changes(
            state=state, sequence=old.sequence + 1, holder=self._me
        )
        return self.merge(new, now)

    def expire(self, address: ids.Address, now: float) -> abc.Iterator[object]:
        """Expire an upstream; with an unreachable holder it lapses first."""
        old = self._table.get(address)
        if old is None or not old.is_open:
            return iter(())
        state = self._leases.holder_state(old.holder)
        is_first_time = address not in self._reachability.lapsed
        if state is _leases.HolderState.UNREACHED and is_first_time:
            self._reachability.lapsed.add(address)
            self._leases.lapse(old, now)
            self._candidates.invalidate(old.key)
            return iter((self._event(old),))
        new = old.with_changes(expired=True, sequence=old.sequence + 1)
        return self.merge(new, now)

    def on_event(self, event: object, now: float) -> abc.Iterator[object]:
        """Update which hosts and availability zones are reachable."""
        if isinstance(event, membership.ZoneChanged):
            self._reachability.on_zone_changed(event, self._table)
            self._candidates.invalidate_all()
        events: list[object] = []
        for address in self._leases.on_event(event, now):
            old = self._table.get(address)
            if address in self._reachability.lapsed and old is not None:
                self._reachability.lapsed.discard(address)
                self._candidates.invalidate(old.key)
                events.append(self._event(old))
        return iter(events)
