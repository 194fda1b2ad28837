"""Admission of requests by this host's shares of the limits."""

from collections import abc
import dataclasses
import random

from foxtailworks import contracts
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _services
from foxtailworks.entry import _views
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import observe

# A service without traffic is looked at no more after this time.
QUIET_S = 1.0
SHARES_EVERY_S = 0.25
# Where nobody waits, only the measured demand needs a tick.
MEASURE_EVERY_S = 0.25


@dataclasses.dataclass(slots=True)
class _Busy:
    """A service with traffic."""

    active_at: float
    tick_at: float


class RequestAdmission:
    """One admission for each service; shares are moved between hosts.

    :param admitted: goes on with a call that was let in
    :param rejected: refuses a call, with the seconds to come back in
    """

    def __init__(
        self,
        shares: limits.Shares,
        views: _views.Views,
        peers: _peers.Peers,
        metrics: observe.Metrics,
        rng: random.Random,
        clock: abc.Callable[[], float],
        admitted: abc.Callable[[_replies.Call], None],
        rejected: abc.Callable[[_replies.Call, float], None],
    ) -> None:
        self._shares = shares
        self._views = views
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._admitted = admitted
        self._rejected = rejected
        self._admissions: dict[ids.ServiceId, limits.Admission] = {}
        self._busy: dict[ids.ServiceId, _Busy] = {}
        self._shares_at = 0.0

    def set_limits(
        self, routes: abc.Iterable[_services.Route], divisor: int
    ) -> None:
        """Take in the limits of the contracts in force.

        :param divisor: hosts of the roster; 0 while this one isn't in it
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
        """Take in the limits of one service."""
        for resource, amount in _amounts(route.service.limits):
            limit = limits.LimitId(
                route.customer, route.service.name, resource
            )
            self._shares.set_limit(limit, amount, divisor)

    def set_alive(self, hosts: abc.Collection[ids.HostId]) -> None:
        """Take in which hosts may be asked for leases."""
        self._shares.set_live_hosts(hosts)

    def offer(self, call: _replies.Call) -> None:
        """Let a call in, have it wait, or refuse it."""
        admission = self._admissions.get(call.route.key)
        if admission is None:
            return
        ticket = limits.Ticket(
            # A retransmission takes the place of its message, so that the
            # one answer to both ends what both have taken.
            number=call.attempt,
            priority=call.request_class.priority,
            deadline_at=call.deadline_at,
            handle=call,
            arrived_at=call.received_at,
        )
        busy = self._busy.get(call.route.key)
        if busy is None:
            self._busy[call.route.key] = _Busy(
                call.received_at, call.received_at
            )
        else:
            busy.active_at = call.received_at
        self._carry_out(admission.offer(self._clock(), ticket))

    def done(self, call: _replies.Call, is_good: bool) -> None:
        """Take in that a call has got its final answer."""
        admission = self._admissions.get(call.route.key)
        if admission is not None:
            now = self._clock()
            if is_good:
                admission.record_latency(now - call.received_at)
            self._carry_out(admission.finish(now, call.attempt, is_good))

    def on_tick(self, now: float) -> None:
        """Let time pass."""
        for key, busy in list(self._busy.items()):
            admission = self._admissions.get(key)
            if admission is None:
                del self._busy[key]
            elif admission.queue_length or now >= busy.tick_at:
                busy.tick_at = now + MEASURE_EVERY_S
                self._carry_out(admission.tick(now))
                if _is_quiet(admission, now - busy.active_at):
                    admission.reset_demand()
                    del self._busy[key]
        if now >= self._shares_at:
            self._shares_at = now + SHARES_EVERY_S
            for item in self._shares.tick(now):
                self._send(item)

    def on_message(self, src: ids.Address, msg: limits.Message) -> None:
        """Take a message of another host about leases."""
        host = self._views.host_at(src)
        if host is not None:
            now = self._clock()
            for item in self._shares.receive(now, host, msg):
                self._send(item)

    def _send(self, item: limits.Send) -> None:
        """Send a message to another host."""
        address = self._views.address_of(item.host)
        if address is not None:
            self._peers.send(address, item.message)

    def _carry_out(self, decisions: abc.Iterable[limits.Decision]) -> None:
        """Carry out what admission has decided."""
        for item in decisions:
            call = item.ticket.handle
            assert isinstance(call, _replies.Call)
            if isinstance(item, limits.Admit):
                self._admitted(call)
            else:
                self._metrics.count(observe.Counter.LIMITS_REFUSED)
                self._rejected(call, item.retry_after_s)


def _is_quiet(admission: limits.Admission, idle_s: float) -> bool:
    """Tell whether a service needs no further look."""
    is_empty = not admission.queue_length and not admission.in_flight
    return is_empty and idle_s > QUIET_S


def _amounts(
    found: contracts.Limits,
) -> tuple[tuple[limits.Resource, float], ...]:
    """Return each limit of a service with its resource."""
    return (
        (limits.Resource.REQUESTS_PER_S, found.requests_per_s),
        (limits.Resource.IN_FLIGHT, float(found.in_flight)),
        (limits.Resource.OPEN_FLOWS, float(found.open_flows)),
        (limits.Resource.NEW_FLOWS_PER_S, found.new_flows_per_s),
    )
