"""What hosts tell one another of flows that stand off the table.

A host tells the heir of each slot it owns, the owner of each slot it doesn't
own, and a host that has started all that it should know.
"""

from collections import abc
import dataclasses
import functools
import itertools
import typing

from foxtailworks import ids
from foxtailworks.placement import _flows
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _incoming
from foxtailworks.placement import _messages
from foxtailworks.placement import _outgoing
from foxtailworks.placement import _peers
from foxtailworks.placement import _standing
from foxtailworks.placement import _types
from foxtailworks.placement import _upstreams
from foxtailworks.placement import _walk

FROZEN_S = 3.0
"""A host whose timer stood still for so long asks what it missed."""
HURRY_S = 30.0
"""After a change of hosts nothing waits for a full batch."""
REFUSED_S = 2.0
"""What another host refused is told in other terms after so long."""
DROP_AFTER_S = 10.0
"""Flows handed over are kept so long after the hosts changed."""


class Exchange:
    """Keeps exceptions of this host at others, and theirs here.

    :param me: this host
    :param epoch: its incarnation
    :param now: time of its start
    """

    def __init__(
        self,
        me: ids.HostId,
        epoch: int,
        now: float,
        cfg: _types.PlacementConfig,
        ring: _hosts.HostRing,
        book: _upstreams.UpstreamBook,
        table: _flows.FlowTable,
    ) -> None:
        self._me = me
        self._epoch = epoch
        self._started = now
        self._now = now
        self._cfg = cfg
        self._ring = ring
        self._book = book
        self._table = table
        self._numbers = itertools.count(1)
        self._outgoing: dict[ids.HostId, _outgoing.Outgoing] = {}
        self._incoming = _incoming.Incoming(cfg.max_held)
        self._walk = _walk.Walk(cfg, ring, table)
        self._peers = _peers.Peers(ring, now)
        self._starting = True
        self._scan: abc.Iterator[None] | None = None
        self._scan_due = now
        self._dirty = True
        self._tokens = cfg.control_burst_bytes
        self._turn = 0
        self.sent_bytes = 0
        """Control messages sent, headers included."""
        self.ignored = 0
        """Control messages that were late or unknown."""

    # What the placer asks.

    @property
    def held(self) -> int:
        """Exceptions of other hosts kept here."""
        return len(self._incoming)

    @property
    def told(self) -> int:
        """Exceptions that other hosts are told of."""
        return sum(out.told for out in self._outgoing.values())

    def lookup(
        self, service: ids.ServiceId, key: int, route: _hosts.Route
    ) -> _upstreams.Upstream | None:
        """Return the upstream on which others said that a flow stands."""
        mark = _hashing.fingerprint(key)
        for standing, _ in self._incoming.lookup(mark):
            name: ids.UpstreamId | None = standing.upstream
            if not name:
                name = self._base(standing.view, service, key, route)
            upstream = self._book.get(name) if name else None
            if upstream is not None and upstream.view.service == service:
                return upstream
        return None

    def who_knows(self, key: int) -> ids.HostId | None:
        """Return who told of a flow in terms that this host lacks.

        A host that has started doesn't know the sets of upstreams of before.
        """
        mark = _hashing.fingerprint(key)
        for standing, origin in self._incoming.lookup(mark):
            if standing.upstream or self._book.knows_view(standing.view):
                return None
            if self._ring.is_present(origin):
                return origin
        return None

    def _base(
        self,
        view_hash: int,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
    ) -> ids.UpstreamId | None:
        """Return what the table of a remembered set of upstreams says."""
        if not self._book.knows_view(view_hash):
            return None
        return self._table.base(view_hash, service, key, route)

    def whom_to_ask(
        self, route: _hosts.Route, now: float
    ) -> ids.HostId | None:
        """Return the host that may know a flow that this owner doesn't."""
        if self._starting:
            hosts = (route.prior, route.heir)
        elif now >= self._ring.changed_at + self._cfg.ask_s:
            return None
        elif route.prior and self._ring.is_present(route.prior):
            hosts = (route.prior, None)
        else:
            hosts = (route.returned, None)
        knowing = (h for h in hosts if h and self._may_know(h, now))
        host = next(knowing, None)
        return None if host is None or self._is_synced(host) else host

    def _may_know(self, host: ids.HostId, now: float) -> bool:
        """Return whether ``host`` is present and hasn't just started."""
        if not self._ring.is_present(host):
            return False
        return not self._peers.started_within(host, self._cfg.ask_s, now)

    def _is_synced(self, host: ids.HostId) -> bool:
        """Return whether ``host`` told all, in terms of known views."""
        goal = self._incoming.goal_of(host)
        if goal is None or not self._book.knows_view(goal.upstreams):
            return False
        return self._incoming.is_whole(host, self._ring.view_hash)

    @property
    def starting(self) -> bool:
        """Whether this host still learns what others know."""
        return self._starting

    def is_new(self, host: ids.HostId, now: float) -> bool:
        """Return whether ``host`` doesn't know yet what others know."""
        if self._peers.epoch(host) == 0:
            return True
        return self._peers.started_within(host, self._cfg.ask_s, now)

    def base_view(self, route: _hosts.Route) -> int:
        """Return the set of upstreams by which the last owner placed."""
        if route.prior is None:
            return self._book.view_hash
        goal = self._incoming.goal_of(route.prior)
        if goal is None or not self._book.knows_view(goal.upstreams):
            return self._book.view_hash
        return goal.upstreams

    def note_placed(
        self, key: int, upstream: _upstreams.Upstream, route: _hosts.Route
    ) -> None:
        """Have the next host told of a flow if it stands off the table."""
        target = self._table.target(route)
        if target is None:
            return
        mark = _hashing.fingerprint(key)
        out = self._out(target)
        views = {self._book.view_hash}
        # The other host still goes by the set that it was told last.
        if out.goal is not None and self._book.knows_view(out.goal.upstreams):
            views.add(out.goal.upstreams)
        standing = _standing.at_base(self._book.view_hash)
        if any(
            self._table.is_exception(key, upstream, route, view)
            for view in views
        ):
            standing = _standing.Standing(upstream.view.upstream)
        out.add(mark, standing)

    def _told(self, host: ids.HostId, mark: int) -> _standing.Standing | None:
        """Return what ``host`` is told of a flow."""
        out = self._outgoing.get(host)
        return out.standing_of(mark) if out is not None else None

    def is_whole(self) -> bool:
        """Return whether every other host knows what it should."""
        if self._dirty or self._scan is not None:
            return False
        return all(self._is_told(host) for host in self._ring.peers())

    # Changes.

    def set_idle_times(
        self, idle_s: typing.Mapping[ids.ServiceId, float]
    ) -> None:
        """Take in the idle time of each service's flows."""
        self._walk.set_idle_times(idle_s)

    def tables_changed(self) -> None:
        """Look through all flows for new exceptions."""
        self._dirty = True

    def hosts_changed(self) -> None:
        """Forget what was told to hosts that are gone."""
        self._dirty = True
        self._peers.hosts_changed()
        gone = [h for h in self._outgoing if not self._ring.is_present(h)]
        for host in gone:
            del self._outgoing[host]

    def _out(self, host: ids.HostId) -> _outgoing.Outgoing:
        """Return what is being told to ``host``."""
        out = self._outgoing.get(host)
        if out is None:
            out = _outgoing.Outgoing(self._epoch, self._numbers)
            out.to_epoch = self._peers.epoch(host)
            self._outgoing[host] = out
        return out

    # Time.

    def on_tick(self, now: float) -> abc.Iterator[_types.Send]:
        """Yield the control messages that the budget allows now."""
        budget = self._cfg.control_bytes_per_s * (now - self._now)
        self._tokens = min(
            self._tokens + budget, self._cfg.control_burst_bytes
        )
        if now - self._now > FROZEN_S:
            self._ring.awoke(now)
            self._incoming.forget_goals()
            self._dirty = True
        self._now = now
        self._walk.now = now
        if self._ring.tick(now):
            self._dirty = True
        self._check_start(now)
        self._run_scan(now)
        yield from self._greet(now)
        yield from self._flush(now)

    def _check_start(self, now: float) -> None:
        """End the start when its time is over or all other hosts told."""
        if not self._starting:
            return
        peers = self._ring.peers()
        told = all(self._is_synced(host) for host in peers)
        if now < self._started + self._cfg.ask_s and not (peers and told):
            return
        self._starting = False
        self._ring.end_start(now)
        self._dirty = True

    def _greet(self, now: float) -> abc.Iterator[_types.Send]:
        """Tell the other hosts who this one is."""
        for host in self._peers.to_greet(now):
            if self._tokens > 0:
                yield self._hello(host, now)

    def _hello(self, host: ids.HostId, now: float) -> _types.Send:
        """Tell ``host`` the epoch of this one."""
        age_s = now - self._started
        return self._send(host, _messages.Resend(self._epoch, age_s))

    def _flush(self, now: float) -> abc.Iterator[_types.Send]:
        """Yield digests, each host in turn."""
        hosts = [
            host
            for host, out in self._outgoing.items()
            if out.to_epoch and not out.is_done
        ]
        if not hosts or self._tokens <= 0:
            return
        self._turn += 1
        shift = self._turn % len(hosts)
        notices = self._ring.notices(now)
        may_finish = not self._starting
        hurry = self._ring.is_leaving or now < self._ring.changed_at + HURRY_S
        for host in hosts[shift:] + hosts[:shift]:
            out = self._outgoing[host]
            for msg in out.messages(now, notices, may_finish, hurry):
                yield self._send(host, msg)
                if self._tokens <= 0:
                    return

    def _send(
        self, host: ids.HostId, message: _messages.Message
    ) -> _types.Send:
        """Charge the budget for one message."""
        size = _messages.size_of(message)
        self._tokens -= size
        self.sent_bytes += size
        return _types.Send(host, message)

    def _run_scan(self, now: float) -> None:
        """Go on with the walk over all flows, or begin the next."""
        if self._scan is None and (self._dirty or now >= self._scan_due):
            self._dirty = False
            self._scan_due = now + self._cfg.refresh_s
            self._scan = self._gather()
        if self._scan is not None:
            self._scan = None if next(self._scan, self) else self._scan

    def _gather(self) -> abc.Iterator[None]:
        """Have every other host told what it should know."""
        wanted: _walk.Wanted = {}
        goal = self._goal()
        peers = self._ring.peers()
        self._incoming.sweep(peers, self._ring.settle_s, self._now)
        self._gather_held(wanted)
        yield from self._walk.run(
            goal.upstreams, wanted, self._is_handed_over, self._told
        )
        for host in self._ring.peers():
            self._out(host).set_all(wanted.get(host, {}), goal)

    def _gather_held(self, wanted: _walk.Wanted) -> None:
        """Pass on what dead or restarted hosts had told."""
        for mark, standing, origin, epoch in self._incoming.items():
            route = self._ring.route(_hashing.slot_of_fingerprint(mark))
            target = self._table.target(route)
            if target is None:
                continue
            runs = self._ring.is_present(origin)
            if runs and self._peers.epoch(origin) <= epoch:
                # It tells the owner itself.
                if route.owner != self._me or target == origin:
                    continue
            hearsay = dataclasses.replace(standing, is_hearsay=True)
            wanted.setdefault(target, {})[mark] = hearsay

    def _is_handed_over(self, owner: ids.HostId | None) -> bool:
        """Return whether another owner knows all that this host knows."""
        if owner is None or owner == self._me:
            return False
        if self._now - self._ring.changed_at < DROP_AFTER_S:
            return False
        return self._is_told(owner)

    def _is_told(self, host: ids.HostId) -> bool:
        """Return whether ``host`` acknowledged what it should know."""
        out = self._outgoing.get(host)
        if out is None:
            return False
        return out.is_done and out.reached == self._goal()

    def _goal(self) -> _standing.Goal:
        """Return the views that exceptions refer to now."""
        return _standing.Goal(self._ring.view_hash, self._book.view_hash)

    # Messages.

    def on_message(
        self, origin: ids.HostId, message: typing.Any, now: float
    ) -> tuple[_types.Send, ...]:
        """Take in a control message of another entry host."""
        if not self._ring.is_known(origin):
            self.ignored += 1
            return ()
        return tuple(self._handle(message, origin, now))

    @functools.singledispatchmethod
    def _handle(
        self, message: typing.Any, origin: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Count what isn't a control message of placement."""
        self.ignored += 1
        return iter(())

    @_handle.register
    def _on_digest(
        self, message: _messages.Digest, origin: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Keep another host's exceptions."""
        if message.to_epoch != self._epoch:
            yield self._hello(origin, now)
            return
        if self._is_unclear(message):
            ack = _messages.DigestAck(message.epoch, (message.seq,), True)
            yield self._send(origin, ack)
        elif self._incoming.take_digest(origin, message):
            yield self._ack(origin, message.epoch, message.seq)

    def _is_unclear(self, message: _messages.Digest) -> bool:
        """Return whether the sender should tell it in other terms.

        What it has from a third host it can't; that is kept, and the sender
        is asked when a packet comes.
        """
        if message.upstream or message.is_hearsay:
            return False
        return not self._book.knows_view(message.view)

    @_handle.register
    def _on_synced(
        self, message: _messages.Synced, origin: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Note that another host told all."""
        if message.to_epoch != self._epoch:
            yield self._hello(origin, now)
            return
        if not self._incoming.take_synced(origin, message, now):
            return
        if self._starting:
            self._ring.adopt(message.absent, message.fresh, now)
        yield self._ack(origin, message.epoch, message.seq)

    def _ack(self, origin: ids.HostId, epoch: int, seq: int) -> _types.Send:
        """Acknowledge a message, which shows that its sender is met."""
        self._peers.note_greeted(origin)
        return self._send(origin, _messages.DigestAck(epoch, (seq,)))

    @_handle.register
    def _on_ack(
        self, message: _messages.DigestAck, origin: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Note what arrived at another host."""
        if message.epoch != self._epoch:
            self.ignored += 1
        elif not message.seqs:
            self._peers.note_greeted(origin)
        elif origin not in self._outgoing:
            self.ignored += 1
        elif message.is_refused:
            self._outgoing[origin].refuse(message.seqs)
            self._scan_due = min(self._scan_due, now + REFUSED_S)
        else:
            self._outgoing[origin].acknowledge(message.seqs)
        return iter(())

    @_handle.register
    def _on_resend(
        self, message: _messages.Resend, origin: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Send a host that has started all that it should know."""
        known = self._peers.epoch(origin)
        if message.epoch < known or not self._ring.is_present(origin):
            self.ignored += 1
            return
        if message.epoch > known:
            self._peers.meet(origin, message.epoch, now - message.age_s)
            self._begin_anew(origin, message.epoch)
        yield self._send(origin, _messages.DigestAck(message.epoch, ()))

    def _begin_anew(self, origin: ids.HostId, epoch: int) -> None:
        """Tell a host that has started everything again."""
        out = self._out(origin)
        out.to_epoch = epoch
        out.restart()
        self._dirty = True
