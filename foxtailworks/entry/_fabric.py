"""The side of the fabric: callers' packets in, answers out."""

from collections import abc
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import proxyv2
from foxtailworks import udp

BEAT_INTERVAL_S = 0.5
# Payload of the datagram by which a host withdraws itself.
WITHDRAW = b"withdraw"

TakePacket: typing.TypeAlias = abc.Callable[[proxyv2.Packet], None]


class Fabric:
    """Takes packets with a PROXY v2 header and sends answers in one.

    A header whose two ends are this host's own address says that the host
    lives, or with the payload ``withdraw`` that it leaves.

    :param fabrics: where to say so
    """

    def __init__(
        self,
        me: ids.Address,
        fabrics: tuple[ids.Address, ...],
        metrics: observe.Metrics,
        take_packet: TakePacket,
    ) -> None:
        self._me = me
        self._fabrics = fabrics
        self._metrics = metrics
        self._take_packet = take_packet
        self._next_beat = 0.0
        self._answer_to: ids.Address | None = None
        self.port: udp.Socket | None = None

    def take(self, data: bytes, src: ids.Address) -> None:
        """Take one packet in."""
        self._metrics.count(observe.Counter.PACKETS_RECEIVED)
        self._answer_to = src
        try:
            packet = proxyv2.decode(data)
        except errors.FoxtailError:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        self._take_packet(packet)

    def answer(
        self, service: ids.Address, caller: ids.Address, payload: bytes
    ) -> None:
        """Send an answer to a caller from a service's address."""
        fabric = self._answer_to or (self._fabrics or (None,))[0]
        if fabric is None or self.port is None:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        self._metrics.count(observe.Counter.PACKETS_SENT)
        self.port.send(proxyv2.encode(service, caller, payload), fabric)

    def on_tick(self, now: float) -> None:
        """Say that this host lives, when it is due."""
        if now >= self._next_beat:
            self._next_beat = now + BEAT_INTERVAL_S
            self._tell(b"")

    def withdraw(self) -> None:
        """Ask for no further packets."""
        self._next_beat = float("inf")
        self._tell(WITHDRAW)

    def _tell(self, payload: bytes) -> None:
        """Tell each fabric about this host."""
        assert self.port is not None
        for fabric in self._fabrics:
            self.port.send(proxyv2.encode(self._me, self._me, payload), fabric)
