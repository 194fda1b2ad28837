"""Scan of all open flows, which ends idle ones and finds overrides."""

from collections import abc
import typing

from foxtailworks import ids
from foxtailworks.placement import _assignment
from foxtailworks.placement import _flows
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _types

AssignmentsByHost = dict[ids.HostId, _assignment.Assignments]
"""Assignments that each host should have."""


class FlowScan:
    """Incremental scan of the flow table, a part of it in each step.

    :param cfg: limits and timeouts
    :param host_table: owner and successor of each slot
    :param flow_table: open flows of this host
    """

    def __init__(
        self,
        cfg: _types.PlacementConfig,
        host_table: _hosts.HostTable,
        flow_table: _flows.FlowTable,
    ) -> None:
        self._cfg = cfg
        self._host_table = host_table
        self._flow_table = flow_table
        self._idle_s: dict[ids.ServiceId, float] = {}
        self._handed_over_flows: dict[int, _flows.Flow] = {}
        self.now = 0.0
        """Time of the current step."""

    def set_idle_times(
        self, idle_s: typing.Mapping[ids.ServiceId, float]
    ) -> None:
        """Set the idle timeout in seconds of each service's flows."""
        self._idle_s = dict(idle_s)

    def handed_over(self, key: int) -> _flows.Flow | None:
        """Return a flow that this host has handed over to its owner."""
        return self._handed_over_flows.get(key)

    def run(
        self,
        upstreams_hash: int,
        by_host: AssignmentsByHost,
        is_handed_over: abc.Callable[[ids.HostId | None], bool],
        sent_assignment: abc.Callable[
            [ids.HostId, int], _assignment.Assignment | None
        ],
    ) -> abc.Iterator[None]:
        """Add the assignments that other hosts should have to ``by_host``.

        :param upstreams_hash: current set of upstreams
        :param is_handed_over: whether an owner has all assignments
        :param sent_assignment: assignment that a host was sent for a flow
        """
        for flows in (self._handed_over_flows, self._flow_table.flows):
            keys = list(flows)
            for start in range(0, len(keys), self._cfg.scan_per_tick):
                for key in keys[start : start + self._cfg.scan_per_tick]:
                    self._scan_flow(
                        flows, key, upstreams_hash, by_host, sent_assignment
                    )
                yield
        self._hand_over(is_handed_over)

    def _scan_flow(
        self,
        flows: dict[int, _flows.Flow],
        key: int,
        upstreams_hash: int,
        by_host: AssignmentsByHost,
        sent_assignment: abc.Callable[
            [ids.HostId, int], _assignment.Assignment | None
        ],
    ) -> None:
        """End an idle flow; add the assignment of an open one."""
        flow = flows.get(key)
        if flow is None:
            return
        if self._ends_at(flow) < self.now:
            del flows[key]
            return
        route = self._host_table.route(_hashing.host_slot(key))
        receiver = self._flow_table.receiver(route)
        upstream = flow.upstream
        if receiver is None or not upstream.alive:
            return
        fingerprint = _hashing.fingerprint(key)
        assignment = sent_assignment(receiver, fingerprint)
        if assignment is None or not self._is_current(
            assignment, key, flow, route
        ):
            assignment = self._flow_table.assignment(
                key, upstream, route, upstreams_hash
            )
        by_host.setdefault(receiver, {})[fingerprint] = assignment

    def _is_current(
        self,
        assignment: _assignment.Assignment,
        key: int,
        flow: _flows.Flow,
        route: _hosts.Route,
    ) -> bool:
        """Return whether an assignment that was sent still applies."""
        upstream = flow.upstream
        if assignment.is_indirect:
            return False
        if assignment.upstream:
            return assignment.upstream == upstream.view.upstream
        if not self._flow_table.is_recent(assignment.upstreams_hash):
            return False
        return not self._flow_table.is_override(
            key, upstream, route, assignment.upstreams_hash
        )

    def _hand_over(
        self, is_handed_over: abc.Callable[[ids.HostId | None], bool]
    ) -> None:
        """Remove flows whose owners have their assignments.

        They are kept apart until they end, so that their assignments are
        still sent.
        """
        synced_hosts = {
            h for h in self._host_table.peers() if is_handed_over(h)
        }
        if not synced_hosts:
            return
        flows = self._flow_table.flows
        for key in list(flows):
            owner = self._host_table.route(_hashing.host_slot(key)).owner
            if owner in synced_hosts:
                flow = flows.pop(key)
                if len(self._handed_over_flows) < self._cfg.max_received_flows:
                    self._handed_over_flows[key] = flow

    def _ends_at(self, flow: _flows.Flow) -> float:
        """Return the time at which a flow ends unless a packet arrives."""
        service = flow.upstream.view.service
        idle_s = self._idle_s.get(service, self._cfg.flow_idle_s)
        return max(flow.last_packet_at, flow.last_answer_at) + idle_s
