"""The open flows of one host, and where the computed table has them."""

import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _standing
from foxtailworks.placement import _upstreams


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """One open flow."""

    upstream: _upstreams.Upstream
    """Where it stands."""
    heard: float
    """When the caller's last packet came."""
    answered: float = float("-inf")
    """When the upstream's last packet came."""


class FlowTable:
    """Flows by key, next to what the computed table says of them.

    :param me: this host
    :param ring: who owns which slot
    :param book: the upstreams
    """

    def __init__(
        self,
        me: ids.HostId,
        ring: _hosts.HostRing,
        book: _upstreams.UpstreamBook,
    ) -> None:
        self._me = me
        self._ring = ring
        self._book = book
        self.flows: dict[int, Flow] = {}
        """Key -> flow."""

    def base(
        self,
        view_hash: int,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
    ) -> ids.UpstreamId | None:
        """Return the upstream that the table names for a flow.

        :param view_hash: the set of upstreams that the table is made of
        """
        return self._book.base(
            view_hash,
            service,
            self._ring.shares,
            route.zone,
            _hashing.table_slot(key),
        )

    def is_exception(
        self,
        key: int,
        upstream: _upstreams.Upstream,
        route: _hosts.Route,
        view_hash: int | None = None,
    ) -> bool:
        """Return whether a flow stands elsewhere than the table says.

        :param view_hash: the set of upstreams that the table is made of,
            by default the present one
        """
        view = upstream.view
        if view_hash is None:
            view_hash = self._book.view_hash
        base = self.base(view_hash, view.service, key, route)
        return base != view.upstream

    def standing(
        self,
        key: int,
        upstream: _upstreams.Upstream,
        route: _hosts.Route,
        view_hash: int,
    ) -> _standing.Standing:
        """Return the short form of where a flow stands."""
        if self.is_exception(key, upstream, route, view_hash):
            return _standing.Standing(upstream.view.upstream)
        return _standing.at_base(view_hash)

    def is_recent(self, view_hash: int) -> bool:
        """Return whether all hosts still know a set of upstreams."""
        return self._book.is_recent(view_hash)

    def target(self, route: _hosts.Route) -> ids.HostId | None:
        """Return the host that should know this host's exceptions."""
        return route.heir if route.owner == self._me else route.owner
