"""Queues of bulk packets, one for each flow, served in turn."""

from collections import abc
import dataclasses

from foxtailworks.shaping import _packet

QUANTUM_BYTES = _packet.FULL_BYTES
"""Bytes that a flow may send in its turn: one full packet."""


@dataclasses.dataclass(slots=True)
class _Flow:
    """Queued packets of one flow, of which the first is bulk."""

    packets: dict[_packet.Key, _packet.Packet]
    """Packets in the order in which they are sent."""
    size: int = 0
    """Bytes of the packets."""
    deficit: int = 0
    """Bytes that the flow may still send in this turn."""


class FlowQueues:
    """Deficit round robin over flows.

    A small packet of a flow whose bulk packets wait stays behind them, since
    the receiver would take it for the sign of a loss.
    """

    def __init__(self) -> None:
        self._flows: dict[bytes, _Flow] = {}

    def __bool__(self) -> bool:
        """Return whether a packet waits."""
        return bool(self._flows)

    def __contains__(self, flow: object) -> bool:
        """Return whether packets of a flow wait."""
        return flow in self._flows

    def put(self, packet: _packet.Packet) -> None:
        """Add a packet, or replace the one that it repeats in its position."""
        flow = self._flows.setdefault(packet.flow, _Flow({}))
        old = flow.packets.get(packet.key)
        flow.packets[packet.key] = packet
        flow.size += packet.size - (old.size if old else 0)

    def head(self) -> _packet.Packet:
        """Return the packet whose turn it is; it stays queued."""
        while True:
            key, flow = next(iter(self._flows.items()))
            packet = next(iter(flow.packets.values()))
            if packet.size <= flow.deficit:
                return packet
            flow.deficit += QUANTUM_BYTES
            if packet.size <= flow.deficit:
                return packet
            self._flows[key] = self._flows.pop(key)

    def remove_head(self) -> list[_packet.Packet]:
        """Remove the packet whose turn it is, which is sent.

        :returns: small packets that no longer wait behind bulk ones
        """
        packet = self.head()
        flow = self._flows[packet.flow]
        flow.deficit -= packet.size
        freed = self.remove(packet)
        if packet.flow in self._flows:
            following = next(iter(flow.packets.values()))
            if following.size > flow.deficit:
                self._flows[packet.flow] = self._flows.pop(packet.flow)
        return freed

    def remove(self, packet: _packet.Packet) -> list[_packet.Packet]:
        """Remove a packet; return small ones no longer behind bulk ones."""
        flow = self._flows[packet.flow]
        flow.size -= flow.packets.pop(packet.key).size
        freed: list[_packet.Packet] = []
        for following in list(flow.packets.values()):
            if not following.is_small:
                return freed
            flow.size -= flow.packets.pop(following.key).size
            freed.append(following)
        del self._flows[packet.flow]
        return freed

    def longest(self) -> abc.Collection[_packet.Packet]:
        """Return the packets of the flow with the most bytes."""
        flow = max(self._flows.values(), key=lambda flow: flow.size)
        return flow.packets.values()
