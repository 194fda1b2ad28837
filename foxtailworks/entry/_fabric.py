"""Endpoint of the fabrics, which forward callers' packets to hosts."""

from collections import abc
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import proxyv2
from foxtailworks import udp

HEARTBEAT_INTERVAL_S = 0.5
# Payload of the datagram that asks for no further packets.
WITHDRAW = b"withdraw"

PacketHandler: typing.TypeAlias = abc.Callable[[proxyv2.Packet], None]


class FabricEndpoint:
    """Receives packets with a PROXY v2 header and sends answers in one.

    A header with this host's own address at both ends is a heartbeat, or
    with the payload ``withdraw`` the notice that the host leaves.

    :param fabrics: receivers of heartbeats
    """

    def __init__(
        self,
        me: ids.Address,
        fabrics: tuple[ids.Address, ...],
        metrics: observe.Metrics,
        on_packet: PacketHandler,
    ) -> None:
        self._me = me
        self._fabrics = fabrics
        self._metrics = metrics
        self._on_packet = on_packet
        self._next_heartbeat_at = 0.0
        self._last_fabric: ids.Address | None = None
        self.port: udp.Socket | None = None

    def on_datagram(self, data: bytes, src: ids.Address) -> None:
        """Decode a packet and pass it on."""
        self._metrics.count(observe.Counter.PACKETS_RECEIVED)
        self._last_fabric = src
        try:
            packet = proxyv2.decode(data)
        except errors.FoxtailError:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        self._on_packet(packet)

    def answer(
        self, service: ids.Address, caller: ids.Address, payload: bytes
    ) -> None:
        """Send an answer to a caller from a service's address."""
        fabric = self._last_fabric or (self._fabrics or (None,))[0]
        if fabric is None or self.port is None:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        self._metrics.count(observe.Counter.PACKETS_SENT)
        self.port.send(proxyv2.encode(service, caller, payload), fabric)

    def on_tick(self, now: float) -> None:
        """Send a heartbeat when it is due."""
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self._announce(b"")

    def withdraw(self) -> None:
        """Stop the heartbeats and ask for no further packets."""
        self._next_heartbeat_at = float("inf")
        self._announce(WITHDRAW)

    def _announce(self, payload: bytes) -> None:
        """Send a payload about this host to each fabric."""
        assert self.port is not None
        for fabric in self._fabrics:
            self.port.send(proxyv2.encode(self._me, self._me, payload), fabric)
