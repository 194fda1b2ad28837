"""Membership of one host: timers and queries."""

from collections import abc
import random

from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _detector
from foxtailworks.membership import _dissemination
from foxtailworks.membership import _events
from foxtailworks.membership import _handlers
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts
from foxtailworks.membership import _messages
from foxtailworks.membership import _replication
from foxtailworks.membership import _sync
from foxtailworks.membership import _updates
from foxtailworks.membership import _zones

_State = _host.HostState


class Membership:
    """Failure detection and gossip of one entry host, without I/O.

    Each call takes the time and returns :class:`Send` actions and events;
    the state has changed when the call returns.

    :param me: this host, with an incarnation that grows with each start
    :param seeds: addresses of hosts to join through
    :param rng: source of all random choices
    :param now: monotonic seconds
    :param config: intervals and bounds
    :param tables: further tables to replicate, such as the upstreams
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
        self._handlers = _handlers.MessageHandlers(
            self._cfg,
            self._hosts,
            self._zones,
            self._detector,
            self._updates,
            self._sync,
            self._dissemination,
        )
        self._last_tick = now
        self._leaving = False
        # Random offsets keep hosts that start together from sending together.
        self._next_probe = now + rng.uniform(0, self._cfg.probe_interval_s)
        self._next_gossip = now + rng.uniform(0, self._cfg.gossip_interval_s)
        self._next_join = now
        self._next_reconnect = now + self._cfg.reconnect_interval_s

    @property
    def me(self) -> _host.Host:
        """Record of this host with its current incarnation."""
        return self._updates.me

    @property
    def malformed_count(self) -> int:
        """Return the number of malformed messages and records dropped."""
        return self._updates.malformed_count

    def live(self, zone: ids.ZoneId | None = None) -> tuple[_host.Host, ...]:
        """Return the hosts that may receive work, sorted by id.

        This host is included unless it leaves. Hosts of an unreachable zone
        are left out; an isolated host returns only itself.
        """
        return self._updates.view.live(zone)

    def state_of(self, host_id: ids.HostId) -> _State | None:
        """Return the state of a host, ``None`` if it isn't known."""
        host = self._hosts.get(host_id)
        return host.state if host is not None else None

    def get(self, host_id: ids.HostId) -> _host.Host | None:
        """Return the record of a host, also of one that is dead or left."""
        return self._hosts.get(host_id)

    def hosts(self) -> tuple[_host.Host, ...]:
        """Return all records of hosts, sorted by id."""
        return tuple(sorted(self._hosts.all(), key=lambda host: host.id))

    def unreachable_zones(self) -> frozenset[ids.ZoneId]:
        """Return the availability zones that count as unreachable."""
        return self._zones.unreachable

    def is_relay(self) -> bool:
        """Return whether this host is a relay of its zone."""
        return self._updates.is_relay

    def version(self) -> int:
        """Return a number that changes whenever ``live`` may have changed."""
        return self._updates.view.version

    def view_hash(self) -> int:
        """Return a hash of the live hosts, for comparing views."""
        return self._updates.view.hash()

    def is_isolated(self, now: float) -> bool:
        """Return whether this host reaches no other, or only a minority."""
        view = self._updates.view
        return view.has_no_contact(now) or view.is_in_minority(now)

    def on_tick(self, now: float) -> abc.Iterator[object]:
        """Run the timers that are due; call this about every 100 ms."""
        return iter(list(self._tick(now)))

    def _tick(self, now: float) -> abc.Iterator[object]:
        """Yield the actions and events that are due."""
        if now - self._last_tick > self._cfg.freeze_gap_s:
            self._reset_timers(now)
        self._last_tick = now
        self._detector.on_tick(now)
        yield from self._updates.on_tick(now)
        yield from self._declare_dead(now)
        yield from self._request_indirect_probes(now)
        if (
            now >= self._next_probe
            and not self._detector.is_awaiting_indirect_ack(now)
        ):
            self._next_probe = now + self._cfg.probe_interval_s
            yield from self._probe(now)
            yield from self._probe_zones(now)
        yield from self._join(now)
        if now >= self._next_reconnect:
            self._next_reconnect = now + self._cfg.reconnect_interval_s
            yield from self._reconnect(now)
        if now >= self._next_gossip:
            self._next_gossip = now + self._cfg.gossip_interval_s
            yield from self._dissemination.gossip(now)
            yield from self._fill_tables(now)

    def _reset_timers(self, now: float) -> None:
        """Restart all timeouts after this process was suspended.

        Other hosts may have sent messages that this one couldn't receive.
        """
        self._updates.view.last_contact_at = now
        self._detector.reset_timers(now)
        self._zones.clear_contacts()

    def _declare_dead(self, now: float) -> abc.Iterator[object]:
        """Declare suspects dead that didn't refute in time."""
        if self._updates.view.isolated:
            self._detector.reset_timers(now)
            return
        for host in self._detector.pop_expired_suspects(now):
            record = host.with_changes(state=_State.DEAD)
            yield from self._updates.publish(record, now)

    def _request_indirect_probes(self, now: float) -> abc.Iterator[object]:
        """Send ping-reqs for a host whose ack is overdue."""
        overdue = self._detector.start_indirect_probe(now)
        if overdue is None:
            return
        target, sequence = overdue
        for helper in self._detector.choose_helpers(target):
            msg = _messages.PingRequest(
                self._updates.me.id, sequence, target.id, target.address
            )
            yield _events.Send(helper.address, msg)

    def _probe(self, now: float) -> abc.Iterator[object]:
        """End the last probe, suspecting its target, and start the next."""
        unreached = self._detector.finish_probe()
        if unreached is not None and not self._updates.view.isolated:
            record = unreached.with_changes(state=_State.SUSPECT)
            yield from self._updates.publish(record, now)
        started = self._detector.start_probe(now)
        if started is not None:
            yield self._dissemination.ping(*started, now)

    def _fill_tables(self, now: float) -> abc.Iterator[object]:
        """Ping further hosts after a start, to compare tables with them."""
        others = [host for host in self.live() if host.id != self.me.id]
        if others and self._updates.is_recently_started(now):
            host = self._rng.choice(others)
            yield self._dissemination.ping(
                host, self._detector.next_sequence(), now
            )

    def _probe_zones(self, now: float) -> abc.Iterator[object]:
        """As a relay, probe a host of each other zone and make reports."""
        if not self._updates.is_relay:
            self._zones.clear_contacts()
            return
        for zone in sorted(self._hosts.zones()):
            live = self._hosts.live_in(zone)
            if zone == self._updates.me.zone or not live:
                continue
            self._zones.on_probe_sent(zone, now)
            host = self._rng.choice(live)
            yield self._dissemination.ping(
                host, self._detector.next_sequence(), now
            )
        if not self._updates.view.isolated:
            yield from self._updates.emit(self._zones.make_reports(now), now)

    def _join(self, now: float) -> abc.Iterator[object]:
        """Send joins to the seeds while no other host counts as live."""
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
        """Contact one dead host and one seed that isn't known to be live.

        This merges two partitions that declared each other dead.
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
        """Announce that this host leaves; it may go on working for a while."""
        if self._leaving:
            return iter(())
        self._leaving = True
        self._zones.leave()
        self._updates.me = self._updates.me.with_changes(state=_State.LEFT)
        actions = list(self._updates.publish(self._updates.me, now))
        actions += self._dissemination.announce_leave()
        return iter(actions)

    def on_message(
        self, src: ids.Address, msg: object, now: float
    ) -> abc.Iterator[object]:
        """Handle a received message; drop and count malformed parts."""
        return iter(list(self._handlers.receive(msg, src, now)))
