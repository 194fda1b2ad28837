"""Choice of the upstream for a flow that isn't in the table."""

from foxtailworks import ids
from foxtailworks.placement import _exchange
from foxtailworks.placement import _flows
from foxtailworks.placement import _hosts
from foxtailworks.placement import _upstreams

DRAIN_GRACE_S = 3.0
"""Seconds after a drain began in which possibly old flows may stay."""


class UpstreamChoice:
    """Chooses an upstream: one handed over, the default or an accepting one.

    :param upstream_index: upstreams of all services
    :param flow_table: computes default upstreams
    :param exchange: assignments that other hosts have sent
    """

    def __init__(
        self,
        upstream_index: _upstreams.UpstreamIndex,
        flow_table: _flows.FlowTable,
        exchange: _exchange.Exchange,
    ) -> None:
        self._upstream_index = upstream_index
        self._flow_table = flow_table
        self._exchange = exchange

    def choose(
        self,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
        now: float,
    ) -> _upstreams.Upstream | None:
        """Return the upstream for a flow that isn't in the table."""
        upstream = self._exchange.lookup(service, key, route)
        upstream = upstream or self._exchange.handed_over(service, key)
        if upstream is not None:
            return upstream
        previous_hash = self._exchange.previous_upstreams_hash(route)
        current = self._upstream_index.upstreams_hash
        for upstreams_hash in dict.fromkeys((previous_hash, current)):
            default_upstream = self._flow_table.default_upstream(
                upstreams_hash, service, key, route
            )
            upstream = (
                self._upstream_index.get(default_upstream)
                if default_upstream is not None
                else None
            )
            if upstream is not None and self._may_use_default(
                upstream, route, now
            ):
                return upstream
        return self._upstream_index.pick_accepting(service, route.zone, key)

    def _may_use_default(
        self,
        upstream: _upstreams.Upstream,
        route: _hosts.Route,
        now: float,
    ) -> bool:
        """Return whether a flow may go to its default upstream.

        After a change of owners an unknown flow may be an old one: it may
        stay on an upstream that sheds load or has just begun to drain.
        """
        view = upstream.view
        if view.accepts_new and view.weight > 0:
            return True
        if route.previous_owner is None:
            return False
        return view.weight > 0 or now - upstream.drained_at <= DRAIN_GRACE_S
