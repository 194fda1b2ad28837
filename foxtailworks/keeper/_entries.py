"""Entry hosts that are subscribed, and what they have in force."""

import dataclasses

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links

SILENT_S = 6.0


@dataclasses.dataclass(slots=True)
class _Report:
    """What a host reported last."""

    version: ids.Version
    at: float
    behind_since: float | None = None


class Subscribers:
    """Feeds updates to entry hosts and remembers their reports."""

    def __init__(self) -> None:
        self._links: dict[ids.HostId, links.Link] = {}
        self._sent: dict[ids.HostId, ids.Version] = {}
        self._reports: dict[ids.HostId, _Report] = {}

    def add(
        self, msg: contracts.Subscribe, link: links.Link, now: float
    ) -> None:
        """Take in a subscription."""
        self._links[msg.host] = link
        self._sent[msg.host] = msg.have_version
        self.report(contracts.InForce(msg.host, msg.have_version), now)

    def remove(self, link: links.Link) -> None:
        """Forget a link that ended."""
        for host in [h for h, k in self._links.items() if k is link]:
            del self._links[host]

    def report(self, msg: contracts.InForce, now: float) -> None:
        """Note what a host has in force."""
        old = self._reports.get(msg.host)
        since = old.behind_since if old is not None else None
        self._reports[msg.host] = _Report(msg.version, now, since)

    def line(
        self, item: contracts.RosterHost, version: ids.Version, now: float
    ) -> contracts.HostLine:
        """Return one host's line of the status."""
        found = self._reports.get(item.host)
        silent_s = now - found.at if found is not None else float(SILENT_S)
        in_force = found.version if found is not None else ids.ZERO_VERSION
        lags_s = 0.0
        if found is not None:
            if in_force >= version:
                found.behind_since = None
            elif found.behind_since is None:
                found.behind_since = now
            if found.behind_since is not None:
                lags_s = now - found.behind_since
        return contracts.HostLine(
            host=item.host,
            zone=item.zone,
            address=item.address,
            in_force=in_force,
            lags_s=lags_s,
            silent_s=silent_s,
            reachable=silent_s < SILENT_S,
        )

    async def feed(self, view: contracts.View) -> None:
        """Send each subscriber what it lacks."""
        for host, link in list(self._links.items()):
            if self._sent[host] < view.version:
                update = view.since(self._sent[host])
                self._sent[host] = view.version
                try:
                    await link.send(update)
                except errors.FoxtailError:
                    self._links.pop(host, None)
