"""Decides when a host's packets are sent on its own slow link.

Load that it is designed for: a link of 2 Mbit/s, over which uploads of 20 KB
are forwarded.  Such an upload is 17 packets of 1.2 KB that arrive at once,
while a packet takes 4.8 ms on the link.  Forwarded at once, those that exceed
the link's own small queue are dropped, and each loss costs the caller a
retransmission after 200 ms.  Small packets of other flows arrive among them.

The decisions have no socket, clock or timer: packets and times go in, the
packets to send now and the time of the next one come out.

Example::

    shaper = shaping.Shaper(link_bytes_per_s=250_000)
    step = shaper.put(packet, now)
    send_all(step.packets)
    if step.next_at is not None:
        call_at(step.next_at, lambda: shaper.advance(clock()))
"""

from foxtailworks.shaping._packet import DropReason
from foxtailworks.shaping._packet import HEADER_BYTES
from foxtailworks.shaping._packet import Packet
from foxtailworks.shaping._shaper import Counters
from foxtailworks.shaping._shaper import Shaper
from foxtailworks.shaping._shaper import Step

__all__ = [
    "HEADER_BYTES",
    "Counters",
    "DropReason",
    "Packet",
    "Shaper",
    "Step",
]
