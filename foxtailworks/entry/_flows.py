"""The path of a flow's packets through an entry host."""

import functools

from foxtailworks.entry import _fabric
from foxtailworks.entry import _peers
from foxtailworks.entry import _services
from foxtailworks.entry import _views
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import placement
from foxtailworks import proxyv2
from foxtailworks import udp


class FlowPath:
    """Carries out what the placer decides.

    :param placer: decides where packets go
    :param views: addresses of hosts and upstreams
    """

    def __init__(
        self,
        placer: placement.Placer,
        views: _views.Views,
        services: _services.ServiceIndex,
        peers: _peers.Peers,
        fabric: _fabric.Fabric,
        metrics: observe.Metrics,
    ) -> None:
        self._placer = placer
        self._views = views
        self._services = services
        self._peers = peers
        self._fabric = fabric
        self._metrics = metrics
        self.port: udp.Socket | None = None

    def take(
        self,
        route: _services.Route,
        packet: proxyv2.Packet,
        relayed_from: ids.HostId | None,
        now: float,
    ) -> None:
        """Take a caller's packet, from the fabric or another host."""
        decision = self._placer.on_packet(
            route.key, packet.source, now, relayed_from, packet.hops
        )
        self._carry_out(decision, packet)

    @functools.singledispatchmethod
    def _carry_out(
        self, decision: placement.Decision, packet: proxyv2.Packet
    ) -> None:
        """Carry out a decision of a kind that isn't known."""
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "unknown decision", decision=decision
        )

    @_carry_out.register
    def _deliver(
        self, decision: placement.Deliver, packet: proxyv2.Packet
    ) -> None:
        """Send the packet to the upstream, naming its caller."""
        upstream = self._views.upstream(decision.upstream)
        if upstream is None or self.port is None:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        data = proxyv2.encode(packet.source, packet.target, packet.payload)
        self.port.send(data, upstream.address)

    @_carry_out.register
    def _relay(
        self, decision: placement.RelayTo, packet: proxyv2.Packet
    ) -> None:
        """Pass the packet to the host that knows the flow."""
        address = self._views.address_of(decision.host)
        if address is None:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        relayed = proxyv2.Packet(
            packet.source, packet.target, packet.payload, decision.hops
        )
        self._peers.relay(address, relayed)

    @_carry_out.register
    def _refuse(
        self, decision: placement.Refuse, packet: proxyv2.Packet
    ) -> None:
        """Drop the packet of a flow that can't be placed."""
        self._metrics.count(observe.Counter.FLOWS_REFUSED)

    def take_answer(
        self, packet: proxyv2.Packet, src: ids.Address, now: float
    ) -> None:
        """Pass an upstream's packet to its caller.

        The sender must be an upstream of the service that the packet
        claims to come from.
        """
        route = self._services.at(packet.source)
        upstream = self._views.upstream_at(src)
        if (
            route is None
            or upstream is None
            or _services.service_key(upstream.customer, upstream.service)
            != route.key
        ):
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        self._placer.on_answer(route.key, packet.target, now)
        self._fabric.answer(packet.source, packet.target, packet.payload)
