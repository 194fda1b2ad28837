"""The walk over all open flows: ends some, finds those off the table."""

from collections import abc
import typing

from foxtailworks import ids
from foxtailworks.placement import _flows
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _standing
from foxtailworks.placement import _types

Wanted = dict[ids.HostId, _standing.Marks]
"""What each host should know."""


class Walk:
    """Goes through the table of flows, a part in each step.

    :param ring: who owns which slot
    :param table: the flows
    """

    def __init__(
        self,
        cfg: _types.PlacementConfig,
        ring: _hosts.HostRing,
        table: _flows.FlowTable,
    ) -> None:
        self._cfg = cfg
        self._ring = ring
        self._table = table
        self._idle: dict[ids.ServiceId, float] = {}
        self._past: dict[int, _flows.Flow] = {}
        self.now = 0.0
        """Time of the present step."""

    def set_idle_times(
        self, idle_s: typing.Mapping[ids.ServiceId, float]
    ) -> None:
        """Take in the idle time of each service's flows."""
        self._idle = dict(idle_s)

    def handed_over(self, key: int) -> _flows.Flow | None:
        """Return a flow that this host knew until its owner did."""
        return self._past.get(key)

    def run(
        self,
        view_hash: int,
        wanted: Wanted,
        is_handed_over: abc.Callable[[ids.HostId | None], bool],
        told: abc.Callable[[ids.HostId, int], _standing.Standing | None],
    ) -> abc.Iterator[None]:
        """Add to ``wanted`` what other hosts should know of the flows.

        :param view_hash: the present set of upstreams
        :param is_handed_over: whether an owner knows all it should
        :param told: what a host is told of a flow so far
        """
        for flows in (self._past, self._table.flows):
            keys = list(flows)
            for start in range(0, len(keys), self._cfg.scan_per_tick):
                for key in keys[start : start + self._cfg.scan_per_tick]:
                    self._visit(flows, key, view_hash, wanted, told)
                yield
        self._hand_over(is_handed_over)

    def _visit(
        self,
        flows: dict[int, _flows.Flow],
        key: int,
        view_hash: int,
        wanted: Wanted,
        told: abc.Callable[[ids.HostId, int], _standing.Standing | None],
    ) -> None:
        """Look at one flow."""
        flow = flows.get(key)
        if flow is None:
            return
        if self._ends(flow) < self.now:
            del flows[key]
            return
        route = self._ring.route(_hashing.host_slot(key))
        target = self._table.target(route)
        upstream = flow.upstream
        if target is None or not upstream.alive:
            return
        mark = _hashing.fingerprint(key)
        standing = told(target, mark)
        if standing is None or not self._holds(standing, key, flow, route):
            standing = self._table.standing(key, upstream, route, view_hash)
        wanted.setdefault(target, {})[mark] = standing

    def _holds(
        self,
        standing: _standing.Standing,
        key: int,
        flow: _flows.Flow,
        route: _hosts.Route,
    ) -> bool:
        """Return whether what was told of a flow is still so."""
        upstream = flow.upstream
        if standing.is_indirect:
            return False
        if standing.upstream:
            return standing.upstream == upstream.view.upstream
        if not self._table.is_recent(standing.view):
            return False
        return not self._table.is_exception(
            key, upstream, route, standing.view
        )

    def _hand_over(
        self, is_handed_over: abc.Callable[[ids.HostId | None], bool]
    ) -> None:
        """Stop answering for flows that their owners know.

        They are kept apart until they would have ended, to be told of.
        """
        done = {h for h in self._ring.peers() if is_handed_over(h)}
        if not done:
            return
        flows = self._table.flows
        for key in list(flows):
            owner = self._ring.route(_hashing.host_slot(key)).owner
            if owner in done:
                flow = flows.pop(key)
                if len(self._past) < self._cfg.max_received_flows:
                    self._past[key] = flow

    def _ends(self, flow: _flows.Flow) -> float:
        """Return when a flow has ended unless a packet comes."""
        service = flow.upstream.view.service
        idle_s = self._idle.get(service, self._cfg.flow_idle_s)
        return max(flow.heard, flow.answered) + idle_s
