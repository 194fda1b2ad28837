"""Sends requests to the keepers until one of them answers."""

import asyncio
import collections
from collections import abc
import dataclasses
import itertools
import time
import typing

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links
from foxtailworks import settings
from foxtailworks import wire

ROUND_PAUSE_S = 0.2
"""Pause between two rounds over the keepers, in seconds."""
MAX_ADDRESSES = 1024
"""Addresses tried in turn; beyond that the last in turn are dropped."""
RETRY_TIMEOUT_S = 15.0
"""Default time for which requests are retried, in seconds."""

_CODEC = wire.Codec(contracts.OPERATOR_MESSAGES)

# Errors that may not recur at another keeper, or later at the same one.
_TRANSIENT = frozenset(
    {
        errors.Code.NOT_LEADER,
        errors.Code.NO_QUORUM,
        errors.Code.KEEPER_BUSY,
        errors.Code.EDIT_UNKNOWN,
    }
)
_CODES = {item.value: item for item in errors.Code}

A = typing.TypeVar("A")


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """Failure of one attempt at a request."""

    exc: errors.FoxtailError
    """Error to raise when it is the last attempt."""
    may_have_run: bool
    """Whether a keeper may have executed the request."""
    is_transient: bool
    """Whether another attempt may succeed."""
    never_processed: bool
    """Whether it is certain that no keeper acted on the request."""
    leader: ids.Address | None = None
    """Address of the leader, if the keeper named one."""


class Keepers:
    """Client of the group of keepers.

    :param cfg: addresses, certificates and the timeout of one attempt
    :param retry_timeout_s: time for which requests are retried, in seconds
    :param pause_s: pause between two rounds over the keepers, in seconds
    :param clock: seconds of a monotonic clock
    """

    def __init__(
        self,
        cfg: settings.OperatorSettings,
        retry_timeout_s: float = RETRY_TIMEOUT_S,
        pause_s: float = ROUND_PAUSE_S,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._cfg = cfg
        self._retry_timeout_s = retry_timeout_s
        self._pause_s = pause_s
        self._clock = clock
        self._addresses = collections.deque(cfg.keepers)

    async def query(
        self, request: object, kind: type[A], wait_s: float = 0.0
    ) -> A:
        """Send an idempotent request, again until a keeper answers.

        :param kind: type of the answer
        :param wait_s: time that the keeper may take to answer, in seconds
        :raises FoxtailError: the rejection, or the last failure
        """
        return await self._request(request, kind, wait_s, resend=True)

    async def change(self, request: object, kind: type[A], wait_s: float) -> A:
        """Send a request that must not be executed twice.

        :raises FoxtailError: ``EDIT_UNKNOWN`` if it may have been executed
        """
        return await self._request(request, kind, wait_s, resend=False)

    async def edit(self, request: object) -> contracts.EditAnswer:
        """Send an edit, again until its outcome is known.

        :raises FoxtailError: ``EDIT_UNKNOWN`` when an answer was lost and
            no resend returned the outcome; else why it wasn't accepted
        """
        return await self._request(
            request, contracts.EditAnswer, 0.0, resend=True, has_edit_id=True
        )

    async def _request(
        self,
        request: object,
        kind: type[A],
        wait_s: float,
        resend: bool,
        has_edit_id: bool = False,
    ) -> A:
        """Send to the keepers in turn until one answers or time is up.

        :param has_edit_id: resends are recognised, so a lost answer leaves
            the outcome unknown only when no resend is answered
        """
        may_have_run = False
        last = _no_keepers()
        async for result in self._attempts(request, kind, wait_s):
            if not isinstance(result, _Failure):
                return result
            last = result.exc
            may_have_run = may_have_run or result.may_have_run
            if not result.is_transient or not (
                resend or result.never_processed
            ):
                break
        if may_have_run and (has_edit_id or not resend):
            raise errors.FoxtailError(
                errors.Code.EDIT_UNKNOWN,
                "the answer was lost, so it isn't known whether it was done",
                last=last,
            )
        raise last

    async def _attempts(
        self, request: object, kind: type[A], wait_s: float
    ) -> abc.AsyncIterator[A | _Failure]:
        """Yield the answer or the failure of each attempt."""
        end = self._clock() + self._retry_timeout_s + wait_s
        for attempt in itertools.count():
            if not self._addresses or (attempt and self._clock() >= end):
                return
            result = await self._attempt(
                self._addresses[0], request, kind, wait_s
            )
            yield result
            if isinstance(result, _Failure):
                self._choose_next(result)
            if (attempt + 1) % max(len(self._addresses), 2) == 0:
                await asyncio.sleep(self._pause_s)

    def _choose_next(self, failure: _Failure) -> None:
        """Move the keeper to try next to the front of the list."""
        self._addresses.rotate(-1)
        if failure.leader is None:
            return
        if failure.leader in self._addresses:
            self._addresses.remove(failure.leader)
        # A replaced keeper may not be listed in the settings yet.
        self._addresses.appendleft(failure.leader)
        while len(self._addresses) > MAX_ADDRESSES:
            self._addresses.pop()

    async def _attempt(
        self,
        address: ids.Address,
        request: typing.Any,
        kind: type[A],
        wait_s: float,
    ) -> A | _Failure:
        """Send the request to one keeper once."""
        sent = False
        try:
            async with links.dial(
                address, _CODEC, self._cfg.tls, self._cfg.timeout_s
            ) as link:
                sent = True
                answer = await link.request(
                    request, self._cfg.timeout_s + wait_s
                )
            _check_answer(answer, request, kind)
            if isinstance(answer, contracts.Refused):
                return _to_failure(answer)
            return typing.cast(A, answer)
        except errors.FoxtailError as exc:
            return _Failure(
                exc, sent, is_transient=True, never_processed=not sent
            )


def _check_answer(answer: typing.Any, request: typing.Any, kind: type) -> None:
    """Check that ``answer`` belongs to ``request``.

    :raises FoxtailError: ``MESSAGE_MALFORMED``
    """
    matches = answer.ask == request.ask
    if isinstance(answer, contracts.EditAnswer):
        matches = matches and answer.edit_id == request.edit_id
    if isinstance(answer, contracts.Refused):
        matches = matches and answer.code != errors.Code.OK
    if not matches or not isinstance(answer, kind | contracts.Refused):
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED,
            "an answer to another request",
            answer=type(answer).__name__,
        )


def _to_failure(answer: contracts.Refused) -> _Failure:
    """Convert a rejection by a keeper."""
    code = code_of(answer.code)
    return _Failure(
        errors.FoxtailError(code, answer.detail),
        may_have_run=code is errors.Code.EDIT_UNKNOWN,
        is_transient=code in _TRANSIENT,
        never_processed=code is errors.Code.NOT_LEADER,
        leader=answer.leader,
    )


def code_of(number: int) -> errors.Code:
    """Return the result code; ``INTERNAL`` for an unknown number."""
    return _CODES.get(number, errors.Code.INTERNAL)


def _no_keepers() -> errors.FoxtailError:
    """Return the error for settings without keepers."""
    return errors.FoxtailError(
        errors.Code.SETTINGS_INVALID, "keepers: none are listed"
    )
