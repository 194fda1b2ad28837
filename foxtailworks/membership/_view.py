"""View of the live hosts, derived from records and reachability."""

from collections import abc

import xxhash

from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts
from foxtailworks.membership import _zones


class View:
    """Cache of the live hosts, cleared by each change."""

    def __init__(
        self,
        me: ids.HostId,
        zone: ids.ZoneId,
        now: float,
        config: _config.Config,
        hosts: _hosts.HostTable,
        zones: _zones.ZoneMonitor,
    ) -> None:
        self._me = me
        self._zone = zone
        self._cfg = config
        self._hosts = hosts
        self._zones = zones
        self._live: dict[ids.ZoneId | None, tuple[_host.Host, ...]] = {}
        self.version = 0
        self.last_contact_at = now
        self.isolated = False

    def invalidate(self) -> None:
        """Clear the cache after a change."""
        self.version += 1
        self._live.clear()

    def live(self, zone: ids.ZoneId | None) -> tuple[_host.Host, ...]:
        """Return the hosts that may receive work, sorted by id.

        :param zone: only hosts of this zone, ``None`` for all
        """
        found = self._live.get(zone)
        if found is None:
            found = self._live[zone] = tuple(self._find_live(zone))
        return found

    def _find_live(self, zone: ids.ZoneId | None) -> abc.Iterator[_host.Host]:
        """Yield the hosts that are live and reachable, sorted by id."""
        for host in sorted(self._hosts.all(), key=lambda host: host.id):
            if not host.is_live or zone not in (None, host.zone):
                continue
            is_unreachable = (
                self.isolated or host.zone in self._zones.unreachable
            )
            if host.id == self._me or not is_unreachable:
                yield host

    def hash(self) -> int:
        """Return a hash of the ids of all live hosts."""
        text = "\n".join(host.id for host in self.live(None))
        return xxhash.xxh64_intdigest(text.encode())

    def has_no_contact(self, now: float) -> bool:
        """Return whether others are known and none of them is in contact."""
        is_unresponsive = now - self.last_contact_at >= self._cfg.isolation_s
        return is_unresponsive and any(
            host.is_live and host.id != self._me for host in self._hosts.all()
        )

    def is_in_minority(self, now: float) -> bool:
        """Return whether more hosts of the zone died lately than are live."""
        recent = now - self._cfg.minority_window_s
        live = dead = 0
        for host in self._hosts.in_zone(self._zone):
            if host.is_live:
                live += 1
            elif host.state is _host.HostState.DEAD:
                dead += self._hosts.ended_at(host.id) > recent
        return live < dead
