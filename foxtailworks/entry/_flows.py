"""Data path of the packets of flows."""

import functools

from foxtailworks.entry import _cluster_view
from foxtailworks.entry import _fabric
from foxtailworks.entry import _peers
from foxtailworks.entry import _services
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import placement
from foxtailworks import proxyv2
from foxtailworks import udp


class FlowPath:
    """Executes the decisions of the placer on packets.

    :param placer: assigns flows to upstreams
    :param views: resolves hosts and upstreams to addresses
    """

    def __init__(
        self,
        placer: placement.Placer,
        cluster_view: _cluster_view.ClusterView,
        services: _services.ServiceIndex,
        peers: _peers.PeerTransport,
        fabric: _fabric.FabricEndpoint,
        metrics: observe.Metrics,
    ) -> None:
        self._placer = placer
        self._cluster_view = cluster_view
        self._services = services
        self._peers = peers
        self._fabric = fabric
        self._metrics = metrics
        self.port: udp.Socket | None = None

    def on_packet(
        self,
        route: _services.Route,
        packet: proxyv2.Packet,
        relayed_from: ids.HostId | None,
        now: float,
    ) -> None:
        """Process a caller's packet from the fabric or another host."""
        decision = self._placer.on_packet(
            route.key, packet.source, now, relayed_from, packet.hops
        )
        self._execute(decision, packet)

    @functools.singledispatchmethod
    def _execute(
        self, decision: placement.Decision, packet: proxyv2.Packet
    ) -> None:
        """Raise an error for an unknown kind of decision."""
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "unknown decision", decision=decision
        )

    @_execute.register
    def _deliver(
        self, decision: placement.Deliver, packet: proxyv2.Packet
    ) -> None:
        """Send the packet to the upstream with the caller's address."""
        upstream = self._cluster_view.upstream(decision.upstream)
        if upstream is None or self.port is None:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        data = proxyv2.encode(packet.source, packet.target, packet.payload)
        self.port.send(data, upstream.address)

    @_execute.register
    def _relay(
        self, decision: placement.RelayTo, packet: proxyv2.Packet
    ) -> None:
        """Relay the packet to the host that has the flow's assignment."""
        address = self._cluster_view.address_of(decision.host)
        if address is None:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        relayed = proxyv2.Packet(
            packet.source, packet.target, packet.payload, decision.hops
        )
        self._peers.relay(address, relayed)

    @_execute.register
    def _refuse(
        self, decision: placement.Refuse, packet: proxyv2.Packet
    ) -> None:
        """Drop the packet of a flow that can't be assigned."""
        self._metrics.count(observe.Counter.FLOWS_REFUSED)

    def on_answer_packet(
        self, packet: proxyv2.Packet, src: ids.Address, now: float
    ) -> None:
        """Forward an upstream's packet to its caller.

        The packet is dropped unless its sender is an upstream of the
        service in its source address.
        """
        route = self._services.find_by_address(packet.source)
        upstream = self._cluster_view.upstream_at(src)
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
