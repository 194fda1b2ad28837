"""One coordinator: node, registry and datagrams together."""

import asyncio
from collections import abc
import contextlib
import functools
import random
import typing
import uuid

from foxtailworks import agreement
from foxtailworks.coordinator import _documents
from foxtailworks.coordinator import _group
from foxtailworks.coordinator import _hints
from foxtailworks.coordinator import _instance_log
from foxtailworks.coordinator import _messages
from foxtailworks.coordinator import _peers
from foxtailworks.coordinator import _settings
from foxtailworks.coordinator import _suspicions
from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import logs
from foxtailworks import polling
from foxtailworks import replicated
from foxtailworks import revisions
from foxtailworks import service
from foxtailworks import steering

TICK_S = 0.05
"""Half the agreement's heartbeat."""
REOPEN_S = 0.5
"""A disk that refused a write is tried again so often."""
SHARE_S = 0.1
"""Heartbeats are collected so long before they are passed on."""
FREEZE_GAP_S = 1.0
"""A gap between two ticks taken as the process having been stopped."""
COMPACT_ENTRIES = 64
"""A snapshot is taken after so many entries: documents are large."""
LEAVE_S = 0.3
"""Time for the last messages of a coordinator that stops."""

_EVENTS = logs.Events("coordinator")

ReadTable: typing.TypeAlias = abc.Callable[[bytes], steering.RouteTable]
"""Returns the routes in an operator's document."""


def _new_keeper() -> ids.KeeperId:
    """Return an identity for an empty disk."""
    return ids.KeeperId(uuid.uuid4().hex)


