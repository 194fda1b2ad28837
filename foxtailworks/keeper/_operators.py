"""Answers to operators' requests to a keeper."""

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
from foxtailworks.keeper import _messages
from foxtailworks.keeper import _node
from foxtailworks.keeper import _peers
from foxtailworks.keeper import _subscribers

POLL_INTERVAL_S = 0.05
# A change of keepers is answered when it is complete, or fails after this.
CHANGE_TIMEOUT_S = 60.0


class KeeperApi(typing.Protocol):
    """Interface of the server that owns the node, for answers."""

    node: _node.Node
    """Replica of the contracts."""
    peers: _peers.PeerLinks
    """Links to the other keepers."""
    subscribers: _subscribers.Subscribers
    """Entry hosts and the versions that they have in force."""

    def address_of(self, keeper: ids.KeeperId) -> ids.Address | None:
        """Return the address of a keeper, or ``None``."""

    async def decide(
        self, command: contracts.Command
    ) -> contracts.Outcome | None:
        """Propose a command and wait until it is committed."""

    async def change_members(self, members: agreement.Membership) -> None:
        """Propose a membership and wait until it is committed."""

    async def confirm_read(self) -> None:
        """Wait until a majority confirms that reads aren't stale."""


class OperatorHandler:
    """Answers operators through the server that owns the node."""

    def __init__(
        self, server: KeeperApi, clock: abc.Callable[[], float]
    ) -> None:
        self._server = server
        self._clock = clock

    async def answer(self, msg: typing.Any) -> object:
        """Return the answer to a request; a refusal has its error code."""
        try:
            return await self._answer(msg)
        except errors.FoxtailError as exc:
            return contracts.Refused(
                msg.ask, int(exc.code), exc.detail, self._leader()
            )

    def _leader(self) -> ids.Address | None:
        """Return the address of the leader, or ``None`` if unknown."""
        leader = self._server.node.replica.leader
        return self._server.address_of(leader) if leader else None

    @property
    def _view(self) -> contracts.View:
        """Contracts and roster as of the last applied entry."""
        return self._server.node.catalogue.view

    @functools.singledispatchmethod
    async def _answer(self, msg: typing.Any) -> object:
        """Raise an error for a message that isn't a request."""
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED, "not an operator's request"
        )

    # Contracts.

    @_answer.register
    async def _put(self, msg: contracts.PutContract) -> object:
        """Propose an edit and return its outcome."""
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
        return _edit_answer(msg.ask, await self._server.decide(edit))

    def _invalid(
        self, msg: contracts.PutContract, exc: errors.FoxtailError
    ) -> contracts.EditAnswer:
        """Refuse an invalid contract before it is proposed."""
        found = self._view.find(msg.customer)
        current = found.version if found else ids.ZERO_VERSION
        return contracts.EditAnswer(
            msg.ask, msg.edit_id, int(exc.code), current, exc.detail
        )

    @_answer.register
    async def _roll_back(self, msg: contracts.RollbackContract) -> object:
        """Propose a rollback and return its outcome."""
        edit = contracts.Rollback(
            msg.edit_id,
            msg.customer,
            msg.base_version,
            msg.to_version,
            int(time.time()),
        )
        return _edit_answer(msg.ask, await self._server.decide(edit))

    @_answer.register
    async def _get(self, msg: contracts.GetContract) -> object:
        """Return the document of a contract, of any kept version."""
        await self._server.confirm_read()
        found = self._view.find(msg.customer)
        if found is not None and msg.version in (0, found.version):
            return contracts.ContractAnswer(
                msg.ask, msg.customer, found.version, found.document
            )
        for item in self._server.node.catalogue.history(msg.customer):
            if item.version == msg.version:
                return contracts.ContractAnswer(
                    msg.ask, msg.customer, item.version, item.document
                )
        raise errors.FoxtailError(
            errors.Code.CONTRACT_MISSING, "no such contract or version"
        )

    @_answer.register
    async def _list(self, msg: contracts.ListContracts) -> object:
        """Return a line for each contract in force."""
        await self._server.confirm_read()
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
        """Return a line for each kept version of a contract."""
        await self._server.confirm_read()
        lines = tuple(
            contracts.ContractLine(
                msg.customer,
                item.version,
                item.edit_id,
                item.at_unix_s,
                len(item.document.encode()),
            )
            for item in self._server.node.catalogue.history(msg.customer)
        )
        return contracts.HistoryAnswer(msg.ask, lines)

    # Status.

    @_answer.register
    async def _status(self, msg: contracts.GetStatus) -> object:
        """Return the versions in force on keepers and hosts."""
        await self._server.confirm_read()
        return contracts.StatusAnswer(
            msg.ask,
            self._view.version,
            self._view.roster.epoch,
            self._keeper_lines(),
            self._host_lines(),
        )

    def _host_lines(self) -> tuple[contracts.HostLine, ...]:
        """Return a status line for each host of the roster."""
        now = self._clock()
        return tuple(
            self._server.subscribers.status_line(item, now)
            for item in self._view.roster.hosts
        )

    def _is_reachable(self, item: agreement.Member) -> bool:
        """Return whether the keeper with this identity is linked.

        After a keeper's disk was lost, another identity answers at its
        address.
        """
        if item.keeper == self._server.node.replica.keeper:
            return True
        peers = self._server.peers
        return item.keeper in peers.known and peers.is_linked(item.address)

    def _keeper_lines(self) -> tuple[contracts.KeeperLine, ...]:
        """Return a status line for each keeper of the group."""
        replica = self._server.node.replica
        return tuple(
            contracts.KeeperLine(
                keeper=item.keeper,
                name=item.name,
                address=item.address,
                voter=item.voter,
                leader=item.keeper == replica.leader,
                reachable=self._is_reachable(item),
                stored_index=replica.match_index_of(item.keeper),
            )
            for item in replica.membership.members
        )

    @_answer.register
    async def _await(self, msg: contracts.AwaitInForce) -> object:
        """Wait until a version is in force on all reachable hosts."""
        await self._server.confirm_read()
        deadline = self._clock() + msg.timeout_s
        while True:
            lines = self._host_lines()
            lagging = tuple(
                item.host
                for item in lines
                if item.reachable and item.in_force < msg.version
            )
            if not lagging or self._clock() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        unreachable = tuple(i.host for i in lines if not i.reachable)
        return contracts.InForceAnswer(
            msg.ask, msg.version, lagging, unreachable
        )

    # Keepers and hosts.

    @_answer.register
    async def _keepers(self, msg: contracts.ListKeepers) -> object:
        """Return the list of the keepers."""
        await self._server.confirm_read()
        return contracts.KeeperList(msg.ask, self._keeper_lines())

    @_answer.register
    async def _add(self, msg: contracts.AddKeeper) -> object:
        """Add a keeper as a learner, then make it a voter."""
        member = await self._add_new_keeper(msg.address)
        await self._promote(member)
        return contracts.KeeperChanged(msg.ask, member.keeper)

    @_answer.register
    async def _remove(self, msg: contracts.RemoveKeeper) -> object:
        """Remove a keeper from the group."""
        keeper = self._resolve_keeper(msg.keeper)
        members = self._server.node.replica.membership.without(keeper)
        await self._server.change_members(members)
        return contracts.KeeperChanged(msg.ask, keeper)

    @_answer.register
    async def _replace(self, msg: contracts.ReplaceKeeper) -> object:
        """Add one keeper and remove another once the new one votes."""
        replaced = self._resolve_keeper(msg.keeper)
        member = await self._add_new_keeper(msg.address, replaced)
        await self._promote(member)
        members = self._server.node.replica.membership.without(replaced)
        await self._server.change_members(members)
        return contracts.KeeperChanged(msg.ask, member.keeper)

    def _resolve_keeper(self, name: ids.KeeperId) -> ids.KeeperId:
        """Return the identity of the only member with an identity or name."""
        members = self._server.node.replica.membership.members
        found = [i.keeper for i in members if name in (i.keeper, i.name)]
        if len(found) != 1:
            raise errors.FoxtailError(
                errors.Code.KEEPER_MISSING,
                "no keeper or several have that name",
            )
        return found[0]

    async def _add_new_keeper(
        self, address: ids.Address, replaced: ids.KeeperId | None = None
    ) -> agreement.Member:
        """Add the new keeper at ``address`` as a learner.

        A repeated request continues where the first one ended.
        """
        server = self._server
        await server.confirm_read()
        server.peers.connect(address)
        deadline = self._clock() + CHANGE_TIMEOUT_S
        while self._clock() < deadline:
            handshake = server.peers.find_by_address(address)
            if handshake is not None and handshake.keeper != replaced:
                return await self._ensure_learner(handshake)
            await asyncio.sleep(POLL_INTERVAL_S)
        raise errors.FoxtailError(
            errors.Code.KEEPER_MISSING, "no new keeper answers at the address"
        )

    async def _ensure_learner(
        self, handshake: _messages.Handshake
    ) -> agreement.Member:
        """Return the member of a handshake; add it first if necessary."""
        members = self._server.node.replica.membership
        known = members.find(handshake.keeper)
        if known is not None:
            return known
        member = agreement.Member(
            handshake.keeper, handshake.name, handshake.address, voter=False
        )
        await self._server.change_members(members.put(member))
        return member

    async def _promote(self, member: agreement.Member) -> None:
        """Make a learner a voter once it has the complete log."""
        replica = self._server.node.replica
        deadline = self._clock() + CHANGE_TIMEOUT_S
        while self._clock() < deadline:
            known = replica.membership.find(member.keeper)
            if known is not None and known.voter:
                return
            if replica.match_index_of(member.keeper) >= replica.commit_index:
                voter = dataclasses.replace(member, voter=True)
                members = replica.membership.put(voter)
                await self._server.change_members(members)
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise errors.FoxtailError(
            errors.Code.NO_QUORUM,
            "the learner didn't get the whole log in time",
        )

    @_answer.register
    async def _remove_host(self, msg: contracts.RemoveHost) -> object:
        """Remove an entry host from the roster."""
        await self._server.decide(contracts.RosterEdit(left=(msg.host,)))
        return contracts.HostRemoved(msg.ask, self._view.roster.epoch)


def _edit_answer(
    ask: int, outcome: contracts.Outcome | None
) -> contracts.EditAnswer:
    """Convert an outcome to the answer to an operator."""
    if outcome is None:
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "an edit was decided without an outcome"
        )
    return contracts.EditAnswer(
        ask, outcome.edit_id, outcome.code, outcome.version, outcome.detail
    )
