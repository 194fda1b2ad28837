"""The coordinator: connects node, registry, disk and datagrams."""

from collections import abc
import math
import random

from foxtailworks import agreement
from foxtailworks.coordinator import _answering
from foxtailworks.coordinator import _committed
from foxtailworks.coordinator import _dispatch
from foxtailworks.coordinator import _documents
from foxtailworks.coordinator import _edge_hosts
from foxtailworks.coordinator import _group
from foxtailworks.coordinator import _hints
from foxtailworks.coordinator import _instance_log
from foxtailworks.coordinator import _load
from foxtailworks.coordinator import _messages
from foxtailworks.coordinator import _peers
from foxtailworks.coordinator import _presence
from foxtailworks.coordinator import _relay
from foxtailworks.coordinator import _settings
from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import logs
from foxtailworks import polling
from foxtailworks import replicated
from foxtailworks import revisions

REOPEN_INTERVAL_S = 0.5
"""Interval between attempts to open a disk that refused a write."""
STOPPED_GAP_S = 1.0
"""Gap between two ticks from which on the process counts as stopped."""
COMPACT_ENTRIES = 64
"""Applied entries after which a snapshot is taken; few, as documents are
large."""

_EVENTS = logs.Events("coordinator")


class Coordinator:
    """A coordinator, driven by datagrams and ticks on one event loop.

    :param read_table: returns the routes in a document
    :param clock: returns seconds that also pass while the process is stopped
    :param open_files: opens the journal's folder; called again after a
        failure of the disk
    """

    def __init__(
        self,
        cfg: _settings.Settings,
        read_table: _edge_hosts.ReadTable,
        clock: abc.Callable[[], float],
        rng: random.Random,
        open_files: abc.Callable[[], journal.Files] | None = None,
    ) -> None:
        self._cfg = cfg
        self._open_files = open_files or (
            lambda: journal.DiskFiles(cfg.data_folder)
        )
        self._clock = clock
        self._rng = rng
        now = clock()
        self._session = rng.getrandbits(62)
        self.registry = discovery.Registry(
            self._session, cfg.lease_s, self._names_service
        )
        self._peers = _peers.Peers(cfg.listen_address, cfg.seeds, now)
        self._committed = _committed.Committed()
        self._edge_hosts = _edge_hosts.EdgeHosts(
            self.registry,
            self._peers,
            read_table,
            self._encode,
            rng,
            clock,
            self._committed.returned,
        )
        self._answering = _answering.Answering(
            self._edge_hosts,
            lambda: (self._committed_state(), self._is_current()),
            self._send_encoded,
            clock,
        )
        self._load = _load.LoadExchange(
            cfg.listen_address,
            cfg.shares_load,
            self._edge_hosts.is_follower,
            self._peers.addresses,
        )
        self._endpoint: datagram.Endpoint | None = None
        self._last_tick = now
        self._group = _group.Group(cfg, self._peers, now)
        self._relay = _relay.Relay(self.registry, self._peers, now)
        self._announcer = _presence.Announcer(
            cfg, self._peers, self._session, now
        )
        self._next_reopen_at = 0.0
        self.node: replicated.Node | None = None
        self.documents: _documents.Documents | None = None
        self._open_disk(now)
        self._hints = _hints.Hints(cfg.data_folder, clock)
        if not cfg.is_first_start:
            saved = self._hints.load()
            self.registry.restore((*saved.gone, *saved.instances), now)
            self._committed.restore(saved.state, saved.returned, now)

    # Disk and node.

    def _open_disk(self, now: float) -> None:
        """Read the disk and create the node; on failure retry later."""
        self._next_reopen_at = now + REOPEN_INTERVAL_S
        try:
            disk = journal.Journal(self._open_files(), _group.new_keeper)
            node = replicated.Node(
                disk,
                revisions.restore,
                self._rng,
                now,
                compact_entries=COMPACT_ENTRIES,
            )
        except errors.FoxtailError as exc:
            _EVENTS.failed("disk_refused", exc)
            return
        self.node = node
        self.documents = _documents.Documents(
            node,
            self.process_events,
            self._clock,
            lambda form: self._group.outdated(node, form),
        )
        _EVENTS.info(
            "disk_opened",
            keeper=self.node.replica.keeper,
            group=self.node.replica.group,
            term=self.node.replica.term,
            last_index=self.node.replica.last_index,
        )

    def _close_disk(self, exc: errors.FoxtailError) -> None:
        """Discard the node after a failed write, until the disk is read again.

        What a failed sync left on the disk isn't known, so the node must not
        continue with its state in memory.
        """
        _EVENTS.failed("disk_lost", exc)
        self._discard_node(self._clock() + REOPEN_INTERVAL_S)

    def _discard_node(self, reopen_at: float) -> None:
        """Discard the node and close its disk until ``reopen_at``."""
        node, documents = self.node, self.documents
        self.node = self.documents = None
        self._next_reopen_at = reopen_at
        if documents is not None:
            documents.abort_waiting()
        if node is not None:
            node.disk.close()

    def process_events(self) -> None:
        """Flush the node and carry out its events until none is left."""
        while self.node is not None:
            try:
                self.node.flush(self._clock())
            except errors.FoxtailError as exc:
                if exc.code is not errors.Code.JOURNAL_UNWRITABLE:
                    raise
                self._close_disk(exc)
                return
            events = self.node.take_events()
            if not events:
                return
            for event in events:
                self._on_event(event)

    def _on_event(self, event: replicated.Event) -> None:
        """Send, log or pass on one event of the node."""
        if self.node is None:
            return
        if isinstance(event, agreement.Send):
            self._send_consensus_message(event)
        elif isinstance(event, replicated.Stopped):
            # The disk isn't opened again before the process starts with
            # another release: this one would vote for what it can't apply.
            _EVENTS.failed("command_unreadable", event.error)
            self._discard_node(math.inf)
        elif isinstance(event, agreement.RoleChanged):
            self._group.on_role_changed(self._clock())
            _EVENTS.info(
                "role_changed",
                role=event.role,
                term=event.term,
                leader=event.leader or "",
            )
        elif self.documents is not None:
            self.documents.on_event(event)

    def _send_consensus_message(self, event: agreement.Send) -> None:
        """Send a consensus message to the address of its receiver."""
        assert self.node is not None
        address = self._group.address_of(self.node, event.to)
        if address is None:
            return
        body = _messages.CONSENSUS_CODEC.encode(event.msg)
        src = self.node.replica.keeper
        self._send(_messages.ConsensusMessage(src, event.to, body), address)

    # Interface for operators' requests.

    def leader_address(self) -> ids.Address | None:
        """Return the address of another coordinator that leads, or None."""
        node = self.node
        if node is None or node.replica.leader is None:
            return None
        if node.replica.leader == node.replica.keeper:
            return None
        return self._group.address_of(node, node.replica.leader)

    def require_documents(self) -> _documents.Documents:
        """Return the interface to the document.

        :raises FoxtailError: ``JOURNAL_UNWRITABLE`` while the disk has failed
        """
        if self.documents is None:
            raise errors.FoxtailError(
                errors.Code.JOURNAL_UNWRITABLE, "the disk refuses writes"
            )
        return self.documents

    # Datagrams from and to coordinators and edge hosts.

    def attach(self, endpoint: datagram.Endpoint) -> None:
        """Use ``endpoint`` to send datagrams from now on."""
        self._endpoint = endpoint

    def _send(self, msg: object, address: ids.Address) -> None:
        """Send one message to ``address``."""
        self._send_encoded(self._encode(msg), address)

    def _send_to_all(
        self, msg: object, addresses: abc.Collection[ids.Address]
    ) -> None:
        """Send one message, encoded once, to several receivers."""
        if not addresses:
            return
        datagrams = self._encode(msg)
        for address in addresses:
            self._send_encoded(datagrams, address)

    def _send_encoded(
        self, datagrams: tuple[bytes, ...], address: ids.Address
    ) -> None:
        """Send the datagrams of one message to ``address``."""
        assert self._endpoint is not None
        self._endpoint.send_encoded(datagrams, address)

    def _encode(self, msg: object) -> tuple[bytes, ...]:
        """Return the datagrams of a message."""
        assert self._endpoint is not None
        return self._endpoint.encode(msg)

    def receive(self, msg: object, src: ids.Address) -> None:
        """Handle one received message."""
        _dispatch.dispatch(msg, self, src)
        self.process_events()

    def on_presence(self, msg: _messages.Presence) -> None:
        """Record a presence; send all instances to a restarted peer."""
        now = self._clock()
        if self._peers.update(msg, now):
            if heartbeats := self.registry.all_heartbeats(now):
                self._send(_messages.Heartbeats(heartbeats), msg.address)

    def on_consensus_message(self, msg: _messages.ConsensusMessage) -> None:
        """Handle a consensus message if it is addressed to this identity."""
        if self.node is None or msg.dst != self.node.replica.keeper:
            return
        try:
            body = _messages.CONSENSUS_CODEC.decode(msg.body)
        except errors.FoxtailError as exc:
            _EVENTS.failed("consensus_message_dropped", exc)
            return
        self.node.on_message(msg.src, body, self._clock())

    def on_poll(self, msg: polling.Poll, src: ids.Address) -> None:
        """Answer the poll of an edge host, now or in its turn."""
        self._answering.on_poll(msg, src)

    def on_part_request(
        self, msg: polling.PartRequest, src: ids.Address
    ) -> None:
        """Send an edge host parts of a large answer."""
        parts = self._edge_hosts.encoded_parts(msg)
        if parts is None:
            self._send(polling.PartsGone(msg.number), src)
        else:
            self._send_encoded(parts, src)

    def on_load(
        self, msg: polling.LoadReport | _messages.LoadSum, src: ids.Address
    ) -> None:
        """Record the load that a host or a coordinator reports."""
        self._load.on_message(msg, src, self._clock())

    def keep_reply(self, datagrams: tuple[bytes, ...]) -> None:
        """Keep the saved reply, whose parts hosts may still request."""
        if datagrams:
            self._edge_hosts.keep(datagrams)

    def answer_poll(
        self, msg: polling.Poll, src: ids.Address
    ) -> polling.PollAnswer:
        """Return the answer to an edge host's poll."""
        return self._answering.answer(msg, src)

    def _is_current(self) -> bool:
        """Return whether this coordinator knows a leader.

        One that is partitioned from the majority loses it with its lease.
        """
        return self.node is not None and self.node.replica.leader is not None

    def _committed_state(self) -> revisions.State:
        """Return the newest state that is known to be committed."""
        if self.documents is None:
            return self._committed.state
        return self._committed.update(self.documents.state, self._clock())

    def _names_service(self, service: ids.ServiceId) -> bool:
        """Return whether the committed document names a service."""
        return self._edge_hosts.names_service(service, self._committed_state())

    # Periodic work.

    def on_tick(self, now: float) -> None:
        """Do all work that is due at ``now``."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > STOPPED_GAP_S:
            _EVENTS.warning("stopped_for", seconds=gap)
            self.registry.extend_leases(gap)
        self._peers.on_tick(now)
        self.registry.on_tick(now)
        if self.node is None and now >= self._next_reopen_at:
            self._open_disk(now)
        if self.node is not None:
            self.node.on_tick(now)
        _instance_log.log(self.registry.take_unlogged())
        self._announce_presence(now)
        for msg, addresses in self._relay.take_due(now):
            self._send_to_all(msg, addresses)
        if self.node is not None:
            self._group.on_tick(self.node, now)
        self.process_events()
        self._answering.on_tick(now)
        state = self._committed_state()
        self._send_to_all(*self._edge_hosts.notice(state, now))
        self._send_loads(now)
        self._hints.save_if_due(
            self.registry,
            state,
            self._committed.returned(now),
            lambda live: self._edge_hosts.start_reply(live, state, now),
            now,
        )

    def _announce_presence(self, now: float) -> None:
        """Send a presence message to all others if one is due."""
        if self.node is None:
            return
        for msg, address in self._announcer.take_due(self.node, now):
            self._send(msg, address)

    def on_heartbeat_message(
        self, msg: _relay.Received, src: ids.Address
    ) -> None:
        """Handle what another coordinator sent about heartbeats."""
        if answer := self._relay.on_message(msg, self._clock()):
            self._send(answer, src)

    def _send_loads(self, now: float) -> None:
        """Send the sum or view of load that is due."""
        for due in self._load.due(now):
            self._send_to_all(due.msg, due.targets)

    def put_seeds(self, seeds: tuple[ids.Address, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self._peers.put_seeds(seeds, self._clock())

    def leave(self) -> None:
        """Announce the end of the process and transfer the leadership."""
        self._announcer.leave()
        self._announce_presence(self._clock())
        if self.node is not None:
            self.node.transfer_leadership(self._clock())
            self.process_events()
