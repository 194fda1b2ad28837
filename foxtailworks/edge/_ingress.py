"""Callers' packets between the fabric's sockets and steering."""

from collections import abc
import typing

from foxtailworks.edge import _link
from foxtailworks import ids
from foxtailworks import shaping
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

    def identify(self, data: bytes) -> tuple[steering.FlowKey, bytes]:
        """Return a packet's flow and its bytes without the token."""


class Ingress:
    """Receives callers' packets and carries out the decisions on them.

    :param translator: format of the fabric's packets
    :param clock: monotonic seconds
    :param link: queue of the host's own link; None to send at once
    """

    def __init__(
        self,
        translator: Translator,
        clock: abc.Callable[[], float],
        link: _link.Link | None = None,
    ) -> None:
        self._translator = translator
        self._clock = clock
        self._link = link
        self._steering: steering.Steering | None = None
        self._port: udp.Socket | None = None

    def attach_steering(self, decider: steering.Steering) -> None:
        """Set the steering; earlier packets are dropped."""
        self._steering = decider

    def attach_port(self, port: udp.Socket) -> None:
        """Set the port to send through; until then SYNs are only held."""
        self._port = port
        if self._link is not None:
            self._link.attach(port)

    def detach_port(self) -> None:
        """Send what waits for the link; later packets are dropped."""
        if self._link is not None and self._port is not None:
            self._link.close()
        self._port = None

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
        if isinstance(decision, steering.Forward):
            packet = self._translator.to_upstream(data, decision)
            self._send(packet, decision.instance.address, data)
        elif isinstance(decision, steering.Reset):
            self._send(*self._translator.reset(data), data)

    def _send(self, packet: bytes, target: ids.Address, data: bytes) -> None:
        """Send a packet, through the queue of the link if there is one.

        :param data: caller's packet that it results from
        """
        if self._port is None:
            return
        if self._link is None:
            self._port.send(packet, target)
            return
        flow, body = self._translator.identify(data)
        self._link.send(shaping.Packet(flow, body, packet, target))
