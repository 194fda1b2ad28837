"""The walk over all open flows: ends some, finds those off the table."""

from collections import abc
import typing

from foxtailworks import ids
from foxtailworks.placement import _flows
from foxtailworks.placement import _handover
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _types

Wanted = dict[ids.HostId, _handover.Marks]
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
        self._past: dict[int, tuple[ids.UpstreamId, float]] = {}
        self.now = 0.0
        """Time of the present step."""

    def set_idle_times(
        self, idle_s: typing.Mapping[ids.ServiceId, float]
    ) -> None:
        """Take in the idle time of each service's flows."""
        self._idle = dict(idle_s)

    def run(
        self,
        wanted: Wanted,
        is_handed_over: abc.Callable[[ids.HostId | None], bool],
        tells_of: abc.Callable[[ids.HostId, int], bool],
    ) -> abc.Iterator[None]:
        """Add to ``wanted`` what other hosts should know of the flows.

        :param is_handed_over: whether an owner knows all it should
        :param tells_of: whether a host was told of a flow before
        """
        self._gather_past(wanted)
        keys = list(self._table.flows)
        for start in range(0, len(keys), self._cfg.scan_per_tick):
            for key in keys[start : start + self._cfg.scan_per_tick]:
                self._visit(key, wanted, is_handed_over, tells_of)
            yield

    def _gather_past(self, wanted: Wanted) -> None:
        """Go on telling owners of flows that were handed over to them."""
        over = [m for m, item in self._past.items() if item[1] < self.now]
        for mark in over:
            del self._past[mark]
        for mark, (upstream, _) in self._past.items():
            route = self._ring.route(_hashing.slot_of_fingerprint(mark))
            target = self._table.target(route)
            if target is not None:
                wanted.setdefault(target, {})[mark] = upstream

    def _visit(
        self,
        key: int,
        wanted: Wanted,
        is_handed_over: abc.Callable[[ids.HostId | None], bool],
        tells_of: abc.Callable[[ids.HostId, int], bool],
    ) -> None:
        """Look at one flow."""
        flow = self._table.flows.get(key)
        if flow is None:
            return
        ends = self._ends(flow)
        if ends < self.now:
            del self._table.flows[key]
            return
        route = self._ring.route(_hashing.host_slot(key))
        is_exception = self._table.is_exception(key, flow.upstream, route)
        mark = _hashing.fingerprint(key)
        upstream = flow.upstream.view.upstream
        target = self._table.target(route)
        if target is not None and (is_exception or tells_of(target, mark)):
            wanted.setdefault(target, {})[mark] = upstream
        if is_handed_over(route.owner):
            del self._table.flows[key]
            if is_exception and len(self._past) < self._cfg.max_held:
                self._past[mark] = (upstream, ends)

    def _ends(self, flow: _flows.Flow) -> float:
        """Return when a flow has ended unless a packet comes."""
        service = flow.upstream.view.service
        idle_s = self._idle.get(service, self._cfg.flow_idle_s)
        return max(flow.heard, flow.answered) + idle_s
