"""Subscribed entry hosts and the versions that they have in force."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links

REPORT_TIMEOUT_S = 6.0
"""Seconds without a report after which a host counts as unreachable."""
MAX_REPORTS = 4096
"""Limit of kept reports; the oldest is discarded for a new host."""
UPDATE_CHUNK_BYTES = 512 << 10
"""Limit of the contracts' text in one update on a link, in bytes."""


@dataclasses.dataclass(slots=True)
class _Report:
    """Latest report of an entry host."""

    version: ids.Version
    received_at: float
    behind_since: float | None


class _Subscriber:
    """Sends updates to one host; a slow reader delays no other host."""

    def __init__(
        self,
        link: links.Link,
        sent_version: ids.Version,
        view: abc.Callable[[], contracts.View],
    ) -> None:
        self.link = link
        self._sent_version = sent_version
        self._view = view
        self.wake = asyncio.Event()
        self.wake.set()
        self.task = asyncio.ensure_future(self._send_updates())

    async def _send_updates(self) -> None:
        """Send the updates that the host lacks until its link ends."""
        with contextlib.suppress(errors.FoxtailError):
            while True:
                await self.wake.wait()
                self.wake.clear()
                for update in self._view().parts(
                    self._sent_version, UPDATE_CHUNK_BYTES
                ):
                    await self.link.send(update)
                    self._sent_version = update.version


class Subscribers:
    """Sends updates to entry hosts and stores their reports.

    :param view: returns the contracts and the roster of this keeper
    """

    def __init__(self, view: abc.Callable[[], contracts.View]) -> None:
        self._view = view
        self._subscribers: dict[ids.HostId, _Subscriber] = {}
        self._reports: dict[ids.HostId, _Report] = {}

    def add(
        self, msg: contracts.Subscribe, link: links.Link, now: float
    ) -> None:
        """Add a subscription, which replaces an older one of the host."""
        self._end_subscription(msg.host)
        self._subscribers[msg.host] = _Subscriber(
            link, msg.have_version, self._view
        )
        self.record_report(contracts.InForce(msg.host, msg.have_version), now)

    def remove(self, link: links.Link) -> None:
        """Remove the subscription of a link that ended."""
        for host, item in list(self._subscribers.items()):
            if item.link is link:
                self._end_subscription(host)

    def on_new_version(self, version: ids.Version, now: float) -> None:
        """Start to send a new version; hosts without it lag from now on."""
        for item in self._reports.values():
            if item.version < version and item.behind_since is None:
                item.behind_since = now
        for sub in self._subscribers.values():
            sub.wake.set()

    def record_report(self, msg: contracts.InForce, now: float) -> None:
        """Record the version that a host has in force."""
        known = self._reports.get(msg.host)
        if known is None and len(self._reports) >= MAX_REPORTS:
            self._discard_oldest_report()
        behind_since = known.behind_since if known else now
        if msg.version >= self._view().version:
            behind_since = None
        elif behind_since is None:
            behind_since = now
        self._reports[msg.host] = _Report(msg.version, now, behind_since)

    def status_line(
        self, item: contracts.RosterHost, now: float
    ) -> contracts.HostLine:
        """Return the line for one host in the status."""
        found = self._reports.get(item.host)
        if found is None:
            found = _Report(ids.ZERO_VERSION, now - REPORT_TIMEOUT_S, None)
        behind_since = found.behind_since
        return contracts.HostLine(
            host=item.host,
            zone=item.zone,
            address=item.address,
            in_force=found.version,
            lags_s=now - behind_since if behind_since is not None else 0.0,
            silent_s=now - found.received_at,
            reachable=now - found.received_at < REPORT_TIMEOUT_S,
        )

    def _end_subscription(self, host: ids.HostId) -> None:
        """End the subscription of one host, if there is one."""
        old = self._subscribers.pop(host, None)
        if old is not None:
            old.task.cancel()

    def _discard_oldest_report(self) -> None:
        """Discard the oldest report to make room for another."""
        oldest = min(self._reports, key=lambda h: self._reports[h].received_at)
        del self._reports[oldest]
