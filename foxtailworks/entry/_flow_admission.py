"""Admission of new flows by this host's shares of the limits."""

from collections import abc

from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import observe
from foxtailworks import placement

COUNT_EVERY_S = 1.0
# A large table is counted less often, to bound the time that it takes.
FLOWS_PER_S = 100_000


class FlowGates:
    """One gate for each service; established flows are never refused.

    :param placer: asks before it places a new flow
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
        self._count_at = 0.0
        placer.set_admission(self.admits)

    def set_routes(self, routes: abc.Iterable[_services.Route]) -> None:
        """Take in the services of the contracts in force."""
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
        """Count what is open and tell the shares what is wanted."""
        if now < self._count_at:
            return
        pause_s = self._placer.flow_count / FLOWS_PER_S
        self._count_at = now + COUNT_EVERY_S + pause_s
        counts = self._placer.flows_by_service()
        for key, gate in self._gates.items():
            gate.open_flows = counts[key]
            gate.tick(now)
