"""A keeper with its links: a node driven by messages and ticks."""

import asyncio
from collections import abc
import contextlib
import random
import typing
import uuid

from foxtailworks import agreement
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks.keeper import _joins
from foxtailworks.keeper import _messages
from foxtailworks.keeper import _node
from foxtailworks.keeper import _operators
from foxtailworks.keeper import _peers
from foxtailworks.keeper import _pending
from foxtailworks.keeper import _subscribers
from foxtailworks import links
from foxtailworks import observe
from foxtailworks import replicated
from foxtailworks import settings

TICK_S = 0.02
LEAVE_DELAY_S = 0.2

_EVENTS = observe.Events("keeper")


def _new_identity() -> ids.KeeperId:
    """Return a new identity for an empty disk."""
    return ids.KeeperId(uuid.uuid4().hex)


class KeeperServer:
    """Owns the node; all its tasks run on one event loop.

    :param cfg: settings of this keeper
    :param rng: randomises election timeouts
    :param metrics: counts events of links
    :param clock: returns monotonic seconds
    """

    def __init__(
        self,
        cfg: settings.KeeperSettings,
        rng: random.Random,
        metrics: observe.Metrics,
        clock: abc.Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        files = journal.DiskFiles(cfg.data_folder, synced=cfg.fsync)
        disk = journal.Journal(files, _new_identity)
        self.node = _node.Node(disk, rng, clock())
        self.peers = _peers.PeerLinks(cfg.tls, self._handshake)
        self.subscribers = _subscribers.Subscribers(
            lambda: self.node.catalogue.view
        )
        self.operator_handler = _operators.OperatorHandler(self, clock)
        self._decisions = _pending.PendingDecisions()
        self._reads = _pending.PendingReads()
        self._joins = _joins.PendingJoins()
        self._notified_version = ids.ZERO_VERSION
        self.failure: errors.FoxtailError | None = None

    def _handshake(self) -> _messages.Handshake:
        """Return the first message on a link to another keeper."""
        return _messages.Handshake(
            self.node.replica.keeper,
            str(self._cfg.keeper),
            self._cfg.listen_address,
            self.node.replica.group,
        )

    # Driving the node.

    def process_events(self) -> None:
        """Write to disk and execute events until none is left."""
        try:
            while True:
                self.node.flush(self._clock())
                events = self.node.take_events()
                if not events:
                    self._notify_subscribers()
                    return
                for event in events:
                    self._on_event(event)
        except errors.FoxtailError as exc:
            self.failure = exc
            _EVENTS.failed("stopped_by_fault", exc)
            raise

    def _on_event(self, event: object) -> None:
        """Execute one event of the node."""
        if isinstance(event, agreement.Send):
            self._send(event)
        elif isinstance(event, replicated.Decided):
            self._decisions.resolve(
                event.index,
                typing.cast(contracts.Outcome | None, event.outcome),
            )
        elif isinstance(event, replicated.Displaced):
            self._decisions.fail(event.index)
        elif isinstance(event, replicated.Stopped):
            raise event.error
        elif isinstance(event, agreement.ReadReady):
            self._reads.resolve(event.number, True)
        elif isinstance(event, agreement.ReadAborted):
            self._reads.resolve(event.number, False)
        elif isinstance(event, agreement.RoleChanged):
            _EVENTS.info(
                "role_changed",
                role=event.role.value,
                term=event.term,
                leader=event.leader or "",
            )

    def _send(self, event: agreement.Send) -> None:
        """Send a message to another keeper with a known address."""
        address = self.address_of(event.to)
        if address is not None:
            self.peers.send(address, event.msg)

    def address_of(self, keeper: ids.KeeperId) -> ids.Address | None:
        """Return the address of a keeper, or ``None``."""
        member = self.node.replica.membership.find(keeper)
        if member is not None:
            return member.address
        handshake = self.peers.known.get(keeper)
        return handshake.address if handshake is not None else None

    # Interface for operators' requests.

    async def decide(
        self, command: contracts.Command
    ) -> contracts.Outcome | None:
        """Propose a command and wait until it is committed.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``EDIT_UNKNOWN``
        """
        return await self._await_decision(
            lambda now: self.node.propose(command, now)
        )

    async def change_members(self, members: agreement.Membership) -> None:
        """Propose a membership and wait until it is committed."""
        await self._await_decision(
            lambda now: self.node.propose_membership(members, now)
        )

    async def _await_decision(
        self, propose: abc.Callable[[float], int]
    ) -> contracts.Outcome | None:
        """Wait for the outcome of a proposal."""
        index = propose(self._clock())
        decision = self._decisions.add(index)
        self.process_events()
        return await self._decisions.wait(index, decision)

    async def confirm_read(self) -> None:
        """Wait until a majority confirms that reads aren't stale.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``
        """
        number = self.node.read(self._clock())
        read = self._reads.add(number)
        self.process_events()
        await self._reads.wait(number, read)

    # Links.

    async def serve(self, link: links.Link) -> None:
        """Process the messages of one link until it ends."""
        handshake: _messages.Handshake | None = None
        try:
            async for msg in link:
                if isinstance(msg, _messages.Handshake):
                    handshake = msg
                    self.peers.record(msg)
                elif handshake is not None:
                    self._on_peer_message(handshake.keeper, msg)
                else:
                    await self._on_client_message(link, msg)
        finally:
            self.subscribers.remove(link)
            if handshake is not None:
                self.peers.discard(handshake)

    def _on_peer_message(self, src: ids.KeeperId, msg: typing.Any) -> None:
        """Process a message of another keeper."""
        if isinstance(msg, contracts.RosterEdit):
            for host in msg.joined:
                self._collect_join(host)
        elif isinstance(msg, contracts.InForceReports):
            for item in msg.reports:
                self.subscribers.record_report(item, self._clock())
        else:
            self.node.on_message(src, msg, self._clock())
            self.process_events()

    async def _on_client_message(self, link: links.Link, msg: object) -> None:
        """Process a message of an entry host or an operator."""
        if isinstance(msg, contracts.Subscribe):
            self.subscribers.add(msg, link, self._clock())
            self._collect_subscriber(msg)
        elif isinstance(msg, contracts.InForce):
            self._record_reports(contracts.InForceReports((msg,)))
        elif isinstance(msg, contracts.InForceReports):
            self._record_reports(msg)
        else:
            await link.send(await self.operator_handler.answer(msg))

    def _record_reports(self, msg: contracts.InForceReports) -> None:
        """Record hosts' reports and forward them to the other keepers."""
        for item in msg.reports:
            self.subscribers.record_report(item, self._clock())
        self._send_to_peers(msg)

    def _send_to_peers(self, msg: object) -> None:
        """Send a message to every other keeper."""
        replica = self.node.replica
        for member in replica.membership.members:
            if member.keeper != replica.keeper:
                self.peers.send(member.address, msg)

    def _collect_subscriber(self, msg: contracts.Subscribe) -> None:
        """Collect the join of a subscribed host."""
        self._collect_join(
            contracts.RosterHost(
                msg.host, msg.zone, msg.address, msg.incarnation
            )
        )

    def _collect_join(self, host: contracts.RosterHost) -> None:
        """Collect the join of a host that isn't in the roster."""
        roster = self.node.catalogue.view.roster
        self._joins.collect(host, roster, self._clock())

    # Tasks.

    @contextlib.asynccontextmanager
    async def opened(self, stop: asyncio.Event) -> abc.AsyncIterator[None]:
        """Listen, dial the other keepers and run the tick task."""
        for address in self._cfg.first_keepers.values():
            if address != self._cfg.listen_address:
                self.peers.connect(address)
        async with links.serve(
            self._cfg.listen_address,
            _messages.CODEC,
            self.serve,
            self._cfg.tls,
            self._metrics,
        ):
            task = asyncio.ensure_future(self._run(stop))
            try:
                yield
            finally:
                task.cancel()
                await self.peers.close()
                self.node.disk.close()

    async def _run(self, stop: asyncio.Event) -> None:
        """Run the ticks until cancelled; set ``stop`` after a fault."""
        try:
            await self._tick()
        except Exception as exc:
            self.failure = self.failure or errors.FoxtailError(
                errors.Code.INTERNAL,
                "unexpected exception in a keeper",
                reason=repr(exc),
            )
        stop.set()

    async def _tick(self) -> None:
        """Tick the node and its links until a failure."""
        while self.failure is None:
            now = self._clock()
            self._bootstrap_if_first(now)
            self.node.on_tick(now)
            self.process_events()
            self._submit_joins(now)
            self._link_members()
            await asyncio.sleep(TICK_S)

    def _notify_subscribers(self) -> None:
        """Wake the senders of all subscribers after a new version."""
        version = self.node.catalogue.view.version
        if version != self._notified_version:
            self._notified_version = version
            self.subscribers.on_new_version(version, self._clock())

    def _link_members(self) -> None:
        """Dial all other members of the group."""
        for member in self.node.replica.membership.members:
            if member.keeper != self.node.replica.keeper:
                self.peers.connect(member.address)

    async def leave(self) -> None:
        """Transfer leadership and wait until its messages are sent."""
        if self.failure is None:
            self.node.transfer_leadership(self._clock())
            self.process_events()
            await asyncio.sleep(LEAVE_DELAY_S)

    def _bootstrap_if_first(self, now: float) -> None:
        """Bootstrap the group once all first keepers are known to be new."""
        replica = self.node.replica
        first = self._cfg.first_keepers
        if replica.group or str(self._cfg.keeper) != min(first):
            return
        handshakes = {
            item.name: item
            for item in (*self.peers.known.values(), self._handshake())
        }
        if set(first) - set(handshakes) or any(
            handshakes[name].group for name in first
        ):
            return
        members = agreement.Membership(
            tuple(
                agreement.Member(
                    handshakes[name].keeper,
                    name,
                    handshakes[name].address,
                    True,
                )
                for name in first
            )
        )
        self.node.bootstrap(uuid.uuid4().hex, members, now)
        _EVENTS.info("group_founded", keepers=len(first))

    def _submit_joins(self, now: float) -> None:
        """Propose collected joins, or forward them to the leader."""
        replica = self.node.replica
        is_leader = replica.role is agreement.Role.LEADER
        edit = self._joins.due_edit(
            self.node.catalogue.view.roster, is_leader, now
        )
        if edit is None:
            return
        if is_leader:
            with contextlib.suppress(errors.FoxtailError):
                self.node.propose(edit, now)
            self.process_events()
        elif replica.leader is not None:
            address = self.address_of(replica.leader)
            if address is not None:
                self.peers.send(address, edit)
