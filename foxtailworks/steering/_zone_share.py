"""Share of a zone's new flows that other zones take.

Designed for zones whose demand varies by 0.27 out of phase within seconds,
with a view of the load that is about 0.3 s old.  Bytes between zones are
priced, so that a zone keeps its callers' flows unless it is clearly more
loaded than the others.
"""

import collections
from collections import abc
import typing

from foxtailworks import ids
from foxtailworks.steering import _config


class ZoneLoad(typing.NamedTuple):
    """Load of the upstreams of one service in one zone."""

    requests: float
    """Requests in progress."""
    slots: float
    """Requests that the upstreams process concurrently."""


class ZoneShare:
    """Decides which share of a service's new flows leaves the zone.

    :param zone: availability zone of this host
    """

    def __init__(self, zone: ids.ZoneId, config: _config.Config) -> None:
        self._zone = zone
        self._cfg = config
        self.away = 0.0
        """Share of new flows to place in other zones."""
        self.updated_at = float("-inf")
        """Time of the view that the share takes into account."""

    def update(
        self, loads: abc.Mapping[ids.ZoneId, ZoneLoad], now: float
    ) -> None:
        """Change the share by a step, once for each view."""
        self.updated_at = now
        own = _per_slot(
            load for zone, load in loads.items() if zone == self._zone
        )
        others = _per_slot(
            load for zone, load in loads.items() if zone != self._zone
        )
        if own is None or others is None:
            # No zone to keep the flows in, or none to send them to.
            self.away = 0.0
            return
        kept = max(
            self._cfg.kept_zone_load, others + self._cfg.kept_zone_excess
        )
        step = self._cfg.zone_share_step
        if own > kept:
            self.away = min(self._cfg.max_zone_share, self.away + step)
        elif own < kept - self._cfg.kept_zone_excess / 2:
            self.away = max(0.0, self.away - step)


def sum_by_zone(
    pairs: abc.Iterable[tuple[ids.ZoneId, float]],
) -> dict[ids.ZoneId, float]:
    """Return the sum of the numbers of each zone."""
    total: dict[ids.ZoneId, float] = collections.defaultdict(float)
    for zone, number in pairs:
        total[zone] += number
    return dict(total)


def _per_slot(loads: abc.Iterable[ZoneLoad]) -> float | None:
    """Return the load per slot of some zones; None without any slot."""
    items = list(loads)
    slots = sum(item.slots for item in items)
    return sum(item.requests for item in items) / slots if slots else None
