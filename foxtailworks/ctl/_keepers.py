"""Asks the keepers, whichever of them can answer."""

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

PAUSE_S = 0.2
"""Between two rounds over the keepers."""
MAX_ORDER = 1024
"""Keepers tried in turn; the furthest are forgotten."""
PATIENCE_S = 15.0
"""How long tries go on by default."""

_CODEC = wire.Codec(contracts.OPERATOR_MESSAGES)

# Refusals that another keeper, or the same one later, may not repeat.
_PASSING = frozenset(
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
    """Why one try brought no answer."""

    exc: errors.FoxtailError
    """What a person is told."""
    may_have_run: bool
    """The question arrived, or may have."""
    passing: bool
    """Another try may bring an answer."""
    unheard: bool
    """The question certainly reached nobody who would act on it."""
    leader: ids.Address | None = None
    """Whom to ask instead."""


class Keepers:
    """The group of keepers, behind one call.

    :param cfg: addresses, certificates and the time for one try
    :param patience_s: how long tries go on
    :param pause_s: how long to wait between two rounds
    :param clock: seconds of a monotonic clock
    """

    def __init__(
        self,
        cfg: settings.OperatorSettings,
        patience_s: float = PATIENCE_S,
        pause_s: float = PAUSE_S,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._cfg = cfg
        self._patience_s = patience_s
        self._pause_s = pause_s
        self._clock = clock
        self._order = collections.deque(cfg.keepers)

    async def query(
        self, question: object, kind: type[A], wait_s: float = 0.0
    ) -> A:
        """Ask what may be asked again; resend until someone answers.

        :param wait_s: how long the keeper itself may wait
        :raises FoxtailError: the refusal, or why nobody answered
        """
        return await self._ask(question, kind, wait_s, resend=True)

    async def change(
        self, question: object, kind: type[A], wait_s: float
    ) -> A:
        """Ask for what must not be asked twice.

        :raises FoxtailError: ``EDIT_UNKNOWN`` once it may have been taken
        """
        return await self._ask(question, kind, wait_s, resend=False)

    async def edit(self, question: object) -> contracts.EditAnswer:
        """Send an edit, and send it again until its outcome is known.

        :raises FoxtailError: ``EDIT_UNKNOWN`` when an answer was lost and
            no resend brought the outcome; else why it wasn't accepted
        """
        return await self._ask(
            question, contracts.EditAnswer, 0.0, resend=True, keyed=True
        )

    async def _ask(
        self,
        question: object,
        kind: type[A],
        wait_s: float,
        resend: bool,
        keyed: bool = False,
    ) -> A:
        """Try the keepers in turn until one answers or time is up."""
        may_have_run = False
        last = _nobody()
        async for tried in self._tries(question, kind, wait_s):
            if not isinstance(tried, _Failure):
                return tried
            last = tried.exc
            may_have_run = may_have_run or tried.may_have_run
            if not tried.passing or not (resend or tried.unheard):
                break
        if may_have_run and (keyed or not resend):
            raise errors.FoxtailError(
                errors.Code.EDIT_UNKNOWN,
                "the answer was lost, so whether it was done isn't known",
                last=last,
            )
        raise last

    async def _tries(
        self, question: object, kind: type[A], wait_s: float
    ) -> abc.AsyncIterator[A | _Failure]:
        """Yield what each try brings."""
        end = self._clock() + self._patience_s + wait_s
        for tries in itertools.count():
            if not self._order or (tries and self._clock() >= end):
                return
            tried = await self._try(self._order[0], question, kind, wait_s)
            yield tried
            if isinstance(tried, _Failure):
                self._turn_to(tried)
            if (tries + 1) % max(len(self._order), 2) == 0:
                await asyncio.sleep(self._pause_s)

    def _turn_to(self, failure: _Failure) -> None:
        """Put whom to ask next in front."""
        self._order.rotate(-1)
        if failure.leader is None:
            return
        if failure.leader in self._order:
            self._order.remove(failure.leader)
        # A replaced keeper may not be listed in the settings yet.
        self._order.appendleft(failure.leader)
        while len(self._order) > MAX_ORDER:
            self._order.pop()

    async def _try(
        self,
        address: ids.Address,
        question: typing.Any,
        kind: type[A],
        wait_s: float,
    ) -> A | _Failure:
        """Ask one keeper once."""
        sent = False
        try:
            async with links.dial(
                address, _CODEC, self._cfg.tls, self._cfg.timeout_s
            ) as link:
                sent = True
                answer = await link.request(
                    question, self._cfg.timeout_s + wait_s
                )
            _check(answer, question, kind)
            if isinstance(answer, contracts.Refused):
                return _refusal(answer)
            return typing.cast(A, answer)
        except errors.FoxtailError as exc:
            return _Failure(exc, sent, passing=True, unheard=not sent)


def _check(answer: typing.Any, question: typing.Any, kind: type) -> None:
    """Refuse what is no answer to this question.

    :raises FoxtailError: ``MESSAGE_MALFORMED``
    """
    same = answer.ask == question.ask
    if isinstance(answer, contracts.EditAnswer):
        same = same and answer.edit_id == question.edit_id
    if isinstance(answer, contracts.Refused):
        same = same and answer.code != errors.Code.OK
    if not same or not isinstance(answer, kind | contracts.Refused):
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED,
            "an answer to another question",
            answer=type(answer).__name__,
        )


def _refusal(answer: contracts.Refused) -> _Failure:
    """Return what a refusal means for the next try."""
    code = code_of(answer.code)
    return _Failure(
        errors.FoxtailError(code, answer.detail),
        may_have_run=code is errors.Code.EDIT_UNKNOWN,
        passing=code in _PASSING,
        unheard=code is errors.Code.NOT_LEADER,
        leader=answer.leader,
    )


def code_of(number: int) -> errors.Code:
    """Return a code, also for a number that this version doesn't know."""
    return _CODES.get(number, errors.Code.INTERNAL)


def _nobody() -> errors.FoxtailError:
    """Return the error for settings without keepers."""
    return errors.FoxtailError(
        errors.Code.SETTINGS_INVALID, "keepers: none are listed"
    )
