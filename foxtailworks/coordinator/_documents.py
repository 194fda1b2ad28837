"""Operators' documents: proposed, confirmed, read."""

import asyncio
from collections import abc
import contextlib
import typing

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import replicated
from foxtailworks import revisions

DECIDE_S = 3.0
"""A change or a read that waits longer for a majority is given up: below
the operators' limit for an acknowledgement, so that they ask elsewhere."""


class Documents:
    """Waits for what the node decides.

    :param pump: carries out what the node asks for
    :param clock: steady seconds
    """

    def __init__(
        self,
        node: replicated.Node,
        pump: abc.Callable[[], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._node = node
        self._pump = pump
        self._clock = clock
        self._decisions: dict[int, asyncio.Future[bool]] = {}
        self._reads: dict[int, asyncio.Future[bool]] = {}

    @property
    def current(self) -> revisions.StoredDocument:
        """The document as of the last applied entry; may be stale."""
        return typing.cast(revisions.Register, self._node.machine).current

    async def put(self, revision: int, text: bytes) -> None:
        """Return once ``revision`` or a higher one is in force for good.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``,
            ``KEEPER_BUSY``; ``EDIT_UNKNOWN`` when it may be in force
        """
        if revision <= self.current.revision:
            await self.confirm()
            return
        command = revisions.Put.of(revision, text)
        data = revisions.encode_put(command)
        index = self._node.propose_data(data, self._clock())
        if not await self._wait(self._decisions, index):
            raise errors.FoxtailError(
                errors.Code.EDIT_UNKNOWN, "no majority answered in time"
            )

    async def read(self) -> revisions.StoredDocument:
        """Return the newest document; never an older one.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        await self.confirm()
        return self.current

    async def confirm(self) -> None:
        """Return once this node is known to hold the newest state.

        :raises FoxtailError: as :meth:`read`
        """
        number = self._node.read(self._clock())
        if not await self._wait(self._reads, number):
            raise errors.FoxtailError(
                errors.Code.NO_QUORUM, "no majority confirmed the read"
            )

    async def _wait(
        self, waiting: dict[int, asyncio.Future[bool]], number: int
    ) -> bool:
        """Wait for one decision; false when it doesn't come."""
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        waiting[number] = fut
        self._pump()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DECIDE_S):
                    return await fut
            return False
        finally:
            waiting.pop(number, None)

    def on_event(self, event: replicated.Event) -> None:
        """Tell who waits what the node has decided."""
        if isinstance(event, replicated.Decided):
            _settle(self._decisions, event.index, True)
        elif isinstance(event, replicated.Displaced):
            _settle(self._decisions, event.index, False)
        elif isinstance(event, agreement.ReadReady):
            _settle(self._reads, event.number, True)
        elif isinstance(event, agreement.ReadAborted):
            _settle(self._reads, event.number, False)

    def abort_waiting(self) -> None:
        """Tell everyone who waits that this node decides no more."""
        for waiting in (self._decisions, self._reads):
            for number in tuple(waiting):
                _settle(waiting, number, False)


def _settle(
    waiting: dict[int, asyncio.Future[bool]], number: int, done: bool
) -> None:
    """Tell who waits, if someone does."""
    fut = waiting.pop(number, None)
    if fut is not None and not fut.done():
        fut.set_result(done)
