"""The membership of one host: who is live, and what is news."""

from collections import abc
import functools
import itertools
import random
import typing

import xxhash

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _detector
from foxtailworks.membership import _events
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts
from foxtailworks.membership import _messages
from foxtailworks.membership import _replica
from foxtailworks.membership import _seen
from foxtailworks.membership import _sync
from foxtailworks.membership import _zones

MESSAGE_OVERHEAD_BYTES = 60
UDP_OVERHEAD_BYTES = 28
LEAVE_SENDS = 32

_State = _host.HostState


class Membership:
    """Who is live among the entry hosts.

    Each call takes the time and returns the actions it asks for; the state
    has changed when the call returns.

    :param me: this host, under an incarnation that grows with each start
    :param seeds: addresses to join through
    :param rng: source of all choices
    :param now: seconds of a monotonic clock
    :param config: times and bounds
    :param replicas: further tables to spread, such as the upstreams
    """

    def __init__(
        self,
        me: _host.Host,
        seeds: abc.Sequence[ids.Address],
        rng: random.Random,
        now: float,
        config: _config.Config | None = None,
        replicas: abc.Sequence[_replica.Replica] = (),
    ) -> None:
        self._me = me
        self._seeds = tuple(seeds)
        self._rng = rng
        self._cfg = config or _config.Config()
        self._hosts = _hosts.HostTable(me, self._cfg)
        self._zones = _zones.ZoneWatch(me, self._cfg, self._hosts)
        self._detector = _detector.Detector(me, rng, self._cfg, self._hosts)
        self._replicas: tuple[_replica.Replica, ...] = (
            self._hosts,
            self._zones,
            *replicas,
        )
        self._sync = _sync.Sync(me.id, rng, self._cfg, self._replicas)
        self._seen = _seen.SeenItems(now)
        self._budget = _sync.Budget(
            self._cfg.bulk_bytes_per_s, self._cfg.bulk_burst_bytes, now
        )
        self._by_tag = {
            tag: replica for replica in self._replicas for tag in replica.tags
        }
        self._live: dict[ids.ZoneId | None, tuple[_host.Host, ...]] = {}
        self._version = 0
        self._last_tick = now
        self._heard_at = now
        self._isolated = False
        self._leaving = False
        self._cursor = 0
        # Hosts started together don't send at the same instants.
        self._next_probe = now + rng.uniform(0, self._cfg.probe_interval_s)
        self._next_gossip = now + rng.uniform(0, self._cfg.gossip_interval_s)
        self._next_join = now
        self._next_reconnect = now + self._cfg.reconnect_s
        self.malformed = 0
        self._hosts.merge(me, True, now)

    # What others ask.

    @property
    def me(self) -> _host.Host:
        """This host under its present incarnation."""
        return self._me

    def live(self, zone: ids.ZoneId | None = None) -> tuple[_host.Host, ...]:
        """Return the hosts that may be given work, sorted by id.

        This host is among them unless it leaves. Hosts of a zone that is
        cut off aren't; while this host hears nobody only itself is.
        """
        found = self._live.get(zone)
        if found is None:
            found = self._live[zone] = tuple(self._find_live(zone))
        return found

    def _find_live(self, zone: ids.ZoneId | None) -> abc.Iterator[_host.Host]:
        """Yield the live hosts, sorted by id."""
        for host in sorted(self._hosts.all(), key=lambda host: host.id):
            if not host.is_live or zone not in (None, host.zone):
                continue
            if host.id != self._me.id and (
                self._isolated or host.zone in self._zones.cut
            ):
                continue
            yield host

    def state_of(self, host_id: ids.HostId) -> _State | None:
        """Return what is claimed of a host, if it is known."""
        host = self._hosts.get(host_id)
        return host.state if host is not None else None

    def get(self, host_id: ids.HostId) -> _host.Host | None:
        """Return the claim on a host, ended ones too."""
        return self._hosts.get(host_id)

    def hosts(self) -> tuple[_host.Host, ...]:
        """Return every claim held, sorted by id."""
        return tuple(sorted(self._hosts.all(), key=lambda host: host.id))

    def cut_zones(self) -> frozenset[ids.ZoneId]:
        """Return the availability zones that aren't reached."""
        return self._zones.cut

    def is_relay(self) -> bool:
        """Tell whether this host speaks for its zone with others."""
        return self._zones.is_relay()

    def version(self) -> int:
        """Return a number that changes whenever ``live`` does."""
        return self._version

    def view_hash(self) -> int:
        """Return a hash of the live hosts, to compare two hosts' views."""
        text = "\n".join(host.id for host in self.live())
        return xxhash.xxh64_intdigest(text.encode())

    def is_isolated(self, now: float) -> bool:
        """Tell whether this host hears nobody, or only a minority."""
        return self._hears_nobody(now) or self._in_minority(now)

    def _hears_nobody(self, now: float) -> bool:
        """Tell whether others are known and all are silent."""
        silent = now - self._heard_at >= self._cfg.isolation_s
        return silent and any(
            host.is_live and host.id != self._me.id
            for host in self._hosts.all()
        )

    def _in_minority(self, now: float) -> bool:
        """Tell whether most of the own zone was lost of late."""
        live = dead = 0
        for host in self._hosts.in_zone(self._me.zone):
            if host.is_live:
                live += 1
            elif host.state is _State.DEAD:
                ended_at = self._hosts.ended_at(host.id)
                recent = now - self._cfg.minority_memory_s
                dead += ended_at is not None and ended_at > recent
        return live < dead

    # Time.

    def on_tick(self, now: float) -> abc.Iterator[object]:
        """Let time pass; to be called about every 100 ms."""
        return iter(list(self._tick(now)))

    def _tick(self, now: float) -> abc.Iterator[object]:
        """Yield what is due."""
        if now - self._last_tick > self._cfg.freeze_gap_s:
            self._restart(now)
        self._last_tick = now
        self._detector.on_tick(now)
        self._seen.on_tick(now)
        for replica in self._replicas:
            yield from self._tell(replica.on_tick(now), now)
        yield from self._judge_isolation(now)
        yield from self._condemn(now)
        yield from self._ask_others(now)
        if now >= self._next_probe:
            self._next_probe = now + self._cfg.probe_interval_s
            yield from self._probe(now)
            yield from self._probe_zones(now)
        yield from self._join(now)
        if now >= self._next_reconnect:
            self._next_reconnect = now + self._cfg.reconnect_s
            yield from self._reconnect()
        if now >= self._next_gossip:
            self._next_gossip = now + self._cfg.gossip_interval_s
            yield from self._gossip(now)

    def _restart(self, now: float) -> None:
        """Draw no conclusion from silence while this host was stopped."""
        self._heard_at = now
        self._detector.restart(now)
        self._zones.forget_contacts()

    def _judge_isolation(self, now: float) -> abc.Iterator[object]:
        """Tell when this host starts to hear nobody."""
        if not self._isolated and self._hears_nobody(now):
            self._isolated = True
            yield from self._tell((_events.IsolationChanged(True),), now)

    def _condemn(self, now: float) -> abc.Iterator[object]:
        """Claim suspects dead that didn't refute in time."""
        if self._isolated:
            self._detector.restart(now)
            return
        for host in self._detector.condemned(now):
            claim = host.with_changes(state=_State.DEAD)
            yield from self._claim(claim, now)

    def _claim(self, claim: _host.Host, now: float) -> abc.Iterator[object]:
        """Make a claim of one's own."""
        yield from self._tell(self._hosts.merge(claim, True, now), now)

    def _ask_others(self, now: float) -> abc.Iterator[object]:
        """Ask others to probe a host whose answer is overdue."""
        overdue = self._detector.overdue(now)
        if overdue is None:
            return
        target, sequence = overdue
        for helper in self._detector.helpers(target):
            msg = _messages.PingRequest(
                self._me.id, sequence, target.id, target.address
            )
            yield _events.Send(helper.address, msg)

    def _probe(self, now: float) -> abc.Iterator[object]:
        """End the last probe and start the next one."""
        silent = self._detector.finish()
        if silent is not None and not self._isolated:
            claim = silent.with_changes(state=_State.SUSPECT)
            yield from self._claim(claim, now)
        picked = self._detector.pick(now)
        if picked is not None:
            yield self._ping(*picked)

    def _probe_zones(self, now: float) -> abc.Iterator[object]:
        """As a relay, probe one host of each other zone; report."""
        if not self._zones.is_relay():
            self._zones.forget_contacts()
            return
        for zone in sorted(self._hosts.zones()):
            live = self._hosts.live_in(zone)
            if zone == self._me.zone or not live:
                continue
            self._zones.note_asked(zone, now)
            host = self._rng.choice(live)
            yield self._ping(host, self._detector.next_sequence())
        if not self._isolated:
            yield from self._tell(self._zones.report(now), now)

    def _ping(self, host: _host.Host, sequence: int) -> _events.Send:
        """Return a ping with news on it."""
        return _events.Send(
            host.address,
            _messages.Ping(
                self._me.id,
                self._me.incarnation,
                sequence,
                self._sync.roots(),
                self._news_for(host),
            ),
        )

    def _news_for(self, host: _host.Host) -> tuple[bytes, ...]:
        """Return piggybacked records; a doubted host learns of the doubt."""
        items: tuple[bytes, ...] = ()
        if host.state is not _State.ALIVE:
            items = (self._hosts.item_of(host.id),)
        if host.zone != self._me.zone:
            return items
        budget = self._cfg.piggyback_bytes - sum(map(len, items))
        return items + self._take(budget, outer=False)

    def _take(self, budget: int, outer: bool) -> tuple[bytes, ...]:
        """Take news of all tables that fits into ``budget``."""
        items: list[bytes] = []
        # The tables take turns to come first.
        self._cursor += 1
        count = len(self._replicas)
        for step in range(count):
            rumours = self._replicas[(self._cursor + step) % count].rumours
            if not len(rumours):
                continue
            take = rumours.take_outer if outer else rumours.take_inner
            taken = take(budget)
            items += taken
            budget -= sum(map(len, taken)) + 3 * len(taken)
        return tuple(items)

    def _join(self, now: float) -> abc.Iterator[object]:
        """Ask the seeds while no other host is heard."""
        if now < self._next_join or self._leaving:
            return
        if not self._isolated and len(self.live()) > 1:
            return
        wait = self._cfg.join_interval_s * self._rng.uniform(0.8, 1.2)
        self._next_join = now + wait
        for seed in self._seeds:
            if seed != self._me.address:
                yield _events.Send(seed, _messages.Join(self._me))

    def _reconnect(self) -> abc.Iterator[object]:
        """Ping one host held dead, so that two halves find each other."""
        dead = [
            host
            for host in self._hosts.in_zone(self._me.zone)
            if host.state is _State.DEAD
        ]
        if dead and not self._leaving:
            host = self._rng.choice(dead)
            yield self._ping(host, self._detector.next_sequence())

    def _gossip(self, now: float) -> abc.Iterator[object]:
        """Send news to some hosts of the own zone and, as relay, of others."""
        if not any(len(replica.rumours) for replica in self._replicas):
            return
        yield from self._gossip_inner(now)
        if self._zones.is_relay():
            yield from self._gossip_outer(now)

    def _gossip_inner(self, now: float) -> abc.Iterator[object]:
        """Send news to a relay and some other hosts of the own zone."""
        others = self._others(self._hosts.live_in(self._me.zone))
        fanout = min(self._cfg.gossip_fanout, len(others))
        targets = self._rng.sample(others, fanout)
        relays = self._others(self._zones.relays(self._me.zone))
        if relays and targets:
            targets[-1] = self._rng.choice(relays)
        for host in targets:
            yield from self._gossip_to(host, False, now)
        if not others:
            # Nobody to tell within the zone: the records count as told.
            self._take(self._cfg.datagram_bytes, outer=False)

    def _gossip_outer(self, now: float) -> abc.Iterator[object]:
        """Send news to one relay of each other zone."""
        size = self._cfg.datagram_bytes - MESSAGE_OVERHEAD_BYTES
        items = self._take(size, outer=True)
        if not items:
            return
        for zone in sorted(self._hosts.zones()):
            relays = self._zones.relays(zone)
            if zone != self._me.zone and relays:
                host = self._rng.choice(relays)
                yield self._send_items(host, items)

    def _gossip_to(
        self, host: _host.Host, outer: bool, now: float
    ) -> abc.Iterator[object]:
        """Send one datagram of news within the bulk rate."""
        size = self._cfg.datagram_bytes - MESSAGE_OVERHEAD_BYTES
        if self._budget.left(now) < size:
            return
        items = self._take(size, outer)
        if items:
            yield self._send_items(host, items)

    def _send_items(
        self, host: _host.Host, items: tuple[bytes, ...]
    ) -> _events.Send:
        """Return a datagram of news and count its bytes."""
        size = sum(map(len, items)) + MESSAGE_OVERHEAD_BYTES
        self._budget.spend(size + UDP_OVERHEAD_BYTES)
        return _events.Send(host.address, _messages.Gossip(self._me.id, items))

    def _others(self, hosts: list[_host.Host]) -> list[_host.Host]:
        """Return ``hosts`` without this one."""
        return [host for host in hosts if host.id != self._me.id]

    def leave(self, now: float) -> abc.Iterator[object]:
        """Announce a graceful leave; the caller may go on for a while."""
        if self._leaving:
            return iter(())
        self._leaving = True
        self._me = self._me.with_changes(state=_State.LEFT)
        actions = list(self._claim(self._me, now))
        near = self._others(self._hosts.live_in(self._me.zone))
        targets = self._rng.sample(near, min(LEAVE_SENDS, len(near)))
        for zone in sorted(self._hosts.zones()):
            if zone != self._me.zone:
                targets += self._zones.relays(zone)
        items = (self._hosts.item_of(self._me.id),)
        actions += [self._send_items(host, items) for host in targets]
        return iter(actions)

    # Messages.

    def on_message(
        self, src: ids.Address, msg: object, now: float
    ) -> abc.Iterator[object]:
        """Take a message in; malformed parts are dropped and counted."""
        return iter(list(self._receive(msg, src, now)))

    @functools.singledispatchmethod
    def _receive(
        self, msg: object, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Drop a message of no known type."""
        self.malformed += 1
        yield from ()

    @_receive.register
    def _on_ping(
        self, msg: _messages.Ping, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Answer a ping."""
        yield from self._hear(msg.sender, msg.incarnation, src, now)
        yield from self._take_items(msg.items, msg.sender, now)
        sender = self._hosts.get(msg.sender)
        news = self._news_for(sender) if sender is not None else ()
        ack = _messages.Ack(
            self._me.id,
            self._me.incarnation,
            msg.sequence,
            self._sync.roots(),
            news,
        )
        yield _events.Send(src, ack)

    @_receive.register
    def _on_ack(
        self, msg: _messages.Ack, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take an answer; compare tables with the one who sent it."""
        yield from self._hear(msg.sender, msg.incarnation, src, now)
        self._detector.answered(msg.sequence)
        relayed = self._detector.relayed(msg.sequence)
        if relayed is not None:
            reply = _messages.PingReply(self._me.id, relayed.sequence)
            yield _events.Send(relayed.asker, reply)
        yield from self._take_items(msg.items, msg.sender, now)
        for buckets in self._sync.compare(msg.roots, now):
            yield self._send_bulk(src, buckets)

    @_receive.register
    def _on_ping_request(
        self, msg: _messages.PingRequest, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Probe in another host's stead."""
        target = self._hosts.get(msg.target)
        sequence = self._detector.next_sequence()
        relayed = _detector.Relayed(
            src, msg.sequence, now + self._cfg.probe_interval_s
        )
        if target is not None and self._detector.relay(sequence, relayed):
            yield self._ping(target, sequence)

    @_receive.register
    def _on_ping_reply(
        self, msg: _messages.PingReply, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take an answer that another host got."""
        self._detector.answered(msg.sequence)
        yield from self._hear_anyone(now)

    @_receive.register
    def _on_join(
        self, msg: _messages.Join, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take a new host in and send it the hosts, its zone first."""
        yield from self._take_host(msg.host, msg.host.zone, now)
        if msg.host.id == self._me.id:
            return
        near = self._hosts.in_zone(msg.host.zone)
        far = (h for h in self._hosts.all() if h.zone != msg.host.zone)
        hosts = itertools.chain(near, far)
        items = (self._hosts.item_of(host.id) for host in hosts)
        for records in self._sync.records(items, self._budget.left(now)):
            yield self._send_bulk(src, records)

    @_receive.register
    def _on_gossip(
        self, msg: _messages.Gossip, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take news in."""
        yield from self._hear_anyone(now)
        yield from self._take_items(msg.items, msg.sender, now)

    @_receive.register
    def _on_buckets(
        self, msg: _messages.Buckets, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Send back what differs."""
        yield from self._hear_anyone(now)
        try:
            answers = list(self._sync.answer(msg, self._budget.left(now)))
        except errors.FoxtailError:
            self.malformed += 1
            return
        for answer in answers:
            yield self._send_bulk(src, answer)

    @_receive.register
    def _on_records(
        self, msg: _messages.Records, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take records of differing buckets in."""
        yield from self._hear_anyone(now)
        try:
            items = _sync.unpack(msg.packed)
        except errors.FoxtailError:
            self.malformed += 1
            return
        yield from self._take_items(items, msg.sender, now)

    def _send_bulk(
        self, to: ids.Address, msg: _messages.Buckets | _messages.Records
    ) -> _events.Send:
        """Return a message of a table comparison and count its bytes."""
        body = msg.packed if isinstance(msg, _messages.Records) else msg.hashes
        size = len(body)
        self._budget.spend(size + MESSAGE_OVERHEAD_BYTES)
        return _events.Send(to, msg)

    # Claims and records.

    def _hear_anyone(self, now: float) -> abc.Iterator[object]:
        """Note that another host is heard."""
        self._heard_at = now
        if self._isolated:
            self._isolated = False
            self._detector.restart(now)
            yield from self._tell((_events.IsolationChanged(False),), now)

    def _hear(
        self,
        sender: ids.HostId,
        incarnation: ids.Incarnation,
        src: ids.Address,
        now: float,
    ) -> abc.Iterator[object]:
        """Note a live sender; tell one that is held dead."""
        yield from self._hear_anyone(now)
        host = self._hosts.get(sender)
        if host is None:
            return
        if host.zone != self._me.zone:
            self._zones.note_heard(host.zone, now)
        if not host.is_live and incarnation <= host.incarnation:
            item = self._hosts.item_of(host.id)
            yield _events.Send(src, _messages.Gossip(self._me.id, (item,)))

    def _take_items(
        self, items: abc.Iterable[bytes], sender: ids.HostId, now: float
    ) -> abc.Iterator[object]:
        """Take encoded records in; those seen lately cost nothing."""
        host = self._hosts.get(sender)
        zone = host.zone if host is not None else None
        for item in items:
            if self._seen.add(item):
                yield from self._take_item(item, zone, now)

    def _take_item(
        self, item: bytes, zone: ids.ZoneId | None, now: float
    ) -> abc.Iterator[object]:
        """Take one encoded record in."""
        replica = self._by_tag.get(_replica.tag_of(item))
        try:
            record = replica.decode(item) if replica is not None else None
        except errors.FoxtailError:
            record = None
        if replica is None or record is None:
            self.malformed += 1
        elif isinstance(record, _host.Host):
            yield from self._take_host(record, zone, now)
        else:
            own = zone == self._me.zone
            yield from self._tell(replica.merge(record, own, now), now)

    def _take_host(
        self, host: _host.Host, zone: ids.ZoneId | None, now: float
    ) -> abc.Iterator[object]:
        """Take a claim in; one about this host may have to be refuted."""
        if host.id == self._me.id:
            yield from self._on_claim_about_me(host, now)
            return
        own = zone == self._me.zone
        yield from self._tell(self._hosts.merge(host, own, now), now)

    def _on_claim_about_me(
        self, claim: _host.Host, now: float
    ) -> abc.Iterator[object]:
        """End a claim about this host that isn't its own."""
        if claim.incarnation < self._me.incarnation or claim == self._me:
            return
        incarnation = ids.Incarnation(claim.incarnation + 1)
        self._me = self._me.with_changes(incarnation=incarnation)
        yield from self._claim(self._me, now)
        if not claim.is_live and not self._leaving:
            held_dead = _events.HeldDead(claim, incarnation)
            yield from self._tell((held_dead,), now)

    def _tell(
        self, events: abc.Iterable[object], now: float
    ) -> abc.Iterator[object]:
        """Yield events; let each table learn of changes of hosts."""
        for event in events:
            yield event
            if not isinstance(event, typing.get_args(_events.Event)):
                continue
            self._note(event, now)
            for replica in self._replicas:
                yield from self._tell(replica.on_event(event, now), now)

    def _note(self, event: object, now: float) -> None:
        """Keep what is derived from the claims."""
        self._version += 1
        self._live.clear()
        if not isinstance(event, _events.HostChanged):
            return
        self._detector.note(event.host, now)
        if event.host.zone == self._me.zone:
            count = len(self._hosts.live_in(self._me.zone))
            for replica in self._replicas:
                replica.set_hosts(count)
