"""The membership of one host: who is live, and what is news."""

from collections import abc
import functools
import itertools
import random

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _detector
from foxtailworks.membership import _dissemination
from foxtailworks.membership import _events
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts
from foxtailworks.membership import _messages
from foxtailworks.membership import _replication
from foxtailworks.membership import _sync
from foxtailworks.membership import _updates
from foxtailworks.membership import _zones

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
    :param tables: further tables to spread, such as the upstreams
    """

    def __init__(
        self,
        me: _host.Host,
        seeds: abc.Sequence[ids.Address],
        rng: random.Random,
        now: float,
        config: _config.Config | None = None,
        tables: abc.Sequence[_replication.ReplicatedTable] = (),
    ) -> None:
        self._seeds = tuple(seeds)
        self._rng = rng
        self._cfg = config or _config.Config()
        self._hosts = _hosts.HostTable(me, self._cfg)
        self._zones = _zones.ZoneMonitor(me, self._cfg, self._hosts)
        self._detector = _detector.Detector(me, rng, self._cfg, self._hosts)
        self._tables: tuple[_replication.ReplicatedTable, ...] = (
            self._hosts,
            self._zones,
            *tables,
        )
        self._updates = _updates.UpdateHandler(
            me,
            now,
            self._cfg,
            self._hosts,
            self._zones,
            self._detector,
            self._tables,
        )
        self._sync = _sync.Sync(me.id, rng, self._cfg, self._tables)
        self._dissemination = _dissemination.Dissemination(
            rng,
            now,
            self._cfg,
            self._hosts,
            self._zones,
            self._updates,
            self._sync,
            self._tables,
        )
        self._last_tick = now
        self._leaving = False
        # Hosts started together don't send at the same instants.
        self._next_probe = now + rng.uniform(0, self._cfg.probe_interval_s)
        self._next_gossip = now + rng.uniform(0, self._cfg.gossip_interval_s)
        self._next_join = now
        self._next_reconnect = now + self._cfg.reconnect_s

    @property
    def me(self) -> _host.Host:
        """This host under its present incarnation."""
        return self._updates.me

    @property
    def malformed(self) -> int:
        """Return how many malformed messages and records were dropped."""
        return self._updates.malformed

    def live(self, zone: ids.ZoneId | None = None) -> tuple[_host.Host, ...]:
        """Return the hosts that may be given work, sorted by id.

        This host is among them unless it leaves. Hosts of a zone that is
        cut off aren't; while this host hears nobody only itself is.
        """
        return self._updates.view.live(zone)

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

    def unreachable_zones(self) -> frozenset[ids.ZoneId]:
        """Return the availability zones that aren't reached."""
        return self._zones.cut

    def is_relay(self) -> bool:
        """Tell whether this host speaks for its zone with others."""
        return self._updates.is_relay

    def version(self) -> int:
        """Return a number that changes whenever ``live`` does."""
        return self._updates.view.version

    def view_hash(self) -> int:
        """Return a hash of the live hosts, to compare two hosts' views."""
        return self._updates.view.hash()

    def is_isolated(self, now: float) -> bool:
        """Tell whether this host hears nobody, or only a minority."""
        view = self._updates.view
        return view.hears_nobody(now) or view.in_minority(now)

    def on_tick(self, now: float) -> abc.Iterator[object]:
        """Let time pass; to be called about every 100 ms."""
        return iter(list(self._tick(now)))

    def _tick(self, now: float) -> abc.Iterator[object]:
        """Yield what is due."""
        if now - self._last_tick > self._cfg.freeze_gap_s:
            self._restart(now)
        self._last_tick = now
        self._detector.on_tick(now)
        yield from self._updates.on_tick(now)
        yield from self._condemn(now)
        yield from self._ask_others(now)
        if now >= self._next_probe and not self._detector.is_waiting(now):
            self._next_probe = now + self._cfg.probe_interval_s
            yield from self._probe(now)
            yield from self._probe_zones(now)
        yield from self._join(now)
        if now >= self._next_reconnect:
            self._next_reconnect = now + self._cfg.reconnect_s
            yield from self._reconnect(now)
        if now >= self._next_gossip:
            self._next_gossip = now + self._cfg.gossip_interval_s
            yield from self._dissemination.gossip(now)
            yield from self._catch_up(now)

    def _restart(self, now: float) -> None:
        """Draw no conclusion from silence while this host was stopped."""
        self._updates.view.heard_at = now
        self._detector.restart(now)
        self._zones.forget_contacts()

    def _condemn(self, now: float) -> abc.Iterator[object]:
        """Claim suspects dead that didn't refute in time."""
        if self._updates.view.isolated:
            self._detector.restart(now)
            return
        for host in self._detector.condemned(now):
            claim = host.with_changes(state=_State.DEAD)
            yield from self._updates.claim(claim, now)

    def _ask_others(self, now: float) -> abc.Iterator[object]:
        """Ask others to probe a host whose answer is overdue."""
        overdue = self._detector.overdue(now)
        if overdue is None:
            return
        target, sequence = overdue
        for helper in self._detector.helpers(target):
            msg = _messages.PingRequest(
                self._updates.me.id, sequence, target.id, target.address
            )
            yield _events.Send(helper.address, msg)

    def _probe(self, now: float) -> abc.Iterator[object]:
        """End the last probe and start the next one."""
        silent = self._detector.finish()
        if silent is not None and not self._updates.view.isolated:
            claim = silent.with_changes(state=_State.SUSPECT)
            yield from self._updates.claim(claim, now)
        picked = self._detector.pick(now)
        if picked is not None:
            yield self._dissemination.ping(*picked, now)

    def _catch_up(self, now: float) -> abc.Iterator[object]:
        """While young, meet more hosts whose tables to compare with."""
        others = [host for host in self.live() if host.id != self.me.id]
        if others and self._updates.is_young(now):
            host = self._rng.choice(others)
            yield self._dissemination.ping(
                host, self._detector.next_sequence(), now
            )

    def _probe_zones(self, now: float) -> abc.Iterator[object]:
        """As a relay, probe one host of each other zone; report."""
        if not self._updates.is_relay:
            self._zones.forget_contacts()
            return
        for zone in sorted(self._hosts.zones()):
            live = self._hosts.live_in(zone)
            if zone == self._updates.me.zone or not live:
                continue
            self._zones.note_asked(zone, now)
            host = self._rng.choice(live)
            yield self._dissemination.ping(
                host, self._detector.next_sequence(), now
            )
        if not self._updates.view.isolated:
            yield from self._updates.tell(self._zones.report(now), now)

    def _join(self, now: float) -> abc.Iterator[object]:
        """Ask the seeds while no other host is heard."""
        if now < self._next_join or self._leaving:
            return
        if not self._updates.view.isolated and len(self.live()) > 1:
            return
        wait = self._cfg.join_interval_s * self._rng.uniform(0.8, 1.2)
        self._next_join = now + wait
        for seed in self._seeds:
            if seed != self._updates.me.address:
                yield _events.Send(seed, _messages.Join(self._updates.me))

    def _reconnect(self, now: float) -> abc.Iterator[object]:
        """Try a host held dead and a seed that isn't known to be live.

        Two halves of a system that gave each other up meet again so.
        """
        if self._leaving:
            return
        dead = [
            host
            for host in self._hosts.in_zone(self._updates.me.zone)
            if host.state is _State.DEAD
        ]
        if dead:
            host = self._rng.choice(dead)
            yield self._dissemination.ping(
                host, self._detector.next_sequence(), now
            )
        known = {host.address for host in self.live()}
        missing = [seed for seed in self._seeds if seed not in known]
        if missing:
            seed = self._rng.choice(missing)
            yield _events.Send(seed, _messages.Join(self._updates.me))

    def leave(self, now: float) -> abc.Iterator[object]:
        """Announce a graceful leave; the caller may go on for a while."""
        if self._leaving:
            return iter(())
        self._leaving = True
        self._zones.leave()
        self._updates.me = self._updates.me.with_changes(state=_State.LEFT)
        actions = list(self._updates.claim(self._updates.me, now))
        actions += self._dissemination.farewell()
        return iter(actions)

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
        self._updates.malformed += 1
        yield from ()

    @_receive.register
    def _on_ping(
        self, msg: _messages.Ping, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Answer a ping."""
        yield from self._hear(msg.sender, now)
        yield from self._updates.take_news(msg.items, msg.sender, now)
        sender = self._hosts.get(msg.sender)
        news = (
            self._dissemination.for_probe(sender, now)
            if sender is not None
            else ()
        )
        ack = _messages.Ack(
            self._updates.me.id,
            self._updates.me.incarnation,
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
        yield from self._hear(msg.sender, now)
        self._detector.answered(msg.sequence)
        relayed = self._detector.relayed(msg.sequence)
        if relayed is not None:
            reply = _messages.PingReply(self._updates.me.id, relayed.sequence)
            yield _events.Send(relayed.asker, reply)
        yield from self._updates.take_news(msg.items, msg.sender, now)
        yield from self._dissemination.bulk(
            src,
            self._sync.compare(msg.roots, self._updates.is_young(now), now),
        )

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
            yield self._dissemination.ping(target, sequence, now)

    @_receive.register
    def _on_ping_reply(
        self, msg: _messages.PingReply, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take an answer that another host got."""
        self._detector.answered(msg.sequence)
        yield from self._updates.hear(now)

    @_receive.register
    def _on_join(
        self, msg: _messages.Join, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take a new host in and send it the hosts, its zone first."""
        spread = _replication.GossipScope.EVERYWHERE
        yield from self._updates.take_host(msg.host, spread, now)
        if msg.host.id == self._updates.me.id:
            return
        near = self._hosts.in_zone(msg.host.zone)
        far = (h for h in self._hosts.all() if h.zone != msg.host.zone)
        hosts = itertools.chain(near, far)
        items = (self._hosts.item_of(host.id) for host in hosts)
        yield from self._dissemination.bulk(
            src, self._sync.records(items, self._dissemination.left(now))
        )

    @_receive.register
    def _on_gossip(
        self, msg: _messages.Gossip, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take news in."""
        yield from self._updates.hear(now)
        yield from self._updates.take_news(msg.items, msg.sender, now)

    @_receive.register
    def _on_packed_gossip(
        self, msg: _messages.PackedGossip, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take much news in."""
        yield from self._updates.hear(now)
        items = self._updates.unpack(msg.packed)
        yield from self._updates.take_news(items, msg.sender, now)

    @_receive.register
    def _on_buckets(
        self, msg: _messages.Buckets, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Send back what differs."""
        yield from self._updates.hear(now)
        try:
            answers = list(
                self._sync.answer(msg, self._dissemination.left(now))
            )
        except errors.FoxtailError:
            self._updates.malformed += 1
            return
        yield from self._dissemination.bulk(src, answers)

    @_receive.register
    def _on_records(
        self, msg: _messages.Records, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Take records of differing buckets in."""
        yield from self._updates.hear(now)
        items = self._updates.unpack(msg.packed)
        yield from self._updates.take_records(items, msg.sender, now)

    def _hear(self, sender: ids.HostId, now: float) -> abc.Iterator[object]:
        """Note a host that is heard."""
        yield from self._updates.hear(now)
        host = self._hosts.get(sender)
        if host is not None and host.zone != self._updates.me.zone:
            self._zones.note_heard(host.zone, now)
