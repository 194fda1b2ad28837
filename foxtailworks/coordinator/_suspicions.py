"""Instances that several edge hosts report as unresponsive."""

from collections import abc

from foxtailworks import discovery
from foxtailworks import ids

InstanceKey = tuple[discovery.InstanceId, ids.Incarnation]

VALID_S = 0.6
"""Time for which a host's report is valid: two polls, which renew it."""
MIN_HOSTS = 2
"""Hosts that must agree: a single one may itself be isolated or slow."""


class SuspicionTracker:
    """Collects the suspicions of edge hosts, to be sent to all of them."""

    def __init__(self) -> None:
        self._valid_until: dict[InstanceKey, dict[ids.HostId, float]] = {}

    def update(
        self, host: ids.HostId, keys: abc.Iterable[InstanceKey], now: float
    ) -> None:
        """Record the instances that a host suspects now."""
        for key in keys:
            self._valid_until.setdefault(key, {})[host] = now + VALID_S

    def suspected(self, now: float) -> tuple[InstanceKey, ...]:
        """Return the instances that enough hosts suspect.

        Expired reports are discarded.
        """
        for key, hosts in list(self._valid_until.items()):
            for host in [h for h, until in hosts.items() if until <= now]:
                del hosts[host]
            if not hosts:
                del self._valid_until[key]
        return tuple(
            key
            for key, hosts in self._valid_until.items()
            if len(hosts) >= MIN_HOSTS
        )
