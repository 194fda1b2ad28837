"""Writes and confirmed reads of the operators' document and orders."""

import asyncio
from collections import abc
import contextlib
import typing

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import replicated
from foxtailworks import revisions

DECISION_TIMEOUT_S = 3.0
"""Time after which a write or read that waits for a majority is abandoned.
It is below the operators' limit for an acknowledgement, so that they have
time to try another coordinator."""

_EVENTS = logs.Events("coordinator")


class Documents:
    """Proposes writes and reads to the node and waits for their results.

    :param process_events: flushes the node and carries out its events
    :param clock: returns monotonic seconds
    :param outdated: returns the members that can't apply a form of commands
    """

    def __init__(
        self,
        node: replicated.Node,
        process_events: abc.Callable[[], None],
        clock: abc.Callable[[], float],
        outdated: abc.Callable[[int], tuple[ids.KeeperId, ...]],
    ) -> None:
        self._node = node
        self._process_events = process_events
        self._clock = clock
        self._outdated = outdated
        self._decisions: dict[int, asyncio.Future[bool]] = {}
        self._reads: dict[int, asyncio.Future[bool]] = {}

    @property
    def state(self) -> revisions.State:
        """State as of the last applied entry; it may be stale."""
        return typing.cast(revisions.Register, self._node.machine).state

    @property
    def current(self) -> revisions.StoredDocument:
        """Document as of the last applied entry; it may be stale."""
        return self.state.document

    async def put(self, revision: int, text: bytes) -> None:
        """Return once ``revision`` or a higher one is committed.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``,
            ``KEEPER_BUSY``; ``EDIT_UNKNOWN`` if it may have been committed
        """
        if revision <= self.current.revision:
            await self.confirm()
            return
        command = revisions.Put.of(revision, text)
        await self._commit(revisions.encode_put(command))

    async def evacuate(self, zone: ids.ZoneId, is_evacuated: bool) -> None:
        """Return once the evacuation of a zone, or its end, is committed.

        An order is proposed even if it seems to change nothing: this node
        may not have applied the order that it reverses yet.

        :param zone: one of the zones that may be evacuated
        :raises FoxtailError: as :meth:`put`; ``GROUP_OUTDATED`` while a
            member's release doesn't apply orders, which it would lose
        """
        outdated = self._outdated(revisions.COMMAND_FORM)
        if outdated:
            raise errors.FoxtailError(
                errors.Code.GROUP_OUTDATED,
                "a coordinator of an earlier release can't apply the order",
                keepers=",".join(outdated),
            )
        order = revisions.Evacuate(zone, is_evacuated)
        await self._commit(revisions.encode_evacuate(order))
        _EVENTS.info(
            "evacuation_acknowledged",
            zone=zone,
            is_evacuated=is_evacuated,
            number=self.state.evacuation.number,
        )

    async def _commit(self, data: bytes) -> None:
        """Propose a command and return once it is committed.

        :raises FoxtailError: as :meth:`put`
        """
        index = self._node.propose_data(data, self._clock())
        if not await self._wait(self._decisions, index):
            raise errors.FoxtailError(
                errors.Code.EDIT_UNKNOWN, "no majority answered in time"
            )

    async def read(self) -> revisions.StoredDocument:
        """Return the newest committed document, confirmed by a majority.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        await self.confirm()
        return self.current

    async def confirm(self) -> None:
        """Return once a majority has confirmed that this node is up to date.

        :raises FoxtailError: as :meth:`read`
        """
        number = self._node.read(self._clock())
        if not await self._wait(self._reads, number):
            raise errors.FoxtailError(
                errors.Code.NO_QUORUM, "no majority confirmed the read"
            )

    async def _wait(
        self, pending: dict[int, asyncio.Future[bool]], number: int
    ) -> bool:
        """Wait for one result; return false if it fails or times out."""
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        pending[number] = fut
        self._process_events()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DECISION_TIMEOUT_S):
                    return await fut
            return False
        finally:
            pending.pop(number, None)

    def on_event(self, event: replicated.Event) -> None:
        """Complete the write or read that an event of the node belongs to."""
        if isinstance(event, replicated.Decided):
            _complete(self._decisions, event.index, True)
        elif isinstance(event, replicated.Displaced):
            _complete(self._decisions, event.index, False)
        elif isinstance(event, agreement.ReadReady):
            _complete(self._reads, event.number, True)
        elif isinstance(event, agreement.ReadAborted):
            _complete(self._reads, event.number, False)

    def abort_waiting(self) -> None:
        """Fail all pending writes and reads, as the node is gone."""
        for pending in (self._decisions, self._reads):
            for number in tuple(pending):
                _complete(pending, number, False)


def _complete(
    pending: dict[int, asyncio.Future[bool]], number: int, done: bool
) -> None:
    """Set the result of a pending write or read, if there is one."""
    fut = pending.pop(number, None)
    if fut is not None and not fut.done():
        fut.set_result(done)
