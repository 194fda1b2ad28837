"""Exchange of flow assignments between entry hosts.

A host sends the assignments of each slot that it owns to the successor, and
those of other slots to their owners.  A host that has started is sent all
assignments that concern it again.
"""

from collections import abc
import dataclasses
import functools
import typing

from foxtailworks import ids
from foxtailworks.placement import _assignment
from foxtailworks.placement import _flow_scan
from foxtailworks.placement import _hashing
from foxtailworks.placement import _messages
from foxtailworks.placement import _peer_flows
from foxtailworks.placement import _types

FROZEN_S = 3.0
"""Seconds without a tick after which a host assumes it was frozen."""
SKIP_BATCHING_S = 30.0
"""Seconds after a change of hosts in which no batch waits to fill."""
REJECTED_RETRY_S = 2.0
"""Seconds until rejected assignments are sent in another form."""
HANDOVER_DELAY_S = 10.0
"""Seconds after a change of hosts before flows are handed over."""


class Exchange(_peer_flows.PeerFlows):
    """Sends assignments to other hosts and stores the ones received."""

    # Time.

    def is_complete(self) -> bool:
        """Return whether every other host has all assignments it needs."""
        if self._needs_scan or self._scan_steps is not None:
            return False
        return all(
            self._is_up_to_date(host) for host in self._host_table.peers()
        )

    def on_tick(self, now: float) -> abc.Iterator[_types.Send]:
        """Yield the control messages that the budget allows now."""
        budget = self._cfg.control_bytes_per_s * (now - self._now)
        self._tokens = min(
            self._tokens + budget, self._cfg.control_burst_bytes
        )
        if now - self._now > FROZEN_S:
            self._host_table.on_resumed(now)
            self._incoming.forget_views()
            self._needs_scan = True
        self._now = now
        self._flow_scan.now = now
        if self._host_table.tick(now):
            self._needs_scan = True
        self._check_start(now)
        self._run_scan(now)
        yield from self._send_handshakes(now)
        yield from self._flush(now)

    def _check_start(self, now: float) -> None:
        """End the startup after a timeout or once all hosts have synced."""
        if not self._is_starting:
            return
        peers = self._host_table.peers()
        all_synced = all(self._has_synced(host) for host in peers)
        if now < self._started_at + self._cfg.handover_s and not (
            peers and all_synced
        ):
            return
        self._is_starting = False
        self._host_table.end_startup(now)
        self._needs_scan = True

    def _send_handshakes(self, now: float) -> abc.Iterator[_types.Send]:
        """Send the handshakes that are due and that the budget allows."""
        for host in self._peers.handshakes_due(now):
            if self._tokens > 0:
                yield self._handshake(host, now)

    def _handshake(self, host: ids.HostId, now: float) -> _types.Send:
        """Return a handshake with the incarnation of this host."""
        age_s = now - self._started_at
        return self._send(host, _messages.Handshake(self._epoch, age_s))

    def _flush(self, now: float) -> abc.Iterator[_types.Send]:
        """Yield pending messages, starting with another host each time."""
        hosts = [
            host
            for host, out in self._outgoing.items()
            if out.to_epoch and not out.is_done
        ]
        if not hosts or self._tokens <= 0:
            return
        self._round += 1
        shift = self._round % len(hosts)
        recent_changes = self._host_table.recent_changes(now)
        may_sync = not self._is_starting
        skip_batching = (
            self._host_table.is_leaving
            or now < self._host_table.changed_at + SKIP_BATCHING_S
        )
        for host in hosts[shift:] + hosts[:shift]:
            out = self._outgoing[host]
            for msg in out.messages(
                now, recent_changes, may_sync, skip_batching
            ):
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
        """Run a step of the scan of all flows, or begin the next scan."""
        if self._scan_steps is None and (
            self._needs_scan or now >= self._next_scan_at
        ):
            self._needs_scan = False
            self._next_scan_at = now + self._cfg.refresh_s
            self._scan_steps = self._scan_flows()
        if self._scan_steps is not None:
            self._scan_steps = (
                None if next(self._scan_steps, self) else self._scan_steps
            )

    def _scan_flows(self) -> abc.Iterator[None]:
        """Scan the flows, then queue all assignments for each host."""
        by_host: _flow_scan.AssignmentsByHost = {}
        views = self._current_views()
        peers = self._host_table.peers()
        self._incoming.discard_expired(
            peers, self._host_table.settle_s, self._now
        )
        self._add_received(by_host)
        yield from self._flow_scan.run(
            views.upstreams_hash,
            by_host,
            self._is_handed_over,
            self._sent_assignment,
        )
        for host in self._host_table.peers():
            self._outgoing_to(host).set_all(by_host.get(host, {}), views)

    def _add_received(self, by_host: _flow_scan.AssignmentsByHost) -> None:
        """Add assignments received from dead or restarted hosts."""
        for fingerprint, assignment, sender, epoch in self._incoming.items():
            route = self._host_table.route(
                _hashing.slot_of_fingerprint(fingerprint)
            )
            receiver = self._flow_table.receiver(route)
            if receiver is None:
                continue
            is_running = self._host_table.is_present(sender)
            if is_running and self._peers.epoch(sender) <= epoch:
                # That host sends it to the owner itself.
                if route.owner != self._me or receiver == sender:
                    continue
            indirect = dataclasses.replace(assignment, is_indirect=True)
            by_host.setdefault(receiver, {})[fingerprint] = indirect

    def _is_handed_over(self, owner: ids.HostId | None) -> bool:
        """Return whether another owner has all assignments of this host."""
        if owner is None or owner == self._me:
            return False
        if self._now - self._host_table.changed_at < HANDOVER_DELAY_S:
            return False
        return self._is_up_to_date(owner)

    def _is_up_to_date(self, host: ids.HostId) -> bool:
        """Return whether ``host`` has acknowledged all assignments."""
        out = self._outgoing.get(host)
        if out is None:
            return False
        return out.is_done and out.acked_views == self._current_views()

    def _current_views(self) -> _assignment.ViewHashes:
        """Return the hashes of the current hosts and upstreams."""
        return _assignment.ViewHashes(
            self._host_table.hosts_hash,
            self._upstream_index.upstreams_hash,
        )

    # Messages.

    def on_message(
        self, sender: ids.HostId, message: typing.Any, now: float
    ) -> tuple[_types.Send, ...]:
        """Handle a control message and return the replies."""
        if not self._host_table.is_known(sender):
            self.ignored += 1
            return ()
        return tuple(self._handle(message, sender, now))

    @functools.singledispatchmethod
    def _handle(
        self, message: typing.Any, sender: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Count a message of another type as ignored."""
        self.ignored += 1
        return iter(())

    @_handle.register
    def _on_digest(
        self, message: _messages.Digest, sender: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Store the assignments in a digest, or reject it."""
        if message.to_epoch != self._epoch:
            yield self._handshake(sender, now)
            return
        if self._is_unresolvable(message):
            ack = _messages.DigestAck(message.epoch, (message.seq,), True)
            yield self._send(sender, ack)
        elif self._incoming.on_digest(sender, message):
            yield self._ack(sender, message.epoch, message.seq)

    def _is_unresolvable(self, message: _messages.Digest) -> bool:
        """Return whether the sender should send another form.

        An indirect assignment is kept even if its set of upstreams is
        unknown here: its sender has no other form of it, and is queried when
        a packet arrives.
        """
        if message.upstream or message.is_indirect:
            return False
        return not self._upstream_index.remembers(message.upstreams_hash)

    @_handle.register
    def _on_synced(
        self, message: _messages.Synced, sender: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Record that another host has sent all its assignments."""
        if message.to_epoch != self._epoch:
            yield self._handshake(sender, now)
            return
        if not self._incoming.on_synced(sender, message, now):
            return
        if self._is_starting:
            self._host_table.merge_recent_changes(
                message.dead_hosts, message.joined_hosts, now
            )
        yield self._ack(sender, message.epoch, message.seq)

    def _ack(self, sender: ids.HostId, epoch: int, seq: int) -> _types.Send:
        """Acknowledge a message; its sender has this host's incarnation."""
        self._peers.note_acknowledged(sender)
        return self._send(sender, _messages.DigestAck(epoch, (seq,)))

    @_handle.register
    def _on_ack(
        self, message: _messages.DigestAck, sender: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Apply an acknowledgement or rejection by another host."""
        if message.epoch != self._epoch:
            self.ignored += 1
        elif not message.seqs:
            self._peers.note_acknowledged(sender)
        elif sender not in self._outgoing:
            self.ignored += 1
        elif message.is_rejected:
            self._outgoing[sender].reject(message.seqs)
            self._next_scan_at = min(
                self._next_scan_at, now + REJECTED_RETRY_S
            )
        else:
            self._outgoing[sender].acknowledge(message.seqs)
        return iter(())

    @_handle.register
    def _on_handshake(
        self, message: _messages.Handshake, sender: ids.HostId, now: float
    ) -> abc.Iterator[_types.Send]:
        """Acknowledge a handshake; start again with a new incarnation."""
        known = self._peers.epoch(sender)
        if message.epoch < known or not self._host_table.is_present(sender):
            self.ignored += 1
            return
        if message.epoch > known:
            self._peers.set_incarnation(
                sender, message.epoch, now - message.age_s
            )
            self._restart_sync(sender, message.epoch)
        yield self._send(sender, _messages.DigestAck(message.epoch, ()))

    def _restart_sync(self, sender: ids.HostId, epoch: int) -> None:
        """Send all assignments again to a host that has restarted."""
        out = self._outgoing_to(sender)
        out.to_epoch = epoch
        out.restart()
        self._needs_scan = True
