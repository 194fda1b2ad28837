"""Open flows of one host, compared with their default upstreams."""

import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _assignment
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _upstreams


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """Upstream and last packets of an open flow."""

    upstream: _upstreams.Upstream
    """Upstream that the flow is assigned to."""
    last_packet_at: float
    """Time of the caller's last packet."""
    last_answer_at: float = float("-inf")
    """Time of the upstream's last packet."""


class FlowTable:
    """Open flows by key, and their assignments as other hosts need them.

    A flow that isn't assigned to its default upstream is an override.

    :param me: this host
    :param host_table: owner and successor of each slot
    :param upstream_index: all upstreams
    """

    def __init__(
        self,
        me: ids.HostId,
        host_table: _hosts.HostTable,
        upstream_index: _upstreams.UpstreamIndex,
    ) -> None:
        self._me = me
        self._host_table = host_table
        self._upstream_index = upstream_index
        self.flows: dict[int, Flow] = {}
        """Open flow of each key."""

    def default_upstream(
        self,
        upstreams_hash: int,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
    ) -> ids.UpstreamId | None:
        """Return the default upstream of a flow by the computed table.

        :param upstreams_hash: set of upstreams of the table
        """
        return self._upstream_index.default_upstream(
            upstreams_hash,
            service,
            self._host_table.zone_shares,
            route.zone,
            _hashing.table_slot(key),
        )

    def is_override(
        self,
        key: int,
        upstream: _upstreams.Upstream,
        route: _hosts.Route,
        upstreams_hash: int | None = None,
    ) -> bool:
        """Return whether a flow isn't assigned to its default upstream.

        :param upstreams_hash: set of upstreams of the table, by default the
            current one
        """
        view = upstream.view
        if upstreams_hash is None:
            upstreams_hash = self._upstream_index.upstreams_hash
        default_upstream = self.default_upstream(
            upstreams_hash, view.service, key, route
        )
        return default_upstream != view.upstream

    def assignment(
        self,
        key: int,
        upstream: _upstreams.Upstream,
        route: _hosts.Route,
        upstreams_hash: int,
    ) -> _assignment.Assignment:
        """Return the assignment of a flow as it is sent to other hosts."""
        if self.is_override(key, upstream, route, upstreams_hash):
            return _assignment.Assignment(upstream.view.upstream)
        return _assignment.default_assignment(upstreams_hash)

    def is_recent(self, upstreams_hash: int) -> bool:
        """Return whether all hosts still remember a set of upstreams."""
        return self._upstream_index.is_recent(upstreams_hash)

    def receiver(self, route: _hosts.Route) -> ids.HostId | None:
        """Return the host that assignments of the slot are sent to."""
        return route.successor if route.owner == self._me else route.owner
