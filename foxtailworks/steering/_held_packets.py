"""Packets of open flows that can't be forwarded yet."""

import collections
from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.steering import _config
from foxtailworks.steering import _flows
from foxtailworks.steering import _tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A packet that a caller sent after its SYN."""

    flow: _flows.FlowKey
    """Flow that the packet belongs to."""
    destination: ids.Address
    """Address that the caller sent it to."""
    token: _tokens.Token
    """Token that the host which placed the SYN gave to the flow."""
    has_ended: bool
    """Whether this packet ends the caller's side of the flow."""
    has_data: bool = True
    """Whether it carries data of a request, besides an acknowledgement."""
    packet: bytes = b""
    """The packet as it was received, to be forwarded when it was held."""


class HeldPackets:
    """Holds packets until routes, or the upstream of their token, are known.

    A caller repeats a lost packet after a time that doubles up to seconds,
    so that one dropped while a host starts delays its request by as much.
    """

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._held: collections.deque[tuple[float, Packet]]
        self._held = collections.deque()

    def __len__(self) -> int:
        """Return the number of packets held."""
        return len(self._held)

    def hold(self, packet: Packet, expires_at: float) -> None:
        """Hold a packet; when the table is full the oldest one is dropped."""
        if len(self._held) >= self._cfg.max_held_packets:
            self._held.popleft()
        self._held.append((expires_at, packet))

    def take(self, now: float) -> abc.Iterator[tuple[float, Packet]]:
        """Remove all packets; yield those that haven't expired.

        :returns: when each expires, and the packet
        """
        held, self._held = self._held, collections.deque()
        return ((until, item) for until, item in held if now < until)
