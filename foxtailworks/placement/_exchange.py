"""What hosts tell one another of flows that stand off the table.

A host tells the heir of each slot it owns, the owner of each slot it doesn't
own, and a host that has started all that it should know.
"""

from collections import abc
import dataclasses
import functools
import typing

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _knowledge
from foxtailworks.placement import _messages
from foxtailworks.placement import _standing
from foxtailworks.placement import _types
from foxtailworks.placement import _walk

FROZEN_S = 3.0
"""A host whose timer stood still for so long asks what it missed."""
HURRY_S = 30.0
"""After a change of hosts nothing waits for a full batch."""
REFUSED_S = 2.0
"""What another host refused is told in other terms after so long."""
DROP_AFTER_S = 10.0
"""Flows handed over are kept so long after the hosts changed."""


class Exchange(_knowledge.Knowledge):
    """Keeps exceptions of this host at others, and theirs here."""

    # Time.

    def is_whole(self) -> bool:
        """Return whether every other host knows what it should."""
        if self._dirty or self._scan is not None:
            return False
        return all(self._is_told(host) for host in self._ring.peers())

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
        if now < self._started + self._cfg.handover_s and not (peers and told):
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
        return self._send(host, _messages.Handshake(self._epoch, age_s))

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
            hearsay = dataclasses.replace(standing, is_indirect=True)
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
        if message.upstream or message.is_indirect:
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
        self, message: _messages.Handshake, origin: ids.HostId, now: float
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
