"""Asks the entry hosts, all at once."""

import asyncio
from collections import abc
import dataclasses
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links
from foxtailworks import observe
from foxtailworks import settings
from foxtailworks import wire

MAX_AT_ONCE = 32
"""Links open at one time."""

_CODEC = wire.Codec(observe.HOST_MESSAGES)
_ASK = 1

A = typing.TypeVar("A")


@dataclasses.dataclass(frozen=True)
class Unreached:
    """A host that gave no answer."""

    address: ids.Address
    """Where it was asked."""
    code: errors.Code
    """Numbered reason."""
    detail: str
    """What happened."""


Answers = tuple[tuple[A, ...], tuple[Unreached, ...]]


class Entries:
    """The entry hosts that the settings list.

    :param cfg: addresses, certificates and the time for one try
    """

    def __init__(self, cfg: settings.OperatorSettings) -> None:
        self._cfg = cfg
        self._slots = asyncio.Semaphore(MAX_AT_ONCE)

    async def status(self) -> Answers[observe.HostStatus]:
        """Return what each host sees."""
        return await self._all(self._status)

    async def histograms(
        self, customer: ids.CustomerId | None
    ) -> Answers[tuple[observe.HistogramSnapshot, ...]]:
        """Return each host's histograms."""
        return await self._all(lambda link: self._pages(link, customer))

    async def drain(
        self, upstream: ids.UpstreamId
    ) -> Answers[observe.DrainAnswer]:
        """Ask each host to give ``upstream`` no new work."""
        request = observe.DrainRequest(_ASK, upstream)
        return await self._all(
            lambda link: self._ask(link, request, observe.DrainAnswer)
        )

    async def _ask(
        self, link: links.Link, request: object, kind: type[A]
    ) -> A:
        """Return the answer to one question."""
        answer = await link.request(request, self._cfg.timeout_s)
        if not isinstance(answer, kind) or _number(answer) != _ASK:
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED,
                "an answer to another question",
                answer=type(answer).__name__,
            )
        return answer

    async def _status(self, link: links.Link) -> observe.HostStatus:
        """Ask one host for its view."""
        request = observe.StatusRequest(_ASK)
        return await self._ask(link, request, observe.HostStatus)

    async def _pages(
        self, link: links.Link, customer: ids.CustomerId | None
    ) -> tuple[observe.HistogramSnapshot, ...]:
        """Return all pages of one host, a bounded number."""
        found: list[observe.HistogramSnapshot] = []
        while len(found) <= 2 * observe.MAX_SERIES:
            request = observe.HistogramRequest(_ASK, len(found), customer)
            page = await self._ask(link, request, observe.HistogramPage)
            found.extend(page.snapshots)
            if not page.more or not page.snapshots:
                break
        return tuple(found)

    async def _all(
        self, ask: abc.Callable[[links.Link], abc.Awaitable[A]]
    ) -> Answers[A]:
        """Ask all hosts and sort out those that gave no answer."""
        found = await asyncio.gather(
            *(self._one(address, ask) for address in self._cfg.entries)
        )
        answers = (item for item in found if not isinstance(item, Unreached))
        lost = (item for item in found if isinstance(item, Unreached))
        return tuple(answers), tuple(lost)

    async def _one(
        self,
        address: ids.Address,
        ask: abc.Callable[[links.Link], abc.Awaitable[A]],
    ) -> A | Unreached:
        """Ask one host."""
        try:
            async with (
                self._slots,
                links.dial(
                    address, _CODEC, self._cfg.tls, self._cfg.timeout_s
                ) as link,
            ):
                return await ask(link)
        except errors.FoxtailError as exc:
            return Unreached(address, exc.code, str(exc))


def _number(answer: typing.Any) -> object:
    """Return which question an answer repeats."""
    return answer.ask
