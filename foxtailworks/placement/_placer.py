"""Decides where each packet of a flow goes; hands over what it knows."""

import collections
from collections import abc
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.placement import _exchange
from foxtailworks.placement import _flows
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _types
from foxtailworks.placement import _upstreams

MAX_HOPS = 5
"""A packet relayed so often goes no further: it is delivered if its flow
is known there, and lost otherwise."""
DRAIN_GRACE_S = 3.0
"""A draining upstream may get new flows for so long."""


def _admit_all(service: ids.ServiceId, now: float) -> bool:
    """Refuse no flow."""
    return True


class Placer:
    """Places flows; one for each entry host.

    :param me: this host
    :param zone: its availability zone
    :param now: time of the start
    :param epoch: incarnation of this host, larger after every restart
    :param cfg: limits and times
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
        self._ring = _hosts.HostRing(me, zone, now, self._cfg.flow_idle_s)
        self._book = _upstreams.UpstreamBook()
        self._table = _flows.FlowTable(me, self._ring, self._book)
        self._flows = self._table.flows
        self._exchange = _exchange.Exchange(
            me,
            int(epoch),
            now,
            self._cfg,
            self._ring,
            self._book,
            self._table,
        )
        self._hosts: tuple[_types.HostView, ...] = ()
        self._leaving = False
        self._alone_until = now + _hosts.START_S
        self._admits: abc.Callable[[ids.ServiceId, float], bool] = _admit_all
        self.counts = _types.PlacerCounts()
        """Counters."""

    def set_admission(
        self, admits: abc.Callable[[ids.ServiceId, float], bool]
    ) -> None:
        """Have ``admits`` say whether a new flow may open."""
        self._admits = admits

    # Views.

    def set_hosts(
        self, hosts: tuple[_types.HostView, ...], now: float
    ) -> None:
        """Take in the hosts that are live or leaving, with this one."""
        self._hosts = tuple(view for view in hosts if view.host != self._me)
        state = _types.HostState.LIVE
        if self._leaving:
            state = _types.HostState.LEAVING
        own = _types.HostView(self._me, self._zone, state)
        if self._ring.set_hosts((*self._hosts, own), now):
            self._exchange.hosts_changed()

    def set_roster(self, hosts: tuple[_types.HostView, ...]) -> None:
        """Take in the hosts that all agree on, live or not.

        They say by which availability zone the table places a flow, so that
        hosts whose views of the live ones differ compute the same table.
        Without them each host goes by those it holds settled.
        """
        if self._ring.set_roster(hosts):
            self._exchange.tables_changed()

    def set_upstreams(
        self, views: tuple[_types.UpstreamView, ...], now: float
    ) -> None:
        """Take in all upstreams that are alive.

        A draining upstream has weight 0; one that sheds load keeps its
        weight and doesn't accept new flows.
        """
        if self._book.set_upstreams(views, now):
            self._exchange.tables_changed()

    def set_idle_times(
        self, idle_s: typing.Mapping[ids.ServiceId, float]
    ) -> None:
        """Take in the idle time of each service's flows."""
        self._exchange.set_idle_times(idle_s)
        longest = max(idle_s.values(), default=0.0)
        self._ring.settle_s = max(longest, self._cfg.flow_idle_s)

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

        :param relayed_from: the entry host that passed it on
        :param hops: as in the :class:`RelayTo` of that host
        """
        key = _hashing.flow_key(service, caller)
        flow = self._flows.get(key)
        if flow is not None:
            upstream = flow.upstream
            if (
                upstream.alive
                and flow.heard >= self._ring.doubt_before
                and upstream.view.service == service
            ):
                flow.heard = now
                return upstream.decision
        return self._decide(service, key, now, relayed_from, hops)

    def on_answer(
        self, service: ids.ServiceId, caller: ids.Address, now: float
    ) -> None:
        """Note a packet of the upstream to the caller."""
        flow = self._flows.get(_hashing.flow_key(service, caller))
        if flow is not None:
            flow.answered = now

    def _decide(
        self,
        service: ids.ServiceId,
        key: int,
        now: float,
        relayed_from: ids.HostId | None,
        hops: int,
    ) -> _types.Decision:
        """Decide for a flow that isn't in the table or is in doubt."""
        if not self.is_ready(now):
            return _types.Refuse(errors.Code.OWNER_STARTING)
        route = self._ring.route(_hashing.host_slot(key))
        known = self._known(service, key)
        to = self._next_hop(
            service, key, route, known, relayed_from, hops, now
        )
        if to is not None and hops < MAX_HOPS:
            self.counts.relayed += 1
            return _types.RelayTo(to, hops + 1)
        if known is None and to is not None:
            # Hosts disagree on who decides, and one of them may know the
            # flow. Lost, as on the wire: placed now it might be moved.
            return _types.Refuse(errors.Code.OWNER_STARTING)
        if known is None:
            return self._place(service, key, route, now)
        told = self._exchange.lookup(service, key, route)
        if told is not None and known.heard < self._ring.doubt_before:
            known.upstream = told
        known.heard = now
        return known.upstream.decision

    def _next_hop(
        self,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
        known: _flows.Flow | None,
        relayed_from: ids.HostId | None,
        hops: int,
        now: float,
    ) -> ids.HostId | None:
        """Return the host to pass a packet to, None to keep it."""
        owner = route.owner
        if owner == self._me:
            ask = self._exchange.whom_to_ask(route, now)
            if ask is None and known is None:
                # At the first relay nobody else has been asked yet.
                asker = relayed_from if hops > 1 else None
                return self._exchange.who_knows(key, route, asker)
            if ask != relayed_from:
                return ask
            # A host that starts asks also the one that relayed to it.
            return ask if self._exchange.starting else None
        if known is not None or owner is None:
            return None
        if owner != relayed_from:
            return owner
        # The owner asks what is known here of the flow.
        if self._exchange.starting:
            return owner
        if self._exchange.lookup(service, key, route) is not None:
            return None
        teller = self._exchange.who_knows(key, route, relayed_from)
        if teller is not None:
            return teller
        return None if self._exchange.is_new(owner, now) else owner

    def _known(self, service: ids.ServiceId, key: int) -> _flows.Flow | None:
        """Return the flow in the table, if its upstream is alive.

        An upstream may have been held dead and be back.
        """
        flow = self._flows.get(key)
        if flow is None or flow.upstream.view.service != service:
            return None
        upstream = self._book.get(flow.upstream.view.upstream)
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
        """Place a flow here and remember it."""
        upstream = self._choose(service, key, route, now)
        if upstream is None:
            self.counts.refused += 1
            return _types.Refuse(errors.Code.NO_UPSTREAM)
        if not upstream.alive or upstream.view.service != service:
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
        """Return whether a flow that isn't in the table can't be an old one.

        After a change of owners it may be: then no limit may refuse it.
        """
        if key in self._flows or route.prior is not None:
            return False
        told = self._exchange.lookup(service, key, route)
        return not (told or self._exchange.handed_over(service, key))

    def _choose(
        self,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
        now: float,
    ) -> _upstreams.Upstream | None:
        """Return where a flow stands that this host doesn't know."""
        upstream = self._exchange.lookup(service, key, route)
        upstream = upstream or self._exchange.handed_over(service, key)
        if upstream is not None:
            return upstream
        placed_by = self._exchange.base_view(route)
        current = self._book.view_hash
        for view_hash in dict.fromkeys((placed_by, current)):
            base = self._table.base(view_hash, service, key, route)
            upstream = self._book.get(base) if base is not None else None
            if upstream is not None and self._may_stand(upstream, route, now):
                return upstream
        return self._book.spill(service, route.zone, key)

    def _may_stand(
        self,
        upstream: _upstreams.Upstream,
        route: _hosts.Route,
        now: float,
    ) -> bool:
        """Return whether an unknown flow may go where the table says.

        After a change of owners an unknown flow may be an old one: it may
        stay on an upstream that sheds, or that began to drain just now.
        """
        view = upstream.view
        if view.accepts_new and view.weight > 0:
            return True
        if route.prior is None:
            return False
        return view.weight > 0 or now - upstream.drained_at <= DRAIN_GRACE_S

    def is_ready(self, now: float) -> bool:
        """Return whether packets may be sent here.

        A host that has just started and knows no other would take all flows
        for its own.
        """
        return bool(self._ring.peers()) or now >= self._alone_until

    # Leaving.

    def leave(self, now: float) -> None:
        """Begin to leave: own nothing new, hand over the exceptions."""
        self._leaving = True
        self.set_hosts(self._hosts, now)

    @property
    def has_handed_over(self) -> bool:
        """Whether every other host knows what it should."""
        return self._leaving and self._exchange.is_whole()

    # Control messages.

    def on_tick(self, now: float) -> abc.Iterator[_types.Send]:
        """Yield the control messages that the budget allows now.

        To be called several times a second.
        """
        return self._exchange.on_tick(now)

    def on_message(
        self, origin: ids.HostId, message: typing.Any, now: float
    ) -> tuple[_types.Send, ...]:
        """Take in a control message of another entry host."""
        return self._exchange.on_message(origin, message, now)

    # Figures.

    @property
    def flow_count(self) -> int:
        """Flows in the table."""
        return len(self._flows)

    def flows_by_service(self) -> collections.Counter[ids.ServiceId]:
        """Count the flows in the table; takes time with their number."""
        return collections.Counter(
            flow.upstream.view.service for flow in self._flows.values()
        )

    def flows_by_upstream(self) -> collections.Counter[ids.UpstreamId]:
        """Count the flows in the table; takes time with their number."""
        return collections.Counter(
            flow.upstream.view.upstream for flow in self._flows.values()
        )

    @property
    def sent_flows(self) -> int:
        """Flows that other hosts are told of."""
        return self._exchange.told

    @property
    def received_flows(self) -> int:
        """Flows that other hosts told this one of."""
        return self._exchange.held

    @property
    def control_bytes(self) -> int:
        """Bytes of control messages sent, headers included."""
        return self._exchange.sent_bytes
