"""Selection of an upstream for each request."""

from collections import abc
import random
import typing

from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import placement
from foxtailworks import upstreams


_OUTCOMES = {
    placement.Outcome.ANSWERED: upstreams.Outcome.ANSWERED,
    placement.Outcome.SHED: upstreams.Outcome.SHED,
    placement.Outcome.SILENT: upstreams.Outcome.SILENT,
}


def _as_candidate(item: upstreams.Candidate) -> placement.Candidate:
    """Convert a candidate to the type of the balancer."""
    return placement.Candidate(
        upstream=item.id,
        zone=item.upstream.zone,
        slots=item.upstream.slots,
        weight=item.weight / item.upstream.slots,
    )


class UpstreamSelector:
    """Selects an upstream among the candidates of a service."""

    def __init__(
        self,
        directory: upstreams.Directory,
        services: _services.ServiceIndex,
        zone: ids.ZoneId,
        rng: random.Random,
        clock: abc.Callable[[], float],
    ) -> None:
        self._policy = placement.LeastLocalLoad(zone)
        self._balancer = placement.Balancer(self._policy)
        self._directory = directory
        self._services = services
        self._rng = rng
        self._clock = clock

    def _candidates(
        self, service: ids.ServiceId
    ) -> tuple[upstreams.Candidate, ...]:
        """Return the upstreams that accept new work of a service."""
        route = self._services.get(service)
        if route is None:
            return ()
        return self._directory.candidates(
            route.customer, route.service.name, self._clock()
        )

    def __call__(
        self,
        service: ids.ServiceId,
        excluded: typing.Collection[ids.UpstreamId],
    ) -> ids.UpstreamId | None:
        """Return an upstream that isn't in ``excluded``, or ``None``."""
        found = [
            _as_candidate(item)
            for item in self._candidates(service)
            if item.id not in excluded
        ]
        chosen = self._balancer.choose(found, self._clock(), self._rng)
        return chosen.upstream if chosen is not None else None

    def set_hosts(
        self, me: ids.HostId, hosts: abc.Iterable[placement.HostView]
    ) -> None:
        """Set the live hosts that share the load."""
        self._policy.set_hosts(me, hosts)

    def in_flight(self, upstream: ids.UpstreamId) -> int:
        """Return the number of this host's requests at an upstream."""
        return self._balancer.load_of(upstream).in_flight

    def on_sent(self, upstream: ids.UpstreamId) -> None:
        """Record a request sent to an upstream."""
        self._directory.on_placed(upstream, self._clock())
        self._balancer.on_sent(upstream)

    def on_ended(
        self,
        upstream: ids.UpstreamId,
        outcome: placement.Outcome,
        latency_ms: float,
    ) -> None:
        """Record the outcome of a request."""
        now = self._clock()
        self._directory.record_outcome(
            upstream, _OUTCOMES[outcome], latency_ms, now
        )
        self._balancer.on_ended(upstream, outcome, now, self._rng)

    def on_unresponsive(
        self, upstream: ids.UpstreamId, waited_ms: float
    ) -> None:
        """Record that an upstream is unresponsive to an open request."""
        self._directory.record_outcome(
            upstream, upstreams.Outcome.SILENT, waited_ms, self._clock()
        )

    def on_abandoned(self, upstream: ids.UpstreamId) -> None:
        """Record that a request was abandoned without an answer."""
        self._balancer.on_ended(
            upstream, placement.Outcome.SILENT, self._clock(), self._rng
        )
