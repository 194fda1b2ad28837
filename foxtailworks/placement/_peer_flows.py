"""State of the exchange of flow assignments, and lookups in it."""

from collections import abc
import itertools
import typing

from foxtailworks import ids
from foxtailworks.placement import _assignment
from foxtailworks.placement import _flow_scan
from foxtailworks.placement import _flows
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _incoming
from foxtailworks.placement import _outgoing
from foxtailworks.placement import _peers
from foxtailworks.placement import _types
from foxtailworks.placement import _upstreams


class PeerFlows:
    """Assignments received from other hosts, and those sent to them.

    :class:`~foxtailworks.placement._exchange.Exchange` keeps it up to date.

    :param me: this host
    :param epoch: its incarnation
    :param now: time of its start
    :param cfg: limits, budgets and timeouts
    :param host_table: owner and successor of each slot
    :param upstream_index: current and recent sets of upstreams
    :param flow_table: open flows of this host
    """

    def __init__(
        self,
        me: ids.HostId,
        epoch: int,
        now: float,
        cfg: _types.PlacementConfig,
        host_table: _hosts.HostTable,
        upstream_index: _upstreams.UpstreamIndex,
        flow_table: _flows.FlowTable,
    ) -> None:
        self._me = me
        self._epoch = epoch
        self._started_at = now
        self._now = now
        self._cfg = cfg
        self._host_table = host_table
        self._upstream_index = upstream_index
        self._flow_table = flow_table
        self._sequence = itertools.count(1)
        self._outgoing: dict[ids.HostId, _outgoing.Outgoing] = {}
        self._incoming = _incoming.Incoming(cfg.max_received_flows)
        self._flow_scan = _flow_scan.FlowScan(cfg, host_table, flow_table)
        self._peers = _peers.Peers(host_table, now)
        self._is_starting = True
        self._scan_steps: abc.Iterator[None] | None = None
        self._next_scan_at = now
        self._needs_scan = True
        self._tokens = cfg.control_burst_bytes
        self._round = 0
        self.sent_bytes = 0
        """Bytes of control messages sent, headers included."""
        self.ignored = 0
        """Number of control messages ignored as late or unknown."""

    # Lookups by the placer.

    @property
    def received_count(self) -> int:
        """Number of assignments received from other hosts."""
        return len(self._incoming)

    @property
    def sent_count(self) -> int:
        """Number of assignments sent to other hosts."""
        return sum(out.sent_count for out in self._outgoing.values())

    def lookup(
        self, service: ids.ServiceId, key: int, route: _hosts.Route
    ) -> _upstreams.Upstream | None:
        """Return the upstream of a flow by the assignments received."""
        fingerprint = _hashing.fingerprint(key)
        for received in self._incoming.lookup(fingerprint):
            name: ids.UpstreamId | None = received.assignment.upstream
            if not name:
                name = self._default_upstream(
                    received.assignment.upstreams_hash, service, key, route
                )
            upstream = self._upstream_index.get(name) if name else None
            if upstream is not None and upstream.view.service == service:
                return upstream
        return None

    def handed_over(
        self, service: ids.ServiceId, key: int
    ) -> _upstreams.Upstream | None:
        """Return the upstream of a flow that was handed over to its owner.

        It is needed only if the owner dies before it has sent the flow's
        assignment back to this host.
        """
        flow = self._flow_scan.handed_over(key)
        if flow is None or not flow.upstream.alive:
            return None
        is_same = flow.upstream.view.service == service
        return flow.upstream if is_same else None

    def resolving_host(
        self, key: int, route: _hosts.Route, requester: ids.HostId | None
    ) -> ids.HostId | None:
        """Return the host to query for a flow that can't be resolved here.

        A recently started host lacks older sets of upstreams, so it can't
        resolve an assignment to the default upstream of such a set.  The
        sender of the assignment is queried; if that one has gone or has
        restarted, the successor, which the previous owner had informed.

        :param requester: host that queries this one itself, if any
        """
        fingerprint = _hashing.fingerprint(key)
        candidates: list[ids.HostId] = []
        for received in self._incoming.lookup(fingerprint):
            assignment = received.assignment
            if assignment.upstream or self._upstream_index.remembers(
                assignment.upstreams_hash
            ):
                return None
            if self._peers.epoch(received.sender) <= received.epoch:
                candidates.append(received.sender)
            if route.successor is not None:
                candidates.append(route.successor)
        reachable = (
            host
            for host in candidates
            if host not in (self._me, requester)
            and self._host_table.is_present(host)
        )
        return next(reachable, None)

    def _default_upstream(
        self,
        upstreams_hash: int,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
    ) -> ids.UpstreamId | None:
        """Return the default upstream by a set of upstreams still stored."""
        if not self._upstream_index.remembers(upstreams_hash):
            return None
        return self._flow_table.default_upstream(
            upstreams_hash, service, key, route
        )

    def host_to_query(
        self, route: _hosts.Route, now: float
    ) -> ids.HostId | None:
        """Return a host that may have flows which this owner lacks."""
        if self._is_starting:
            hosts = (route.previous_owner, route.successor)
        elif now >= self._host_table.changed_at + self._cfg.handover_s:
            return None
        elif route.previous_owner and self._host_table.is_present(
            route.previous_owner
        ):
            hosts = (route.previous_owner, None)
        else:
            hosts = (route.rejoined, None)
        candidates = (h for h in hosts if h and self._may_have_flows(h, now))
        host = next(candidates, None)
        return None if host is None or self._has_synced(host) else host

    def _may_have_flows(self, host: ids.HostId, now: float) -> bool:
        """Return whether ``host`` is present and not recently started."""
        if not self._host_table.is_present(host):
            return False
        return not self._peers.started_within(host, self._cfg.handover_s, now)

    def _has_synced(self, host: ids.HostId) -> bool:
        """Return whether all assignments of ``host`` can be resolved here."""
        views = self._incoming.views_of(host)
        if views is None or not self._upstream_index.remembers(
            views.upstreams_hash
        ):
            return False
        return self._incoming.is_complete(host, self._host_table.hosts_hash)

    @property
    def is_starting(self) -> bool:
        """Whether this host is still receiving assignments of the others."""
        return self._is_starting

    def is_recently_started(self, host: ids.HostId, now: float) -> bool:
        """Return whether ``host`` may still lack assignments of others."""
        if self._peers.epoch(host) == 0:
            return True
        return self._peers.started_within(host, self._cfg.handover_s, now)

    def previous_upstreams_hash(self, route: _hosts.Route) -> int:
        """Return the set of upstreams that the previous owner used."""
        if route.previous_owner is None:
            return self._upstream_index.upstreams_hash
        views = self._incoming.views_of(route.previous_owner)
        if views is None or not self._upstream_index.remembers(
            views.upstreams_hash
        ):
            return self._upstream_index.upstreams_hash
        return views.upstreams_hash

    def note_placed(
        self, key: int, upstream: _upstreams.Upstream, route: _hosts.Route
    ) -> None:
        """Queue the assignment of a new flow for the host that needs it."""
        receiver = self._flow_table.receiver(route)
        if receiver is None:
            return
        fingerprint = _hashing.fingerprint(key)
        out = self._outgoing_to(receiver)
        views = {self._upstream_index.upstreams_hash}
        # The other host still uses the set that it was last sent.
        if out.target_views is not None and self._upstream_index.remembers(
            out.target_views.upstreams_hash
        ):
            views.add(out.target_views.upstreams_hash)
        assignment = _assignment.default_assignment(
            self._upstream_index.upstreams_hash
        )
        if any(
            self._flow_table.is_override(key, upstream, route, view)
            for view in views
        ):
            assignment = _assignment.Assignment(upstream.view.upstream)
        out.add(fingerprint, assignment)

    def _sent_assignment(
        self, host: ids.HostId, fingerprint: int
    ) -> _assignment.Assignment | None:
        """Return the assignment of a flow that ``host`` is sent."""
        out = self._outgoing.get(host)
        return out.assignment_of(fingerprint) if out is not None else None

    # Changes.

    def set_idle_times(
        self, idle_s: typing.Mapping[ids.ServiceId, float]
    ) -> None:
        """Set the idle timeout in seconds of each service's flows."""
        self._flow_scan.set_idle_times(idle_s)

    def tables_changed(self) -> None:
        """Schedule a scan of all flows for new overrides."""
        self._needs_scan = True

    def hosts_changed(self) -> None:
        """Discard the state of hosts that are gone and schedule a scan."""
        self._needs_scan = True
        self._peers.hosts_changed()
        gone = [
            h for h in self._outgoing if not self._host_table.is_present(h)
        ]
        for host in gone:
            del self._outgoing[host]

    def _outgoing_to(self, host: ids.HostId) -> _outgoing.Outgoing:
        """Return the state of the updates that are sent to ``host``."""
        out = self._outgoing.get(host)
        if out is None:
            out = _outgoing.Outgoing(self._epoch, self._sequence)
            out.to_epoch = self._peers.epoch(host)
            self._outgoing[host] = out
        return out
