"""Answers to operators' questions."""

import asyncio
from collections import abc
import dataclasses
import functools
import time
import typing

from foxtailworks import agreement
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.keeper import _entries
from foxtailworks.keeper import _messages
from foxtailworks.keeper import _node
from foxtailworks.keeper import _peers

POLL_S = 0.05
# A change of keepers is answered when it is done, or given up after this.
CHANGE_TIMEOUT_S = 60.0


class Owner(typing.Protocol):
    """What answers need of the program that owns the node."""

    node: _node.Node
    """The replicated contracts."""
    peers: _peers.PeerLinks
    """Links to the other keepers."""
    subscribers: _entries.Subscribers
    """Entry hosts and what they have in force."""

    def address_of(self, keeper: ids.KeeperId) -> ids.Address | None:
        """Return where a keeper listens."""

    async def decide(
        self, command: contracts.Command
    ) -> contracts.Outcome | None:
        """Propose a command and wait until it is committed."""

    async def change_members(self, members: agreement.Membership) -> None:
        """Propose a membership and wait until it is committed."""

    async def confirm_read(self) -> None:
        """Wait until this keeper's state is known not to be stale."""


class Operators:
    """Reads and edits through the program that owns the node."""

    def __init__(self, program: Owner, clock: abc.Callable[[], float]) -> None:
        self._program = program
        self._clock = clock

    async def answer(self, msg: typing.Any) -> object:
        """Return the answer to a question; a refusal has its number."""
        try:
            return await self._answer(msg)
        except errors.FoxtailError as exc:
            return contracts.Refused(
                msg.ask, int(exc.code), exc.detail, self._leader()
            )

    def _leader(self) -> ids.Address | None:
        """Return where the leader listens, as far as is known."""
        leader = self._program.node.replica.leader
        return self._program.address_of(leader) if leader else None

    @property
    def _view(self) -> contracts.View:
        """Contracts and roster as of the last applied entry."""
        return self._program.node.catalogue.view

    @functools.singledispatchmethod
    async def _answer(self, msg: typing.Any) -> object:
        """Refuse a message that isn't a question."""
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED, "not a question of an operator"
        )

    # Contracts.

    @_answer.register
    async def _put(self, msg: contracts.PutContract) -> object:
        """Accept or refuse an edit."""
        try:
            contracts.check_document(msg.customer, msg.document)
        except errors.FoxtailError as exc:
            return self._invalid(msg, exc)
        edit = contracts.Edit(
            msg.edit_id,
            msg.customer,
            msg.base_version,
            msg.document,
            int(time.time()),
        )
        return _edit_answer(msg.ask, await self._program.decide(edit))

    def _invalid(
        self, msg: contracts.PutContract, exc: errors.FoxtailError
    ) -> contracts.EditAnswer:
        """Refuse a contract before it takes a place in the log."""
        found = self._view.find(msg.customer)
        current = found.version if found else ids.ZERO_VERSION
        return contracts.EditAnswer(
            msg.ask, msg.edit_id, int(exc.code), current, exc.detail
        )

    @_answer.register
    async def _roll_back(self, msg: contracts.RollbackContract) -> object:
        """Accept or refuse a rollback."""
        edit = contracts.Rollback(
            msg.edit_id,
            msg.customer,
            msg.base_version,
            msg.to_version,
            int(time.time()),
        )
        return _edit_answer(msg.ask, await self._program.decide(edit))

    @_answer.register
    async def _get(self, msg: contracts.GetContract) -> object:
        """Return the text of a contract."""
        await self._program.confirm_read()
        found = self._view.find(msg.customer)
        if found is not None and msg.version in (0, found.version):
            return contracts.ContractAnswer(
                msg.ask, msg.customer, found.version, found.document
            )
        for item in self._program.node.catalogue.history(msg.customer):
            if item.version == msg.version:
                return contracts.ContractAnswer(
                    msg.ask, msg.customer, item.version, item.document
                )
        raise errors.FoxtailError(
            errors.Code.CONTRACT_MISSING, "no such contract or version"
        )

    @_answer.register
    async def _list(self, msg: contracts.ListContracts) -> object:
        """Return which contracts there are."""
        await self._program.confirm_read()
        lines = tuple(
            contracts.ContractLine(
                item.customer,
                item.version,
                ids.EditId(""),
                0,
                len(item.document.encode()),
            )
            for item in self._view.contracts
        )
        return contracts.ContractList(msg.ask, self._view.version, lines)

    @_answer.register
    async def _history(self, msg: contracts.GetHistory) -> object:
        """Return the kept versions of a contract."""
        await self._program.confirm_read()
        lines = tuple(
            contracts.ContractLine(
                msg.customer,
                item.version,
                item.edit_id,
                item.at_unix_s,
                len(item.document.encode()),
            )
            for item in self._program.node.catalogue.history(msg.customer)
        )
        return contracts.HistoryAnswer(msg.ask, lines)

    # Status.

    @_answer.register
    async def _status(self, msg: contracts.GetStatus) -> object:
        """Return what is in force where."""
        await self._program.confirm_read()
        return contracts.StatusAnswer(
            msg.ask,
            self._view.version,
            self._view.roster.epoch,
            self._keeper_lines(),
            self._host_lines(),
        )

    def _host_lines(self) -> tuple[contracts.HostLine, ...]:
        """Return the hosts of the roster."""
        now = self._clock()
        return tuple(
            self._program.subscribers.line(item, now)
            for item in self._view.roster.hosts
        )

    def _is_reached(self, item: agreement.Member) -> bool:
        """Tell whether this very keeper is linked, not just its address.

        After its disk was lost another identity answers there.
        """
        if item.keeper == self._program.node.replica.keeper:
            return True
        peers = self._program.peers
        return item.keeper in peers.known and peers.is_linked(item.address)

    def _keeper_lines(self) -> tuple[contracts.KeeperLine, ...]:
        """Return the keepers of the group."""
        replica = self._program.node.replica
        return tuple(
            contracts.KeeperLine(
                keeper=item.keeper,
                name=item.name,
                address=item.address,
                voter=item.voter,
                leader=item.keeper == replica.leader,
                reachable=self._is_reached(item),
                stored_index=replica.match_index_of(item.keeper),
            )
            for item in replica.membership.members
        )

    @_answer.register
    async def _await(self, msg: contracts.AwaitInForce) -> object:
        """Wait until a version is in force on all reachable hosts."""
        await self._program.confirm_read()
        until = self._clock() + msg.timeout_s
        while True:
            lines = self._host_lines()
            lagging = tuple(
                item.host
                for item in lines
                if item.reachable and item.in_force < msg.version
            )
            if not lagging or self._clock() >= until:
                break
            await asyncio.sleep(POLL_S)
        unreachable = tuple(i.host for i in lines if not i.reachable)
        return contracts.InForceAnswer(
            msg.ask, msg.version, lagging, unreachable
        )

    # Keepers and hosts.

    @_answer.register
    async def _keepers(self, msg: contracts.ListKeepers) -> object:
        """Return who the keepers are."""
        await self._program.confirm_read()
        return contracts.KeeperList(msg.ask, self._keeper_lines())

    @_answer.register
    async def _add(self, msg: contracts.AddKeeper) -> object:
        """Let a new keeper learn, then vote."""
        member = await self._learner(msg.address)
        await self._make_voter(member)
        return contracts.KeeperChanged(msg.ask, member.keeper)

    @_answer.register
    async def _remove(self, msg: contracts.RemoveKeeper) -> object:
        """Take a keeper out of the group."""
        keeper = self._named(msg.keeper)
        members = self._program.node.replica.membership.without(keeper)
        await self._program.change_members(members)
        return contracts.KeeperChanged(msg.ask, keeper)

    @_answer.register
    async def _replace(self, msg: contracts.ReplaceKeeper) -> object:
        """Add one keeper; when it votes, remove another."""
        old = self._named(msg.keeper)
        member = await self._learner(msg.address, old)
        await self._make_voter(member)
        members = self._program.node.replica.membership.without(old)
        await self._program.change_members(members)
        return contracts.KeeperChanged(msg.ask, member.keeper)

    def _named(self, name: ids.KeeperId) -> ids.KeeperId:
        """Return the identity of the member with an identity or name."""
        members = self._program.node.replica.membership.members
        found = [i.keeper for i in members if name in (i.keeper, i.name)]
        if len(found) != 1:
            raise errors.FoxtailError(
                errors.Code.KEEPER_MISSING, "no such keeper, or several"
            )
        return found[0]

    async def _learner(
        self, address: ids.Address, old: ids.KeeperId | None = None
    ) -> agreement.Member:
        """Add the new keeper at ``address`` as a learner.

        A question that is asked again goes on where the first one ended.
        """
        program = self._program
        await program.confirm_read()
        program.peers.open(address)
        until = self._clock() + CHANGE_TIMEOUT_S
        while self._clock() < until:
            hello = program.peers.at(address)
            if hello is not None and hello.keeper != old:
                return await self._add_learner(hello)
            await asyncio.sleep(POLL_S)
        raise errors.FoxtailError(
            errors.Code.KEEPER_MISSING, "no new keeper answers there"
        )

    async def _add_learner(self, hello: _messages.Hello) -> agreement.Member:
        """Return the member that said hello, after adding it if need be."""
        members = self._program.node.replica.membership
        known = members.find(hello.keeper)
        if known is not None:
            return known
        member = agreement.Member(
            hello.keeper, hello.name, hello.address, voter=False
        )
        await self._program.change_members(members.put(member))
        return member

    async def _make_voter(self, member: agreement.Member) -> None:
        """Let a learner vote once it has the whole log."""
        replica = self._program.node.replica
        until = self._clock() + CHANGE_TIMEOUT_S
        while self._clock() < until:
            known = replica.membership.find(member.keeper)
            if known is not None and known.voter:
                return
            if replica.match_index_of(member.keeper) >= replica.commit_index:
                voter = dataclasses.replace(member, voter=True)
                members = replica.membership.put(voter)
                await self._program.change_members(members)
                return
            await asyncio.sleep(POLL_S)
        raise errors.FoxtailError(
            errors.Code.NO_QUORUM, "the learner doesn't catch up"
        )

    @_answer.register
    async def _remove_host(self, msg: contracts.RemoveHost) -> object:
        """Take an entry host out of the roster."""
        await self._program.decide(contracts.RosterEdit(left=(msg.host,)))
        return contracts.HostRemoved(msg.ask, self._view.roster.epoch)


def _edit_answer(
    ask: int, outcome: contracts.Outcome | None
) -> contracts.EditAnswer:
    """Return an outcome as the answer to an operator."""
    if outcome is None:
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "an edit was decided without an outcome"
        )
    return contracts.EditAnswer(
        ask, outcome.edit_id, outcome.code, outcome.version, outcome.detail
    )
