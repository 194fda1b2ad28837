"""Admission control of new flows by this host's shares of the limits."""

from collections import abc

from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import observe
from foxtailworks import placement

COUNT_INTERVAL_S = 1.0
# Flows per second of extra pause between counts: a large table is counted
# less often, which bounds the processing time.
FLOWS_COUNTED_PER_S = 100_000


class FlowAdmission:
    """Admission of new flows; established flows are never rejected.

    :param placer: calls :meth:`admits` before it places a new flow
    """

    def __init__(
        self,
        placer: placement.Placer,
        shares: limits.Shares,
        metrics: observe.Metrics,
    ) -> None:
        self._placer = placer
        self._shares = shares
        self._metrics = metrics
        self._gates: dict[ids.ServiceId, limits.FlowGate] = {}
        self._next_count_at = 0.0
        placer.set_admission(self.admits)

    def set_routes(self, routes: abc.Iterable[_services.Route]) -> None:
        """Set the services of the contracts in force."""
        found = {item.key: item for item in routes}
        for key, route in found.items():
            if key not in self._gates:
                self._gates[key] = limits.FlowGate(
                    route.customer, route.service.name, self._shares
                )
        for key in [key for key in self._gates if key not in found]:
            del self._gates[key]

    def admits(self, service: ids.ServiceId, now: float) -> bool:
        """Return whether one more flow of a service may open."""
        gate = self._gates.get(service)
        if gate is None:
            return False
        if gate.admit(now):
            return True
        self._metrics.count(observe.Counter.LIMITS_REFUSED)
        return False

    def on_tick(self, now: float) -> None:
        """Count open flows and report the demand to the shares."""
        if now < self._next_count_at:
            return
        extra_pause_s = self._placer.flow_count / FLOWS_COUNTED_PER_S
        self._next_count_at = now + COUNT_INTERVAL_S + extra_pause_s
        counts = self._placer.flows_by_service()
        for key, gate in self._gates.items():
            gate.open_flows = counts[key]
            gate.tick(now)
