"""Claims and records as they come in, and what follows from them."""

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

YOUNG_S = 30.0

_Spread = _replication.GossipScope
_State = _host.HostState


class UpdateHandler:
    """Takes records in, refutes claims on this host, tells every table."""

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
        self.malformed = 0
        self._started_at = now
        # Claims on earlier processes of this host don't concern this one.
        self._held_dead = me.incarnation - 1
        self._hosts = hosts
        self._zones = zones
        self._detector = detector
        self._tables = tables
        self._by_tag = {tag: table for table in tables for tag in table.tags}
        self._seen = _seen.SeenItems(now)
        self._hosts.merge(me, _Spread.ZONE, now)

    def is_young(self, now: float) -> bool:
        """Tell whether this host still fills its tables."""
        return now - self._started_at < YOUNG_S

    def on_tick(self, now: float) -> abc.Iterator[object]:
        """Let time pass in every table."""
        self._seen.on_tick(now)
        for table in self._tables:
            yield from self.tell(table.on_tick(now), now)
        if not self.view.isolated and self.view.hears_nobody(now):
            self.view.isolated = True
            yield from self.tell((_events.IsolationChanged(True),), now)

    def hear(self, now: float) -> abc.Iterator[object]:
        """Note that another host is heard."""
        self.view.heard_at = now
        if self.view.isolated:
            self.view.isolated = False
            self._detector.restart(now)
            yield from self.tell((_events.IsolationChanged(False),), now)

    def claim(self, claim: _host.Host, now: float) -> abc.Iterator[object]:
        """Make a claim of one's own."""
        events = self._hosts.merge(claim, _Spread.EVERYWHERE, now)
        yield from self.tell(events, now)

    def unpack(self, packed: bytes) -> list[bytes]:
        """Return deflated records; drop and count malformed ones."""
        try:
            return _sync.unpack(packed)
        except errors.FoxtailError:
            self.malformed += 1
            return []

    def take_news(
        self, items: abc.Iterable[bytes], sender: ids.HostId, now: float
    ) -> abc.Iterator[object]:
        """Take gossip in and pass it on."""
        for item in items:
            if self._seen.add(item):
                is_near = self._is_near(sender)
                spread = _Spread.EVERYWHERE if is_near else _Spread.ZONE
                yield from self._take_item(item, spread, now)

    def take_records(
        self, items: abc.Iterable[bytes], sender: ids.HostId, now: float
    ) -> abc.Iterator[object]:
        """Take records of a table comparison in.

        Those out of another zone are news to this one; within the zone
        they're left to further comparisons.
        """
        is_old = self._is_near(sender) or self.is_young(now)
        spread = _Spread.NONE if is_old else _Spread.ZONE
        for item in items:
            if self._seen.add(item):
                yield from self._take_item(item, spread, now)

    def _is_near(self, host_id: ids.HostId) -> bool:
        """Tell whether a host is known to be of the own zone."""
        host = self._hosts.get(host_id)
        return host is not None and host.zone == self.me.zone

    def _take_item(
        self, item: bytes, spread: _Spread, now: float
    ) -> abc.Iterator[object]:
        """Take one encoded record in."""
        table = self._by_tag.get(_replication.tag_of(item))
        if table is None:
            self.malformed += 1
            return
        try:
            record = table.decode(item)
        except errors.FoxtailError:
            self.malformed += 1
            return
        if isinstance(record, _host.Host):
            yield from self.take_host(record, spread, now)
        else:
            yield from self.tell(table.merge(record, spread, now), now)

    def take_host(
        self, host: _host.Host, spread: _Spread, now: float
    ) -> abc.Iterator[object]:
        """Take a claim in; one on this host may have to be refuted."""
        if host.id == self.me.id:
            yield from self._refute(host, now)
        else:
            yield from self.tell(self._hosts.merge(host, spread, now), now)

    def _refute(self, claim: _host.Host, now: float) -> abc.Iterator[object]:
        """End a claim on this host that isn't its own."""
        if claim.incarnation >= _host.MAX_INCARNATION:
            self.malformed += 1
            return
        is_older = claim.incarnation < self.me.incarnation
        if not (is_older or claim == self.me or self.me.supersedes(claim)):
            incarnation = ids.Incarnation(claim.incarnation + 1)
            self.me = self.me.with_changes(incarnation=incarnation)
            yield from self.claim(self.me, now)
        yield from self._note_held_dead(claim, now)

    def _note_held_dead(
        self, claim: _host.Host, now: float
    ) -> abc.Iterator[object]:
        """Tell once that others hold or held this process dead.

        The claim may come when an earlier doubt was refuted already.
        """
        is_told = claim.incarnation <= self._held_dead
        if claim.is_live or not self.me.is_live or is_told:
            return
        self._held_dead = claim.incarnation
        event = _events.DeclaredDead(claim, self.me.incarnation)
        yield from self.tell((event,), now)

    def tell(
        self, events: abc.Iterable[object], now: float
    ) -> abc.Iterator[object]:
        """Yield events; let each table learn of changes of hosts."""
        for event in events:
            yield event
            if not isinstance(event, typing.get_args(_events.Event)):
                continue
            self._note(event, now)
            for table in self._tables:
                yield from self.tell(table.on_event(event, now), now)

    def _note(self, event: object, now: float) -> None:
        """Keep what is derived from the claims."""
        self.view.invalidate()
        if not isinstance(event, _events.HostChanged):
            return
        self._detector.note(event.host, now)
        if event.host.zone == self.me.zone:
            count = len(self._hosts.live_in(self.me.zone))
            self.is_relay = self._zones.is_relay()
            for table in self._tables:
                table.set_role(count, self.is_relay)
