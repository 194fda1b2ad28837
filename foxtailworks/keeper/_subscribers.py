"""Entry hosts that are subscribed, and what they have in force."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links

SILENT_S = 6.0
"""A host without a report for so long isn't reachable."""
MAX_REPORTS = 4096
"""Hosts whose reports are kept; more are dropped."""
PART_BYTES = 512 << 10
"""Contracts' texts in one update on a link."""


@dataclasses.dataclass(slots=True)
class _Report:
    """What a host reported last."""

    version: ids.Version
    at: float
    behind_since: float | None


class _Subscriber:
    """Feeds one host; one that doesn't read delays nobody else."""

    def __init__(
        self,
        link: links.Link,
        have: ids.Version,
        view: abc.Callable[[], contracts.View],
    ) -> None:
        self.link = link
        self._sent = have
        self._view = view
        self.wake = asyncio.Event()
        self.wake.set()
        self.task = asyncio.ensure_future(self._keep_fed())

    async def _keep_fed(self) -> None:
        """Send what the host lacks, until its link ends."""
        with contextlib.suppress(errors.FoxtailError):
            while True:
                await self.wake.wait()
                self.wake.clear()
                for update in self._view().parts(self._sent, PART_BYTES):
                    await self.link.send(update)
                    self._sent = update.version


class Subscribers:
    """Feeds updates to entry hosts and remembers their reports.

    :param view: returns the contracts and the roster of this keeper
    """

    def __init__(self, view: abc.Callable[[], contracts.View]) -> None:
        self._view = view
        self._subscribers: dict[ids.HostId, _Subscriber] = {}
        self._reports: dict[ids.HostId, _Report] = {}

    def add(
        self, msg: contracts.Subscribe, link: links.Link, now: float
    ) -> None:
        """Take in a subscription; it ends an older one of the host."""
        self._drop(msg.host)
        self._subscribers[msg.host] = _Subscriber(
            link, msg.have_version, self._view
        )
        self.report(contracts.InForce(msg.host, msg.have_version), now)

    def remove(self, link: links.Link) -> None:
        """Forget a link that ended."""
        for host, item in list(self._subscribers.items()):
            if item.link is link:
                self._drop(host)

    def advance(self, version: ids.Version, now: float) -> None:
        """Feed a new version; from now on others lag."""
        for item in self._reports.values():
            if item.version < version and item.behind_since is None:
                item.behind_since = now
        for sub in self._subscribers.values():
            sub.wake.set()

    def report(self, msg: contracts.InForce, now: float) -> None:
        """Note what a host has in force."""
        known = self._reports.get(msg.host)
        if known is None and len(self._reports) >= MAX_REPORTS:
            self._forget_oldest()
        since = known.behind_since if known else now
        if msg.version >= self._view().version:
            since = None
        elif since is None:
            since = now
        self._reports[msg.host] = _Report(msg.version, now, since)

    def line(
        self, item: contracts.RosterHost, now: float
    ) -> contracts.HostLine:
        """Return one host's line of the status."""
        found = self._reports.get(item.host)
        if found is None:
            found = _Report(ids.ZERO_VERSION, now - SILENT_S, None)
        since = found.behind_since
        return contracts.HostLine(
            host=item.host,
            zone=item.zone,
            address=item.address,
            in_force=found.version,
            lags_s=now - since if since is not None else 0.0,
            silent_s=now - found.at,
            reachable=now - found.at < SILENT_S,
        )

    def _drop(self, host: ids.HostId) -> None:
        """End the feeding of one host."""
        old = self._subscribers.pop(host, None)
        if old is not None:
            old.task.cancel()

    def _forget_oldest(self) -> None:
        """Make room for a report."""
        oldest = min(self._reports, key=lambda h: self._reports[h].at)
        del self._reports[oldest]
