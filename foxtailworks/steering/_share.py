"""This host's share of the upstreams' slots.

Answers the load after an outage, together with the backlog: all hosts pass on
what waited at them at the same time, each as much as its share takes.
"""

from collections import abc

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _config
from foxtailworks.steering import _eligibility
from foxtailworks.steering import _flows

MIN_FLOWS = 1.0
"""Share of a host when there are more hosts than slots, in flows."""


class HostShare:
    """Tells how many flows this host may add to a service.

    Hosts don't know one another's flows; the number of hosts is what
    coordinators tell.

    :param roster: instances with their slots
    :param load: returns the load of this host's flows on an upstream
    :param eligibility: tells which upstreams may get new flows
    """

    def __init__(
        self,
        roster: discovery.Roster,
        load: abc.Callable[[_flows.InstanceKey], float],
        config: _config.Config,
        eligibility: _eligibility.Eligibility,
    ) -> None:
        self._roster = roster
        self._load = load
        self._cfg = config
        self._eligibility = eligibility
        self.host_count = 0
        """Number of edge hosts; 0 while it isn't known."""

    def room(self, service: ids.ServiceId, now: float) -> float:
        """Return how many flows may be added to a service."""
        if not self.host_count:
            return float("inf")
        ready = self._roster.of_service(service, now)
        instances = [i.instance for i in self._eligibility.select(ready, now)]
        slots = sum(item.slots for item in instances)
        load = sum(self._load(item.key) for item in instances)
        share = self._cfg.backlog_load * slots / self.host_count
        return max(MIN_FLOWS, share) - load


class Room:
    """Room for flows within one tick, by service.

    :param share: share of this host, read once for each service
    """

    def __init__(self, share: HostShare, now: float) -> None:
        self._share = share
        self._now = now
        self._left: dict[ids.ServiceId, float] = {}

    def take(self, service: ids.ServiceId) -> bool:
        """Take room for one flow; return false if there is none."""
        if service not in self._left:
            self._left[service] = self._share.room(service, self._now)
        if self._left[service] <= 0:
            return False
        self._left[service] -= 1
        return True
