"""Handlers of the messages that hosts exchange."""

from collections import abc
import functools
import itertools

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _detector
from foxtailworks.membership import _dissemination
from foxtailworks.membership import _events
from foxtailworks.membership import _hosts
from foxtailworks.membership import _messages
from foxtailworks.membership import _replication
from foxtailworks.membership import _sync
from foxtailworks.membership import _updates
from foxtailworks.membership import _zones


class MessageHandlers:
    """Handles each message by its type and yields actions and events.

    :param updates: merges the records in messages
    :param sync: compares tables with the sender
    """

    def __init__(
        self,
        config: _config.Config,
        hosts: _hosts.HostTable,
        zones: _zones.ZoneMonitor,
        detector: _detector.Detector,
        updates: _updates.UpdateHandler,
        sync: _sync.Sync,
        dissemination: _dissemination.Dissemination,
    ) -> None:
        self._cfg = config
        self._hosts = hosts
        self._zones = zones
        self._detector = detector
        self._updates = updates
        self._sync = sync
        self._dissemination = dissemination

    @functools.singledispatchmethod
    def receive(
        self, msg: object, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Drop and count a message of an unknown type."""
        self._updates.malformed_count += 1
        yield from ()

    @receive.register
    def _on_ping(
        self, msg: _messages.Ping, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Merge piggybacked updates and answer with an ack."""
        yield from self._on_contact(msg.sender, now)
        yield from self._updates.merge_gossip(msg.items, msg.sender, now)
        sender = self._hosts.get(msg.sender)
        items = (
            self._dissemination.piggyback(sender, now)
            if sender is not None
            else ()
        )
        ack = _messages.Ack(
            self._updates.me.id,
            self._updates.me.incarnation,
            msg.sequence,
            self._sync.roots(),
            items,
        )
        yield _events.Send(src, ack)

    @receive.register
    def _on_ack(
        self, msg: _messages.Ack, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """End the probe and compare tables with the sender."""
        yield from self._on_contact(msg.sender, now)
        self._detector.on_ack(msg.sequence)
        relayed = self._detector.pop_relayed(msg.sequence)
        if relayed is not None:
            reply = _messages.PingReply(self._updates.me.id, relayed.sequence)
            yield _events.Send(relayed.requester, reply)
        yield from self._updates.merge_gossip(msg.items, msg.sender, now)
        yield from self._dissemination.bulk(
            src,
            self._sync.compare(
                msg.roots, self._updates.is_recently_started(now), now
            ),
        )

    @receive.register
    def _on_ping_request(
        self, msg: _messages.PingRequest, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Ping the target on behalf of another host."""
        target = self._hosts.get(msg.target)
        sequence = self._detector.next_sequence()
        relayed = _detector.IndirectProbe(
            src, msg.sequence, now + self._cfg.probe_interval_s
        )
        if target is not None and self._detector.add_relayed(
            sequence, relayed
        ):
            yield self._dissemination.ping(target, sequence, now)

    @receive.register
    def _on_ping_reply(
        self, msg: _messages.PingReply, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """End the probe, since the target acked to another host."""
        self._detector.on_ack(msg.sequence)
        yield from self._updates.on_contact(now)

    @receive.register
    def _on_join(
        self, msg: _messages.Join, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Merge a new host and send it all hosts, those of its zone first."""
        scope = _replication.GossipScope.EVERYWHERE
        yield from self._updates.merge_host(msg.host, scope, now)
        if msg.host.id == self._updates.me.id:
            return
        near = self._hosts.in_zone(msg.host.zone)
        far = (h for h in self._hosts.all() if h.zone != msg.host.zone)
        hosts = itertools.chain(near, far)
        items = (self._hosts.encoded(host.id) for host in hosts)
        yield from self._dissemination.bulk(
            src,
            self._sync.records(
                items, self._dissemination.available_bytes(now)
            ),
        )

    @receive.register
    def _on_gossip(
        self, msg: _messages.Gossip, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Merge the updates of a gossip message."""
        yield from self._updates.on_contact(now)
        yield from self._updates.merge_gossip(msg.items, msg.sender, now)

    @receive.register
    def _on_packed_gossip(
        self, msg: _messages.PackedGossip, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Merge the updates of a compressed gossip message."""
        yield from self._updates.on_contact(now)
        items = self._updates.unpack(msg.packed)
        yield from self._updates.merge_gossip(items, msg.sender, now)

    @receive.register
    def _on_buckets(
        self, msg: _messages.Buckets, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Send the own records of the buckets that differ."""
        yield from self._updates.on_contact(now)
        try:
            answers = list(
                self._sync.answer(
                    msg, self._dissemination.available_bytes(now)
                )
            )
        except errors.FoxtailError:
            self._updates.malformed_count += 1
            return
        yield from self._dissemination.bulk(src, answers)

    @receive.register
    def _on_records(
        self, msg: _messages.Records, src: ids.Address, now: float
    ) -> abc.Iterator[object]:
        """Merge the records received from a table comparison."""
        yield from self._updates.on_contact(now)
        items = self._updates.unpack(msg.packed)
        yield from self._updates.merge_records(items, msg.sender, now)

    def _on_contact(
        self, sender: ids.HostId, now: float
    ) -> abc.Iterator[object]:
        """Record contact with the sender, and with its zone if not the own."""
        yield from self._updates.on_contact(now)
        host = self._hosts.get(sender)
        if host is not None and host.zone != self._updates.me.zone:
            self._zones.on_contact(host.zone, now)
