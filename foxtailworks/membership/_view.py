"""Which hosts count as live: claims, cuts and isolation together."""

from collections import abc

import xxhash

from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts
from foxtailworks.membership import _zones


class View:
    """The live hosts, kept between changes."""

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
        self.heard_at = now
        self.isolated = False

    def invalidate(self) -> None:
        """Work the live hosts out anew when they're asked for."""
        self.version += 1
        self._live.clear()

    def live(self, zone: ids.ZoneId | None) -> tuple[_host.Host, ...]:
        """Return the hosts that may be given work, sorted by id."""
        found = self._live.get(zone)
        if found is None:
            found = self._live[zone] = tuple(self._find_live(zone))
        return found

    def _find_live(self, zone: ids.ZoneId | None) -> abc.Iterator[_host.Host]:
        """Yield the live hosts, sorted by id."""
        for host in sorted(self._hosts.all(), key=lambda host: host.id):
            if not host.is_live or zone not in (None, host.zone):
                continue
            is_cut = self.isolated or host.zone in self._zones.cut
            if host.id == self._me or not is_cut:
                yield host

    def hash(self) -> int:
        """Return a hash of the live hosts."""
        text = "\n".join(host.id for host in self.live(None))
        return xxhash.xxh64_intdigest(text.encode())

    def hears_nobody(self, now: float) -> bool:
        """Tell whether others are known and all are silent."""
        silent = now - self.heard_at >= self._cfg.isolation_s
        return silent and any(
            host.is_live and host.id != self._me for host in self._hosts.all()
        )

    def in_minority(self, now: float) -> bool:
        """Tell whether most of the own zone was lost of late."""
        recent = now - self._cfg.minority_memory_s
        live = dead = 0
        for host in self._hosts.in_zone(self._zone):
            if host.is_live:
                live += 1
            elif host.state is _host.HostState.DEAD:
                dead += self._hosts.ended_at(host.id) > recent
        return live < dead
