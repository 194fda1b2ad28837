"""Which upstreams may get a new flow, and from when on.

Designed for a deployment of 71 hosts whose cold upstreams take at most 5
requests in any second, and whose zones are evacuated while they serve.  Hosts
don't know one another's placements, so none of them uses a cold upstream.
"""

import math
import typing

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _config

NEVER = math.inf
"""Time for an upstream that gets no flow until the next order."""
_MS_PER_S = 1000

Known: typing.TypeAlias = discovery.KnownInstance


class Eligibility:
    """Excludes the upstreams of evacuated zones and cold upstreams.

    Its memory is bounded by the zones of the deployment.
    """

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._readmitted_at: dict[ids.ZoneId, float] = {}
        self.number = 0
        """Number of the evacuation in force; 0 before the first one."""
        self.zones: frozenset[ids.ZoneId] = frozenset()
        """Evacuated zones."""

    def put(
        self,
        number: int,
        zones: typing.Iterable[ids.ZoneId],
        now: float,
        returned: typing.Iterable[tuple[ids.ZoneId, float]] = (),
    ) -> bool:
        """Put an evacuation in force.

        A zone that is no longer evacuated is readmitted after a pause: its
        upstreams may have become cold, which they report in their next
        heartbeat.

        :param returned: zones whose evacuation has ended, with the seconds
            since then, for a host that didn't know of it
        :return: false when this or a later evacuation already is in force
        """
        if number <= self.number:
            return False
        self.number = number
        before, self.zones = self.zones, frozenset(zones)
        pause_s = (
            self._cfg.readmission_heartbeats * self._cfg.heartbeat_s
            + self._cfg.readmission_slack_s
        )
        pauses = {zone: now + pause_s - age_s for zone, age_s in returned}
        pauses |= self._readmitted_at
        pauses.update(dict.fromkeys(before - self.zones, now + pause_s))
        self._readmitted_at = {
            zone: at for zone, at in pauses.items() if at > now
        }
        return True

    def ready_at(self, known: Known) -> float:
        """Return the time from which an upstream may get a new flow.

        A cold upstream is ready before its heartbeat says so: it has been
        cold for longer than it reported when the report arrived here.
        """
        instance = known.instance
        if instance.zone in self.zones:
            return NEVER
        ready_at = self._readmitted_at.get(instance.zone, -NEVER)
        if self._cfg.spares_cold and instance.cold_ms:
            warm_at = known.changed_at + instance.cold_ms / _MS_PER_S
            return max(ready_at, warm_at)
        return ready_at

    def select(
        self, upstreams: typing.Iterable[Known], now: float
    ) -> list[Known]:
        """Return the upstreams that may get a new flow now."""
        if not (self.zones or self._readmitted_at or self._cfg.spares_cold):
            return list(upstreams)
        return [item for item in upstreams if self.ready_at(item) <= now]

    def next_ready_at(
        self, upstreams: typing.Iterable[Known], now: float
    ) -> float:
        """Return when the first upstream that isn't ready yet will be.

        :returns: ``NEVER`` when all are ready or in evacuated zones
        """
        times = (self.ready_at(item) for item in upstreams)
        return min((time for time in times if time > now), default=NEVER)
