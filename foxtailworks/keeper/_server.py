"""One keeper with its links: the node, driven by messages and time."""

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
from foxtailworks.keeper import _entries
from foxtailworks.keeper import _joins
from foxtailworks.keeper import _messages
from foxtailworks.keeper import _node
from foxtailworks.keeper import _operators
from foxtailworks.keeper import _peers
from foxtailworks import links
from foxtailworks import observe
from foxtailworks import replicated
from foxtailworks import settings

TICK_S = 0.02
LEAVE_S = 0.2
# An edit or a read that waits longer for a majority is given up.
DECIDE_S = 5.0

_EVENTS = observe.Events("keeper")


def _new_keeper() -> ids.KeeperId:
    """Return an identity for an empty disk."""
    return ids.KeeperId(uuid.uuid4().hex)


class Program:
    """Owns the node; everything runs on one loop.

    :param cfg: settings of this keeper
    :param rng: spreads elections
    :param metrics: counts what happens on links
    :param clock: monotonic, seconds
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
        disk = journal.Journal(files, _new_keeper)
        self.node = _node.Node(disk, rng, clock())
        self.peers = _peers.PeerLinks(cfg.tls, self._hello)
        self.subscribers = _entries.Subscribers(
            lambda: self.node.catalogue.view
        )
        self.operators = _operators.Operators(self, clock)
        self._decisions: dict[int, asyncio.Future[contracts.Outcome | None]]
        self._decisions = {}
        self._reads: dict[int, asyncio.Future[bool]] = {}
        self._joins = _joins.Joins()
        self._fed = ids.ZERO_VERSION
        self.failed: errors.FoxtailError | None = None

    def _hello(self) -> _messages.Hello:
        """Return the first message on a link to another keeper."""
        return _messages.Hello(
            self.node.replica.keeper,
            str(self._cfg.keeper),
            self._cfg.listen_address,
            self.node.replica.group,
        )

    # Driving the node.

    def pump(self) -> None:
        """Write what is due, then carry out events until none is left."""
        try:
            while True:
                self.node.flush(self._clock())
                events = self.node.take_events()
                if not events:
                    self._feed()
                    return
                for event in events:
                    self._on_event(event)
        except errors.FoxtailError as exc:
            self.failed = exc
            _EVENTS.failed("stopped_by_fault", exc)
            raise

    def _on_event(self, event: object) -> None:
        """Carry out one event of the node."""
        if isinstance(event, agreement.Send):
            self._send(event)
        elif isinstance(event, replicated.Decided):
            self._settle(
                event.index,
                typing.cast(contracts.Outcome | None, event.outcome),
            )
        elif isinstance(event, replicated.Displaced):
            self._displace(event.index)
        elif isinstance(event, agreement.ReadReady):
            self._settle_read(event.number, True)
        elif isinstance(event, agreement.ReadAborted):
            self._settle_read(event.number, False)
        elif isinstance(event, agreement.RoleChanged):
            _EVENTS.info(
                "role_changed",
                role=event.role.value,
                term=event.term,
                leader=event.leader or "",
            )

    def _send(self, event: agreement.Send) -> None:
        """Pass a message to another keeper."""
        address = self.address_of(event.to)
        if address is not None:
            self.peers.send(address, event.msg)

    def address_of(self, keeper: ids.KeeperId) -> ids.Address | None:
        """Return where a keeper listens."""
        member = self.node.replica.membership.find(keeper)
        if member is not None:
            return member.address
        hello = self.peers.known.get(keeper)
        return hello.address if hello is not None else None

    def _settle(self, index: int, outcome: contracts.Outcome | None) -> None:
        """Tell who waits for a proposal."""
        fut = self._decisions.pop(index, None)
        if fut is not None and not fut.done():
            fut.set_result(outcome)

    def _displace(self, index: int) -> None:
        """Tell who waits that another entry stands in that place."""
        fut = self._decisions.pop(index, None)
        if fut is not None and not fut.done():
            fut.set_exception(
                errors.FoxtailError(
                    errors.Code.EDIT_UNKNOWN,
                    "another keeper leads; resend with the same edit id",
                )
            )

    def _settle_read(self, number: int, ready: bool) -> None:
        """Tell who waits for a read."""
        fut = self._reads.pop(number, None)
        if fut is not None and not fut.done():
            fut.set_result(ready)

    # What operators' questions need.

    async def decide(
        self, command: contracts.Command
    ) -> contracts.Outcome | None:
        """Propose a command and wait until it is committed.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``EDIT_UNKNOWN``
        """
        return await self._decided(lambda now: self.node.propose(command, now))

    async def change_members(self, members: agreement.Membership) -> None:
        """Propose a membership and wait until it is committed."""
        await self._decided(
            lambda now: self.node.propose_membership(members, now)
        )

    async def _decided(
        self, propose: abc.Callable[[float], int]
    ) -> contracts.Outcome | None:
        """Wait for the outcome of a proposal."""
        index = propose(self._clock())
        fut = asyncio.get_running_loop().create_future()
        self._decisions[index] = fut
        self.pump()
        try:
            async with asyncio.timeout(DECIDE_S):
                return typing.cast(contracts.Outcome | None, await fut)
        except TimeoutError as exc:
            raise errors.FoxtailError(
                errors.Code.EDIT_UNKNOWN,
                "no majority answered in time; resend with the same edit id",
            ) from exc
        finally:
            if self._decisions.get(index) is fut:
                del self._decisions[index]

    async def confirm_read(self) -> None:
        """Wait until this keeper's state is known not to be stale.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``
        """
        number = self.node.read(self._clock())
        fut = asyncio.get_running_loop().create_future()
        self._reads[number] = fut
        self.pump()
        try:
            async with asyncio.timeout(DECIDE_S):
                ready = await fut
        except TimeoutError as exc:
            raise errors.FoxtailError(
                errors.Code.NO_QUORUM, "no majority confirmed the read"
            ) from exc
        finally:
            self._reads.pop(number, None)
        if not ready:
            raise errors.FoxtailError(
                errors.Code.NOT_LEADER, "this keeper no longer leads"
            )

    # Links.

    async def serve(self, link: links.Link) -> None:
        """Take the messages of one link."""
        hello: _messages.Hello | None = None
        try:
            async for msg in link:
                if isinstance(msg, _messages.Hello):
                    hello = msg
                    self.peers.learn(msg)
                elif hello is not None:
                    self._take_peer(hello.keeper, msg)
                else:
                    await self._take(link, msg)
        finally:
            self.subscribers.remove(link)
            if hello is not None:
                self.peers.forget(hello)

    def _take_peer(self, src: ids.KeeperId, msg: typing.Any) -> None:
        """Take a message of another keeper."""
        if isinstance(msg, contracts.RosterEdit):
            for host in msg.joined:
                self._collect(host)
        elif isinstance(msg, contracts.InForceReports):
            for item in msg.reports:
                self.subscribers.report(item, self._clock())
        else:
            self.node.on_message(src, msg, self._clock())
            self.pump()

    async def _take(self, link: links.Link, msg: object) -> None:
        """Take a message of an entry host or an operator."""
        if isinstance(msg, contracts.Subscribe):
            self.subscribers.add(msg, link, self._clock())
            self._note_join(msg)
        elif isinstance(msg, contracts.InForce):
            self._note_reports(contracts.InForceReports((msg,)))
        elif isinstance(msg, contracts.InForceReports):
            self._note_reports(msg)
        else:
            await link.send(await self.operators.answer(msg))

    def _note_reports(self, msg: contracts.InForceReports) -> None:
        """Note what hosts have in force, and tell the other keepers."""
        for item in msg.reports:
            self.subscribers.report(item, self._clock())
        self._tell_others(msg)

    def _tell_others(self, msg: object) -> None:
        """Send a message to every other keeper."""
        replica = self.node.replica
        for member in replica.membership.members:
            if member.keeper != replica.keeper:
                self.peers.send(member.address, msg)

    def _note_join(self, msg: contracts.Subscribe) -> None:
        """Collect a host that the roster doesn't have."""
        self._collect(
            contracts.RosterHost(
                msg.host, msg.zone, msg.address, msg.incarnation
            )
        )

    def _collect(self, host: contracts.RosterHost) -> None:
        """Collect a host until the joins of a while become one change."""
        roster = self.node.catalogue.view.roster
        self._joins.collect(host, roster, self._clock())

    # Time.

    @contextlib.asynccontextmanager
    async def opened(self, stop: asyncio.Event) -> abc.AsyncIterator[None]:
        """Listen, link with the other keepers, and let time pass."""
        for address in self._cfg.first_keepers.values():
            if address != self._cfg.listen_address:
                self.peers.open(address)
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
        """Let time pass until told to stop; any fault ends the program."""
        try:
            await self._tick()
        except Exception as exc:
            self.failed = self.failed or errors.FoxtailError(
                errors.Code.INTERNAL, "a fault of the keeper", reason=repr(exc)
            )
        stop.set()

    async def _tick(self) -> None:
        """Let time pass."""
        while self.failed is None:
            now = self._clock()
            self._found_if_first(now)
            self.node.on_tick(now)
            self.pump()
            self._change_roster(now)
            self._link_members()
            await asyncio.sleep(TICK_S)

    def _feed(self) -> None:
        """Wake the subscribers' feeders after each new version."""
        version = self.node.catalogue.view.version
        if version != self._fed:
            self._fed = version
            self.subscribers.advance(version, self._clock())

    def _link_members(self) -> None:
        """Dial the members that the log names."""
        for member in self.node.replica.membership.members:
            if member.keeper != self.node.replica.keeper:
                self.peers.open(member.address)

    async def leave(self) -> None:
        """Hand the lead over and let the messages go out."""
        if self.failed is None:
            self.node.transfer_leadership(self._clock())
            self.pump()
            await asyncio.sleep(LEAVE_S)

    def _found_if_first(self, now: float) -> None:
        """Create the group once all first keepers are seen to be new."""
        replica = self.node.replica
        first = self._cfg.first_keepers
        if replica.group or str(self._cfg.keeper) != min(first):
            return
        hellos = {
            item.name: item
            for item in (*self.peers.known.values(), self._hello())
        }
        if set(first) - set(hellos) or any(
            hellos[name].group for name in first
        ):
            return
        members = agreement.Membership(
            tuple(
                agreement.Member(
                    hellos[name].keeper, name, hellos[name].address, True
                )
                for name in first
            )
        )
        self.node.bootstrap(uuid.uuid4().hex, members, now)
        _EVENTS.info("group_founded", keepers=len(first))

    def _change_roster(self, now: float) -> None:
        """Propose collected joins, or pass them to the leader."""
        replica = self.node.replica
        leads = replica.role is agreement.Role.LEADER
        edit = self._joins.due(self.node.catalogue.view.roster, leads, now)
        if edit is None:
            return
        if leads:
            with contextlib.suppress(errors.FoxtailError):
                self.node.propose(edit, now)
            self.pump()
        elif replica.leader is not None:
            address = self.address_of(replica.leader)
            if address is not None:
                self.peers.send(address, edit)
