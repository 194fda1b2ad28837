"""Decision about each packet of a flow, and handover to other hosts."""

import collections
from collections import abc
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.placement import _choice
from foxtailworks.placement import _exchange
from foxtailworks.placement import _flows
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _types
from foxtailworks.placement import _upstreams

MAX_HOPS = 5
"""Maximum number of relays; after these a packet is delivered if its flow is
in the table, and dropped otherwise."""


def _admit_all(service: ids.ServiceId, now: float) -> bool:
    """Admit every new flow."""
    return True


class Placer:
    """Assignment of flows to upstreams on one entry host.

    :param me: this host
    :param zone: its availability zone
    :param now: time of the start
    :param epoch: incarnation of this host, larger after every restart
    :param cfg: limits, budgets and timeouts
    """

    def __init__(
        self,
        me: ids.HostId,
        zone: ids.ZoneId,
        now: float,
        epoch: ids.Incarnation,
        cfg: _types.PlacementConfig | None = None,
    ) -> None:
        self._me = me
        self._zone = zone
        self._cfg = cfg or _types.PlacementConfig()
        self._host_table = _hosts.HostTable(
            me, zone, now, self._cfg.flow_idle_s
        )
        self._upstream_index = _upstreams.UpstreamIndex()
        self._flow_table = _flows.FlowTable(
            me, self._host_table, self._upstream_index
        )
        self._flows = self._flow_table.flows
        self._exchange = _exchange.Exchange(
            me,
            int(epoch),
            now,
            self._cfg,
            self._host_table,
            self._upstream_index,
            self._flow_table,
        )
        self._choice = _choice.UpstreamChoice(
            self._upstream_index, self._flow_table, self._exchange
        )
        self._hosts: tuple[_types.HostView, ...] = ()
        self._is_leaving = False
        self._wait_for_hosts_until = now + _hosts.STARTUP_S
        self._admits: abc.Callable[[ids.ServiceId, float], bool] = _admit_all
        self.counts = _types.PlacerCounts()
        """Counters since the start."""

    def set_admission(
        self, admits: abc.Callable[[ids.ServiceId, float], bool]
    ) -> None:
        """Set the function that decides whether a new flow may open."""
        self._admits = admits

    # Views.

    def set_hosts(
        self, hosts: tuple[_types.HostView, ...], now: float
    ) -> None:
        """Replace the hosts that are live or leaving, this one included."""
        self._hosts = tuple(view for view in hosts if view.host != self._me)
        state = _types.HostState.LIVE
        if self._is_leaving:
            state = _types.HostState.LEAVING
        own = _types.HostView(self._me, self._zone, state)
        if self._host_table.set_hosts((*self._hosts, own), now):
            self._exchange.on_hosts_changed()

    def set_roster(self, hosts: tuple[_types.HostView, ...]) -> None:
        """Replace the roster, on which all hosts agree.

        It decides which availability zone's table applies to a flow, so that
        hosts with different views of the live ones use the same table.
        Without a roster each host uses the hosts that it counts as settled.

        :param hosts: hosts of the roster, live or not
        """
        if self._host_table.set_roster(hosts):
            self._exchange.tables_changed()

    def set_upstreams(
        self, views: tuple[_types.UpstreamView, ...], now: float
    ) -> None:
        """Replace the list of upstreams by those that are live.

        A draining upstream has weight 0; one that sheds load keeps its
        weight and doesn't accept new flows.
        """
        if self._upstream_index.set_upstreams(views, now):
            self._exchange.tables_changed()

    def set_idle_times(
        self, idle_s: typing.Mapping[ids.ServiceId, float]
    ) -> None:
        """Set the idle timeout in seconds of each service's flows."""
        self._exchange.set_idle_times(idle_s)
        longest = max(idle_s.values(), default=0.0)
        self._host_table.settle_s = max(longest, self._cfg.flow_idle_s)

    # Packets.

    def on_packet(
        self,
        service: ids.ServiceId,
        caller: ids.Address,
        now: float,
        relayed_from: ids.HostId | None = None,
        hops: int = 0,
    ) -> _types.Decision:
        """Decide where a packet of a caller goes.

        :param relayed_from: entry host that relayed it, None for the caller
        :param hops: ``hops`` of the :class:`RelayTo` of that host
        """
        key = _hashing.flow_key(service, caller)
        flow = self._flows.get(key)
        if flow is not None:
            upstream = flow.upstream
            if (
                upstream.is_listed
                and flow.last_packet_at >= self._host_table.stale_before
                and upstream.view.service == service
            ):
                flow.last_packet_at = now
                return upstream.decision
        return self._decide(service, key, now, relayed_from, hops)

    def on_answer(
        self, service: ids.ServiceId, caller: ids.Address, now: float
    ) -> None:
        """Record a packet from the upstream to the caller."""
        flow = self._flows.get(_hashing.flow_key(service, caller))
        if flow is not None:
            flow.last_answer_at = now

    def _decide(
        self,
        service: ids.ServiceId,
        key: int,
        now: float,
        relayed_from: ids.HostId | None,
        hops: int,
    ) -> _types.Decision:
        """Decide for a flow that isn't in the table or may have moved."""
        if not self.is_ready(now):
            return _types.Refuse(errors.Code.OWNER_STARTING)
        route = self._host_table.route(_hashing.host_slot(key))
        flow = self._live_flow(service, key)
        next_hop = self._next_hop(
            service, key, route, flow, relayed_from, hops, now
        )
        if next_hop is not None and hops < MAX_HOPS:
            self.counts.relayed += 1
            return _types.RelayTo(next_hop, hops + 1)
        if flow is None and next_hop is not None:
            # Hosts disagree on the owner, and one of them may have the flow:
            # placed here it might move. Drop the packet, as a network would.
            return _types.Refuse(errors.Code.OWNER_STARTING)
        if flow is None:
            return self._place(service, key, route, now)
        received = self._exchange.lookup(service, key, route)
        if (
            received is not None
            and flow.last_packet_at < self._host_table.stale_before
        ):
            flow.upstream = received
        flow.last_packet_at = now
        return flow.upstream.decision

    def _next_hop(
        self,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
        flow: _flows.Flow | None,
        relayed_from: ids.HostId | None,
        hops: int,
        now: float,
    ) -> ids.HostId | None:
        """Return the host to relay a packet to, None to decide here."""
        owner = route.owner
        if owner == self._me:
            host_to_query = self._exchange.host_to_query(route, now)
            if host_to_query is None and flow is None:
                # At the first relay no other host has been queried yet.
                requester = relayed_from if hops > 1 else None
                return self._exchange.resolving_host(key, route, requester)
            if host_to_query != relayed_from:
                return host_to_query
            # A starting host also queries the one that relayed to it.
            return host_to_query if self._exchange.is_starting else None
        if flow is not None or owner is None:
            return None
        if owner != relayed_from:
            return owner
        # The owner queries this host for the flow.
        if self._exchange.is_starting:
            return owner
        if self._exchange.lookup(service, key, route) is not None:
            return None
        resolving_host = self._exchange.resolving_host(
            key, route, relayed_from
        )
        if resolving_host is not None:
            return resolving_host
        return (
            None if self._exchange.is_recently_started(owner, now) else owner
        )

    def _live_flow(
        self, service: ids.ServiceId, key: int
    ) -> _flows.Flow | None:
        """Return the flow in the table, if its upstream is listed.

        An upstream may have been declared dead and be back.
        """
        flow = self._flows.get(key)
        if flow is None or flow.upstream.view.service != service:
            return None
        upstream = self._upstream_index.get(flow.upstream.view.upstream)
        if upstream is None or upstream.view.service != service:
            del self._flows[key]
            self.counts.reassigned += 1
            return None
        flow.upstream = upstream
        return flow

    def _place(
        self,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
        now: float,
    ) -> _types.Decision:
        """Assign a flow to an upstream and add it to the table."""
        upstream = self._choice.choose(service, key, route, now)
        if upstream is None:
            self.counts.refused += 1
            return _types.Refuse(errors.Code.NO_UPSTREAM)
        if not upstream.is_listed or upstream.view.service != service:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "flow placed on a wrong upstream"
            )
        if len(self._flows) >= self._cfg.max_flows:
            self.counts.untracked += 1
            return upstream.decision
        if self._is_new(service, key, route) and not self._admits(
            service, now
        ):
            self.counts.refused += 1
            return _types.Refuse(errors.Code.LIMIT_REACHED)
        # A key that two flows share belongs to the first of them.
        if key not in self._flows:
            self._flows[key] = _flows.Flow(upstream, now)
            self.counts.placed += 1
            self._exchange.note_placed(key, upstream, route)
        return upstream.decision

    def _is_new(
        self, service: ids.ServiceId, key: int, route: _hosts.Route
    ) -> bool:
        """Return whether a flow is certainly new.

        After a change of owners a flow that isn't in the table may be an old
        one, which no limit may refuse.
        """
        if key in self._flows or route.previous_owner is not None:
            return False
        received = self._exchange.lookup(service, key, route)
        return not (received or self._exchange.handed_over(service, key))

    def is_ready(self, now: float) -> bool:
        """Return whether this host may receive packets.

        A recently started host without any other in its view would place
        all flows as their owner.
        """
        return (
            bool(self._host_table.peers()) or now >= self._wait_for_hosts_until
        )

    # Leaving.

    def leave(self, now: float) -> None:
        """Begin to leave: own no slot and hand over all flows."""
        self._is_leaving = True
        self.set_hosts(self._hosts, now)

    @property
    def has_handed_over(self) -> bool:
        """Whether every other host has all assignments it needs."""
        return self._is_leaving and self._exchange.is_complete()

    # Control messages.

    def on_tick(self, now: float) -> abc.Iterator[_types.Send]:
        """Yield the control messages that the budget allows now.

        It must be called several times a second.
        """
        return self._exchange.on_tick(now)

    def on_message(
        self, sender: ids.HostId, message: typing.Any, now: float
    ) -> tuple[_types.Send, ...]:
        """Handle a control message and return the replies."""
        return self._exchange.on_message(sender, message, now)

    # Metrics.

    @property
    def flow_count(self) -> int:
        """Number of flows in the table."""
        return len(self._flows)

    def flows_by_service(self) -> collections.Counter[ids.ServiceId]:
        """Count the flows of each service in linear time."""
        return collections.Counter(
            flow.upstream.view.service for flow in self._flows.values()
        )

    def flows_by_upstream(self) -> collections.Counter[ids.UpstreamId]:
        """Count the flows of each upstream in linear time."""
        return collections.Counter(
            flow.upstream.view.upstream for flow in self._flows.values()
        )

    @property
    def sent_flows(self) -> int:
        """Number of flows whose assignments are sent to other hosts."""
        return self._exchange.sent_count

    @property
    def received_flows(self) -> int:
        """Number of flows whose assignments other hosts have sent."""
        return self._exchange.received_count

    @property
    def control_bytes(self) -> int:
        """Bytes of control messages sent, headers included."""
        return self._exchange.sent_bytes
