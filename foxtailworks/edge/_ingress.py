"""Callers' packets between the fabric's sockets and steering."""

from collections import abc
import typing

from foxtailworks import ids
from foxtailworks import steering
from foxtailworks import udp


class Translator(typing.Protocol):
    """Converts packets of the fabric to and from the product's."""

    def read(self, data: bytes) -> steering.Syn | steering.Packet | None:
        """Return a caller's packet; None for one that can't be routed."""

    def to_upstream(self, data: bytes, decision: steering.Forward) -> bytes:
        """Return the datagram that carries a packet to an upstream."""

    def reset(self, data: bytes) -> tuple[bytes, ids.Address]:
        """Return the packet that resets a caller's flow, and its receiver."""


class Ingress:
    """Receives callers' packets and carries out the decisions on them.

    :param translator: format of the fabric's packets
    :param clock: monotonic seconds
    """

    def __init__(
        self, translator: Translator, clock: abc.Callable[[], float]
    ) -> None:
        self._translator = translator
        self._clock = clock
        self._steering: steering.Steering | None = None
        self._port: udp.Socket | None = None

    def attach_steering(self, decider: steering.Steering) -> None:
        """Set the steering; earlier packets are dropped."""
        self._steering = decider

    def attach_port(self, port: udp.Socket) -> None:
        """Set the port to send through; until then SYNs are only held."""
        self._port = port

    def receive(self, data: bytes, _src: ids.Address) -> None:
        """Process one packet, which comes from a router, not the caller."""
        if self._steering is None:
            return
        packet = self._translator.read(data)
        if packet is None:
            return
        now = self._clock()
        if isinstance(packet, steering.Syn):
            decision = self._steering.open(packet, now)
        else:
            decision = self._steering.forward(packet, now)
        self._carry_out(data, decision)

    def carry_out_due(self, due: steering.DuePacket) -> None:
        """Carry out the decision on a packet that had to wait."""
        self._carry_out(due.packet, due.decision)

    def _carry_out(self, data: bytes, decision: steering.Decision) -> None:
        """Forward or reset a packet according to a decision."""
        if self._port is None:
            return
        if isinstance(decision, steering.Forward):
            packet = self._translator.to_upstream(data, decision)
            self._port.send(packet, decision.instance.address)
        elif isinstance(decision, steering.Reset):
            self._port.send(*self._translator.reset(data))