class Coordinator:
    """Driven by datagrams and time; everything runs on one loop.

    :param read_table: finds the routes in a document
    :param clock: seconds that also pass while the process is stopped
    :param open_files: opens the journal's folder; again after a failure
    """

    def __init__(
        self,
        cfg: _settings.Settings,
        read_table: ReadTable,
        clock: abc.Callable[[], float],
        rng: random.Random,
        open_files: abc.Callable[[], journal.Files] | None = None,
    ) -> None:
        self._cfg = cfg
        self._open_files = open_files or (
            lambda: journal.DiskFiles(cfg.data_folder)
        )
        self._read_table = read_table
        self._tables = steering.TableCodec()
        self._clock = clock
        self._rng = rng
        now = clock()
        self._session = rng.getrandbits(62)
        self.registry = discovery.Registry(self._session, cfg.lease_s)
        self._peers = _peers.Peers(cfg.listen_address, cfg.seeds, now)
        self._suspicions = _suspicions.Doubts()
        self._endpoint: datagram.Endpoint | None = None
        self._table = (0, b"")
        self._last_tick = now
        self._group = _group.Group(cfg, self._peers, now)
        self._presence_at = self._share_at = now
        self._reopen_at = 0.0
        self.node: replicated.Node | None = None
        self.documents: _documents.Documents | None = None
        self._open_disk(now)
        self._hints = _hints.Hints(cfg.data_folder, clock)
        self._recalled = revisions.NO_DOCUMENT
        if not cfg.is_first_start:
            hint = self._hints.load()
            self.registry.restore(hint.instances, now)
            self._recalled = hint.held

    # The disk and the node on it.

    def _open_disk(self, now: float) -> None:
        """Read the disk; tried again later when it refuses."""
        self._reopen_at = now + REOPEN_S
        try:
            disk = journal.Journal(self._open_files(), _new_keeper)
        except errors.FoxtailError as exc:
            _EVENTS.failed("disk_refused", exc)
            return
        self.node = replicated.Node(
            disk,
            revisions.restore,
            self._rng,
            now,
            compact_entries=COMPACT_ENTRIES,
        )
        self.documents = _documents.Documents(
            self.node, self.pump, self._clock
        )
        _EVENTS.info(
            "disk_opened",
            keeper=self.node.replica.keeper,
            group=self.node.replica.group,
            term=self.node.replica.term,
            last_index=self.node.replica.last_index,
        )

    def _close_disk(self, exc: errors.FoxtailError) -> None:
        """Do without a disk that refused a write, until it is read anew.

        What a failed sync left behind isn't known, so that the node must
        not go on with what it holds in memory.
        """
        _EVENTS.failed("disk_lost", exc)
        node, documents = self.node, self.documents
        self.node = self.documents = None
        self._reopen_at = self._clock() + REOPEN_S
        if documents is not None:
            documents.abort_waiting()
        if node is not None:
            node.disk.close()

    def pump(self) -> None:
        """Write what is due, then carry out events until none is left."""
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
        """Carry out one event of the node."""
        if isinstance(event, agreement.Send):
            self._send_agreed(event)
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

    def _send_agreed(self, event: agreement.Send) -> None:
        """Send a message of the agreement."""
        assert self.node is not None
        address = self._address_of(event.to)
        if address is None:
            return
        body = _messages.AGREEMENT.encode(event.msg)
        src = self.node.replica.keeper
        self._send(_messages.Agreed(src, event.to, body), address)

    def _address_of(self, keeper: ids.KeeperId) -> ids.Address | None:
        """Return where a replica listens."""
        assert self.node is not None
        member = self.node.replica.membership.find(keeper)
        if member is not None:
            return member.address
        seen = self._peers.sightings.get(keeper)
        return seen.address if seen is not None else None

    # Operators.

    def leader_address(self) -> ids.Address | None:
        """Return where the leader listens; None while nobody is known."""
        node = self.node
        if node is None or node.replica.leader is None:
            return None
        if node.replica.leader == node.replica.keeper:
            return None
        return self._address_of(node.replica.leader)

    def require_documents(self) -> _documents.Documents:
        """Return the documents.

        :raises FoxtailError: ``JOURNAL_UNWRITABLE`` without a disk
        """
        if self.documents is None:
            raise errors.FoxtailError(
                errors.Code.JOURNAL_UNWRITABLE, "the disk refuses writes"
            )
        return self.documents

    # Datagrams.

    def attach(self, endpoint: datagram.Endpoint) -> None:
        """Send through ``endpoint`` from now on."""
        self._endpoint = endpoint

    def _send(self, msg: object, address: ids.Address) -> None:
        """Send one message."""
        assert self._endpoint is not None
        self._endpoint.send(msg, address)

    def receive(self, msg: object, src: ids.Address) -> None:
        """Take one message."""
        _take(msg, self, src)
        self.pump()

    def on_presence(self, msg: _messages.Presence) -> None:
        """Take a presence; tell a fresh coordinator of all instances."""
        now = self._clock()
        if self._peers.take(msg, now):
            heard = self.registry.all_heartbeats(now)
            if heard:
                self._send(_messages.Heartbeats(heard), msg.address)

    def on_agreed(self, msg: _messages.Agreed) -> None:
        """Take a message of the agreement that is meant for this disk."""
        if self.node is None or msg.dst != self.node.replica.keeper:
            return
        body = _messages.AGREEMENT.decode(msg.body)
        self.node.on_message(msg.src, body, self._clock())

    def on_poll(self, msg: polling.Poll, src: ids.Address) -> None:
        """Answer an edge host."""
        now = self._clock()
        self._suspicions.take(msg.host, msg.suspected, now)
        revision, table = self._compiled()
        answer = polling.PollAnswer(
            self.registry.changes(msg.session, msg.registry_version),
            revision,
            table if msg.revision < revision else b"",
            self._peers.known(now),
            self._suspicions.doubted(now),
        )
        self._send(answer, src)

    def _committed(self) -> revisions.StoredDocument:
        """Return the newest document that is known to be committed.

        After a restart that is the one recalled from the disk, until a
        leader tells how far the log is committed.
        """
        if self.documents is None:
            return self._recalled
        held = self.documents.current
        if held.revision > self._recalled.revision:
            self._recalled = held
        return self._recalled

    def _compiled(self) -> tuple[int, bytes]:
        """Return the routes of the committed document."""
        held = self._committed()
        if held.revision > self._table[0]:
            table = self._read_table(held.text())
            self._table = (held.revision, self._tables.encode(table))
        return self._table

    # Time.

    def on_tick(self, now: float) -> None:
        """Let time pass."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > FREEZE_GAP_S:
            _EVENTS.warning("stopped_for", seconds=gap)
            self.registry.extend_leases(gap)
        self._peers.on_tick(now)
        self.registry.on_tick(now)
        if self.node is None and now >= self._reopen_at:
            self._open_disk(now)
        if self.node is not None:
            self.node.on_tick(now)
        _instance_log.log(self.registry.take_unlogged())
        self._tell_presence(now)
        self._share(now)
        if self.node is not None:
            self._group.on_tick(self.node, now)
        self.pump()
        self._hints.save_if_due(self.registry, self._committed(), now)

    def _tell_presence(self, now: float) -> None:
        """Tell the others that this coordinator is there."""
        if now < self._presence_at or self.node is None:
            return
        self._presence_at = now + _peers.PRESENCE_S
        replica = self.node.replica
        msg = _messages.Presence(
            replica.keeper,
            self._cfg.name,
            self._cfg.zone,
            self._cfg.listen_address,
            replica.group,
            self._cfg.is_first_start,
            self._session,
            self._peers.known(now),
        )
        members = (item.address for item in replica.membership.members)
        targets = {*members, *self._peers.addresses()}
        for address in targets - {self._cfg.listen_address}:
            self._send(msg, address)

    def _share(self, now: float) -> None:
        """Pass heartbeats on to the other coordinators."""
        if now < self._share_at:
            return
        self._share_at = now + SHARE_S
        heard = self.registry.take_unshared(now)
        if heard:
            msg = _messages.Heartbeats(heard)
            for address in self._peers.addresses():
                self._send(msg, address)

    def put_seeds(self, seeds: tuple[ids.Address, ...]) -> None:
        """Take other seeds after a change of the settings."""
        self._peers.put_seeds(seeds, self._clock())

    def leave(self) -> None:
        """Hand the lead over before the process ends."""
        if self.node is not None:
            self.node.transfer_leadership(self._clock())
            self.pump()


@functools.singledispatch
def _take(msg: object, program: Coordinator, src: ids.Address) -> None:
    """Pass a message to the part that knows its type."""
    _EVENTS.warning("message_unexpected", kind=type(msg).__name__)


@_take.register
def _(msg: _messages.Presence, program: Coordinator, src: ids.Address) -> None:
    program.on_presence(msg)


@_take.register
def _(msg: _messages.Agreed, program: Coordinator, src: ids.Address) -> None:
    program.on_agreed(msg)


@_take.register
def _(
    msg: _messages.Heartbeats, program: Coordinator, src: ids.Address
) -> None:
    program.registry.merge(msg.heard, program._clock())


@_take.register
def _(msg: polling.Poll, program: Coordinator, src: ids.Address) -> None:
    program.on_poll(msg, src)


@contextlib.asynccontextmanager
async def opened(
    cfg: _settings.Settings,
    read_table: ReadTable,
    clock: abc.Callable[[], float],
    rng: random.Random,
    stop: asyncio.Event,
) -> abc.AsyncIterator[Coordinator]:
    """Run a coordinator until the end of the block.

    :param stop: set when a fault has ended the coordinator
    """
    program = Coordinator(cfg, read_table, clock, rng)
    async with datagram.open_endpoint(
        cfg.listen_address, _messages.CODEC, program.receive, clock
    ) as endpoint:
        program.attach(endpoint)
        async with service.run_periodically(
            program.on_tick, TICK_S, clock, stop
        ):
            try:
                yield program
            finally:
                program.leave()
                await asyncio.sleep(LEAVE_S)
