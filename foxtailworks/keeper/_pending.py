"""Proposals and reads that wait for a majority of the keepers."""

import asyncio

from foxtailworks import contracts
from foxtailworks import errors

# Time limit of an edit or a read that waits for a majority.
DECIDE_TIMEOUT_S = 5.0


class PendingDecisions:
    """Proposals that wait for their commitment, by log index."""

    def __init__(self) -> None:
        self._futures: dict[int, asyncio.Future[contracts.Outcome | None]]
        self._futures = {}

    def add(self, index: int) -> asyncio.Future[contracts.Outcome | None]:
        """Return a future for the outcome of a proposal."""
        fut: asyncio.Future[contracts.Outcome | None]
        fut = asyncio.get_running_loop().create_future()
        self._futures[index] = fut
        return fut

    async def wait(
        self, index: int, fut: asyncio.Future[contracts.Outcome | None]
    ) -> contracts.Outcome | None:
        """Wait for the outcome of a proposal.

        :raises FoxtailError: ``EDIT_UNKNOWN``
        """
        try:
            async with asyncio.timeout(DECIDE_TIMEOUT_S):
                return await fut
        except TimeoutError as exc:
            raise errors.FoxtailError(
                errors.Code.EDIT_UNKNOWN,
                "no majority answered in time; resend with the same edit id",
            ) from exc
        finally:
            if self._futures.get(index) is fut:
                del self._futures[index]

    def resolve(self, index: int, outcome: contracts.Outcome | None) -> None:
        """Pass the outcome of a proposal to its waiter."""
        fut = self._futures.pop(index, None)
        if fut is not None and not fut.done():
            fut.set_result(outcome)

    def fail(self, index: int) -> None:
        """Fail a proposal whose log index has another entry."""
        fut = self._futures.pop(index, None)
        if fut is not None and not fut.done():
            fut.set_exception(
                errors.FoxtailError(
                    errors.Code.EDIT_UNKNOWN,
                    "another keeper leads; resend with the same edit id",
                )
            )


class PendingReads:
    """Reads that wait for their confirmation, by number."""

    def __init__(self) -> None:
        self._futures: dict[int, asyncio.Future[bool]] = {}

    def add(self, number: int) -> asyncio.Future[bool]:
        """Return a future for the confirmation of a read."""
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._futures[number] = fut
        return fut

    async def wait(self, number: int, fut: asyncio.Future[bool]) -> None:
        """Wait until a read is confirmed.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``
        """
        try:
            async with asyncio.timeout(DECIDE_TIMEOUT_S):
                ready = await fut
        except TimeoutError as exc:
            raise errors.FoxtailError(
                errors.Code.NO_QUORUM, "no majority confirmed the read"
            ) from exc
        finally:
            self._futures.pop(number, None)
        if not ready:
            raise errors.FoxtailError(
                errors.Code.NOT_LEADER, "this keeper no longer leads"
            )

    def resolve(self, number: int, ready: bool) -> None:
        """Pass the result of a read to its waiter."""
        fut = self._futures.pop(number, None)
        if fut is not None and not fut.done():
            fut.set_result(ready)
