"""Which instances several edge hosts find silent."""

from collections import abc

from foxtailworks import discovery
from foxtailworks import ids

Key = tuple[discovery.InstanceId, ids.Incarnation]

HOLD_S = 0.6
"""A host's word counts so long: two polls, which repeat it."""
ENOUGH = 2
"""Hosts that must agree: one may itself be cut off or slow."""


class Doubts:
    """Collects what edge hosts avoid, for the other edge hosts."""

    def __init__(self) -> None:
        self._until: dict[Key, dict[ids.HostId, float]] = {}

    def take(
        self, host: ids.HostId, keys: abc.Iterable[Key], now: float
    ) -> None:
        """Take what a host avoids now."""
        for key in keys:
            self._until.setdefault(key, {})[host] = now + HOLD_S

    def doubted(self, now: float) -> tuple[Key, ...]:
        """Return what enough hosts avoid; forget what is over."""
        for key, hosts in list(self._until.items()):
            for host in [h for h, until in hosts.items() if until <= now]:
                del hosts[host]
            if not hosts:
                del self._until[key]
        return tuple(
            key for key, hosts in self._until.items() if len(hosts) >= ENOUGH
        )
