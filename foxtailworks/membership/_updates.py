"""Merging of received records and the events that follow from them."""

from collections import abc
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _detector
from foxtailworks.membership import _events
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts
from foxtailworks.membership import _replication
from foxtailworks.membership import _seen
from foxtailworks.membership import _sync
from foxtailworks.membership import _view
from foxtailworks.membership import _zones

STARTUP_S = 30.0

_Scope = _replication.GossipScope
_State = _host.HostState


class UpdateHandler:
    """Merges records, refutes those on this host and passes events on."""

    def __init__(
        self,
        me: _host.Host,
        now: float,
        config: _config.Config,
        hosts: _hosts.HostTable,
        zones: _zones.ZoneMonitor,
        detector: _detector.Detector,
        tables: abc.Sequence[_replication.ReplicatedTable],
    ) -> None:
        self.me = me
        self.view = _view.View(me.id, me.zone, now, config, hosts, zones)
        self.is_relay = True
        self.malformed_count = 0
        self._started_at = now
        # Records of this host's earlier processes don't concern this one.
        self._last_dead_incarnation = me.incarnation - 1
        self._hosts = hosts
        self._zones = zones
        self._detector = detector
        self._tables = tables
        self._by_tag = {tag: table for table in tables for tag in table.tags}
        self._seen = _seen.SeenItems(now)
        self._hosts.merge(me, _Scope.ZONE, now)

    def is_recently_started(self, now: float) -> bool:
        """Return whether this host still fills its tables after its start."""
        return now - self._started_at < STARTUP_S

    def on_tick(self, now: float) -> abc.Iterator[object]:
        """Run the timers of every table and check for isolation."""
        self._seen.on_tick(now)
        for table in self._tables:
            yield from self.emit(table.on_tick(now), now)
        if not self.view.isolated and self.view.has_no_contact(now):
            self.view.isolated = True
            yield from self.emit((_events.IsolationChanged(True),), now)

    def on_contact(self, now: float) -> abc.Iterator[object]:
        """Record contact with another host, which ends isolation."""
        self.view.last_contact_at = now
        if self.view.isolated:
            self.view.isolated = False
            self._detector.reset_timers(now)
            yield from self.emit((_events.IsolationChanged(False),), now)

    def publish(self, record: _host.Host, now: float) -> abc.Iterator[object]:
        """Merge a record made by this host and spread it to all zones."""
        events = self._hosts.merge(record, _Scope.EVERYWHERE, now)
        yield from self.emit(events, now)

    def unpack(self, packed: bytes) -> list[bytes]:
        """Inflate records; drop and count them if they are malformed."""
        try:
            return _sync.unpack(packed)
        except errors.FoxtailError:
            self.malformed_count += 1
            return []

    def merge_gossip(
        self, items: abc.Iterable[bytes], sender: ids.HostId, now: float
    ) -> abc.Iterator[object]:
        """Merge gossiped records and pass new ones on.

        Those from another zone are passed on in the own zone only.
        """
        for item in items:
            if self._seen.add(item):
                is_in_own_zone = self._is_in_own_zone(sender)
                scope = _Scope.EVERYWHERE if is_in_own_zone else _Scope.ZONE
                yield from self._merge_item(item, scope, now)

    def merge_records(
        self, items: abc.Iterable[bytes], sender: ids.HostId, now: float
    ) -> abc.Iterator[object]:
        """Merge records from a table comparison.

        Those from another zone are new to this one and are gossiped in it;
        those from the own zone are left to further comparisons. A recently
        started host gossips none, since the others have them.
        """
        skip_gossip = self._is_in_own_zone(sender) or self.is_recently_started(
            now
        )
        scope = _Scope.NONE if skip_gossip else _Scope.ZONE
        for item in items:
            if self._seen.add(item):
                yield from self._merge_item(item, scope, now)

    def _is_in_own_zone(self, host_id: ids.HostId) -> bool:
        """Return whether a host is known to be in the own zone."""
        host = self._hosts.get(host_id)
        return host is not None and host.zone == self.me.zone

    def _merge_item(
        self, item: bytes, scope: _Scope, now: float
    ) -> abc.Iterator[object]:
        """Decode one record and merge it into its table."""
        table = self._by_tag.get(_replication.tag_of(item))
        if table is None:
            self.malformed_count += 1
            return
        try:
            record = table.decode(item)
        except errors.FoxtailError:
            self.malformed_count += 1
            return
        if isinstance(record, _host.Host):
            yield from self.merge_host(record, scope, now)
        else:
            yield from self.emit(table.merge(record, scope, now), now)

    def merge_host(
        self, host: _host.Host, scope: _Scope, now: float
    ) -> abc.Iterator[object]:
        """Merge a host's record, or refute it if it is on this host."""
        if host.id == self.me.id:
            yield from self._refute(host, now)
        else:
            yield from self.emit(self._hosts.merge(host, scope, now), now)

    def _refute(self, record: _host.Host, now: float) -> abc.Iterator[object]:
        """Refute a record of this host that supersedes its own one."""
        if record.incarnation >= _host.MAX_INCARNATION:
            self.malformed_count += 1
            return
        is_older = record.incarnation < self.me.incarnation
        if not (is_older or record == self.me or self.me.supersedes(record)):
            incarnation = ids.Incarnation(record.incarnation + 1)
            self.me = self.me.with_changes(incarnation=incarnation)
            yield from self.publish(self.me, now)
        yield from self._report_declared_dead(record, now)

    def _report_declared_dead(
        self, record: _host.Host, now: float
    ) -> abc.Iterator[object]:
        """Emit an event, once, that others declared this process dead.

        The record may arrive after an earlier suspicion was refuted.
        """
        is_reported = record.incarnation <= self._last_dead_incarnation
        if record.is_live or not self.me.is_live or is_reported:
            return
        self._last_dead_incarnation = record.incarnation
        event = _events.DeclaredDead(record, self.me.incarnation)
        yield from self.emit((event,), now)

    def emit(
        self, events: abc.Iterable[object], now: float
    ) -> abc.Iterator[object]:
        """Yield events, and pass membership events to each table."""
        for event in events:
            yield event
            if not isinstance(event, typing.get_args(_events.Event)):
                continue
            self._update_derived_state(event, now)
            for table in self._tables:
                yield from self.emit(table.on_event(event, now), now)

    def _update_derived_state(self, event: object, now: float) -> None:
        """Update what is derived from the records after an event."""
        self.view.invalidate()
        if not isinstance(event, _events.HostChanged):
            return
        self._detector.on_host_changed(event.host, now)
        if event.host.zone == self.me.zone:
            count = len(self._hosts.live_in(self.me.zone))
            self.is_relay = self._zones.is_relay()
            for table in self._tables:
                table.set_role(count, self.is_relay)
