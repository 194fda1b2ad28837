"""Admission control of requests by this host's shares of the limits."""

from collections import abc
import dataclasses
import random

from foxtailworks import contracts
from foxtailworks.entry import _cluster_view
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import observe

# A service that has had no request for so long needs no more ticks.
IDLE_AFTER_S = 1.0
SHARES_INTERVAL_S = 0.25
# With an empty queue, only the demand estimate needs ticks.
DEMAND_INTERVAL_S = 0.25


@dataclasses.dataclass(slots=True)
class _Activity:
    """The latest activity of a service with traffic."""

    last_request_at: float
    next_tick_at: float


class RequestAdmission:
    """Admission control of all services; leases shares among hosts.

    :param on_admitted: continues an admitted call
    :param on_rejected: rejects a call, with the seconds to retry after
    """

    def __init__(
        self,
        shares: limits.Shares,
        cluster_view: _cluster_view.ClusterView,
        peers: _peers.PeerTransport,
        metrics: observe.Metrics,
        rng: random.Random,
        clock: abc.Callable[[], float],
        on_admitted: abc.Callable[[_replies.Call], None],
        on_rejected: abc.Callable[[_replies.Call, float], None],
    ) -> None:
        self._shares = shares
        self._cluster_view = cluster_view
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._on_admitted = on_admitted
        self._on_rejected = on_rejected
        self._admissions: dict[ids.ServiceId, limits.Admission] = {}
        self._activity: dict[ids.ServiceId, _Activity] = {}
        self._next_shares_at = 0.0

    def set_limits(
        self, routes: abc.Iterable[_services.Route], divisor: int
    ) -> None:
        """Apply the limits of the contracts in force.

        :param divisor: hosts in the roster; 0 while this one isn't in it
        """
        found = {item.key: item for item in routes}
        for route in found.values():
            self._set_limit(route, divisor)
            if route.key not in self._admissions:
                self._admissions[route.key] = limits.Admission(
                    route.customer, route.service.name, self._shares, self._rng
                )
        for key in [k for k in self._admissions if k not in found]:
            del self._admissions[key]

    def _set_limit(self, route: _services.Route, divisor: int) -> None:
        """Apply the limits of one service."""
        for resource, amount in _limit_amounts(route.service.limits):
            limit = limits.LimitId(
                route.customer, route.service.name, resource
            )
            self._shares.set_limit(limit, amount, divisor)

    def set_live_hosts(self, hosts: abc.Collection[ids.HostId]) -> None:
        """Set the hosts from which leases may be requested."""
        self._shares.set_live_hosts(hosts)

    def offer(self, call: _replies.Call) -> None:
        """Admit, queue or reject a call."""
        admission = self._admissions.get(call.route.key)
        if admission is None:
            return
        ticket = limits.Ticket(
            # A retransmission has the number of the original message, so
            # that the single answer releases the slot of both.
            number=call.attempt,
            priority=call.request_class.priority,
            deadline_at=call.deadline_at,
            handle=call,
            arrived_at=call.received_at,
        )
        activity = self._activity.get(call.route.key)
        if activity is None:
            self._activity[call.route.key] = _Activity(
                call.received_at, call.received_at
            )
        else:
            activity.last_request_at = call.received_at
        self._execute(admission.offer(self._clock(), ticket))

    def on_finished(self, call: _replies.Call, is_success: bool) -> None:
        """Release the slot of a call that has its final answer."""
        admission = self._admissions.get(call.route.key)
        if admission is not None:
            now = self._clock()
            if is_success:
                admission.record_latency(now - call.received_at)
            self._execute(admission.finish(now, call.attempt, is_success))

    def on_tick(self, now: float) -> None:
        """Run the ticks of active services and of the shares."""
        for key, activity in list(self._activity.items()):
            admission = self._admissions.get(key)
            if admission is None:
                del self._activity[key]
            elif admission.queue_length or now >= activity.next_tick_at:
                activity.next_tick_at = now + DEMAND_INTERVAL_S
                self._execute(admission.tick(now))
                if _is_idle(admission, now - activity.last_request_at):
                    admission.reset_demand()
                    del self._activity[key]
        if now >= self._next_shares_at:
            self._next_shares_at = now + SHARES_INTERVAL_S
            for item in self._shares.tick(now):
                self._send(item)

    def on_message(self, src: ids.Address, msg: limits.Message) -> None:
        """Process another host's message about leases."""
        host = self._cluster_view.host_at(src)
        if host is not None:
            now = self._clock()
            for item in self._shares.receive(now, host, msg):
                self._send(item)

    def _send(self, item: limits.Send) -> None:
        """Send a message about leases to another host."""
        address = self._cluster_view.address_of(item.host)
        if address is not None:
            self._peers.send(address, item.message)

    def _execute(self, decisions: abc.Iterable[limits.Decision]) -> None:
        """Execute the decisions of an admission core."""
        for item in decisions:
            call = item.ticket.handle
            assert isinstance(call, _replies.Call)
            if isinstance(item, limits.Admit):
                self._on_admitted(call)
            else:
                self._metrics.count(observe.Counter.LIMITS_REFUSED)
                self._on_rejected(call, item.retry_after_s)


def _is_idle(admission: limits.Admission, idle_s: float) -> bool:
    """Return whether a service needs no further ticks."""
    is_empty = not admission.queue_length and not admission.in_flight
    return is_empty and idle_s > IDLE_AFTER_S


def _limit_amounts(
    found: contracts.Limits,
) -> tuple[tuple[limits.Resource, float], ...]:
    """Return each limit of a service with its resource."""
    return (
        (limits.Resource.REQUESTS_PER_S, found.requests_per_s),
        (limits.Resource.IN_FLIGHT, float(found.in_flight)),
        (limits.Resource.OPEN_FLOWS, float(found.open_flows)),
        (limits.Resource.NEW_FLOWS_PER_S, found.new_flows_per_s),
    )
