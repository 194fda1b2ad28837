"""Queries all entry hosts concurrently."""

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

MAX_OPEN_LINKS = 32
"""Links to entry hosts that are open at one time."""

_CODEC = wire.Codec(observe.HOST_MESSAGES)
_REQUEST_NUMBER = 1

A = typing.TypeVar("A")


@dataclasses.dataclass(frozen=True)
class UnreachedHost:
    """An entry host that didn't answer."""

    address: ids.Address
    """Address to which the request was sent."""
    code: errors.Code
    """Result code that says why."""
    detail: str
    """Description of the error."""


Answers = tuple[tuple[A, ...], tuple[UnreachedHost, ...]]


class EntryHosts:
    """Client of the entry hosts that the settings list.

    :param cfg: addresses, certificates and the timeout of one attempt
    """

    def __init__(self, cfg: settings.OperatorSettings) -> None:
        self._cfg = cfg
        self._link_slots = asyncio.Semaphore(MAX_OPEN_LINKS)

    async def status(self) -> Answers[observe.HostStatus]:
        """Return the status that each host reports."""
        return await self._query_all(self._fetch_status)

    async def histograms(
        self, customer: ids.CustomerId | None
    ) -> Answers[tuple[observe.HistogramSnapshot, ...]]:
        """Return each host's histograms.

        :param customer: None for all customers
        """
        return await self._query_all(
            lambda link: self._fetch_histograms(link, customer)
        )

    async def drain(
        self, upstream: ids.UpstreamId
    ) -> Answers[observe.DrainAnswer]:
        """Request each host to give ``upstream`` no new work."""
        request = observe.DrainRequest(_REQUEST_NUMBER, upstream)
        return await self._query_all(
            lambda link: self._request(link, request, observe.DrainAnswer)
        )

    async def _request(
        self, link: links.Link, request: object, kind: type[A]
    ) -> A:
        """Send one request and return its answer.

        :raises FoxtailError: ``MESSAGE_MALFORMED`` for another answer, or
            the link failed
        """
        answer = await link.request(request, self._cfg.timeout_s)
        if (
            not isinstance(answer, kind)
            or _request_number_of(answer) != _REQUEST_NUMBER
        ):
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED,
                "an answer to another request",
                answer=type(answer).__name__,
            )
        return answer

    async def _fetch_status(self, link: links.Link) -> observe.HostStatus:
        """Return the status of one host."""
        request = observe.StatusRequest(_REQUEST_NUMBER)
        return await self._request(link, request, observe.HostStatus)

    async def _fetch_histograms(
        self, link: links.Link, customer: ids.CustomerId | None
    ) -> tuple[observe.HistogramSnapshot, ...]:
        """Return the histograms on all pages of one host, up to a bound."""
        snapshots: list[observe.HistogramSnapshot] = []
        while len(snapshots) <= 2 * observe.MAX_SERIES:
            request = observe.HistogramRequest(
                _REQUEST_NUMBER, len(snapshots), customer
            )
            page = await self._request(link, request, observe.HistogramPage)
            snapshots.extend(page.snapshots)
            if not page.more or not page.snapshots:
                break
        return tuple(snapshots)

    async def _query_all(
        self, query: abc.Callable[[links.Link], abc.Awaitable[A]]
    ) -> Answers[A]:
        """Query all hosts; separate answers from hosts without one."""
        results = await asyncio.gather(
            *(self._query_one(address, query) for address in self._cfg.entries)
        )
        answers = (
            item for item in results if not isinstance(item, UnreachedHost)
        )
        unreached = (
            item for item in results if isinstance(item, UnreachedHost)
        )
        return tuple(answers), tuple(unreached)

    async def _query_one(
        self,
        address: ids.Address,
        query: abc.Callable[[links.Link], abc.Awaitable[A]],
    ) -> A | UnreachedHost:
        """Query one host; return an error as a value."""
        try:
            async with (
                self._link_slots,
                links.dial(
                    address, _CODEC, self._cfg.tls, self._cfg.timeout_s
                ) as link,
            ):
                return await query(link)
        except errors.FoxtailError as exc:
            return UnreachedHost(address, exc.code, str(exc))


def _request_number_of(answer: typing.Any) -> object:
    """Return the number of the request that an answer belongs to."""
    return answer.ask
