"""Typed messages over UDP; large messages are split into fragments.

If one fragment is lost, so is its message.  Callers must therefore
retransmit what matters, as agreement and polling do.  Compared with TCP,
there is no connection that can hang, and a slow reader never blocks the
sender.

Example::

    async with datagram.open_endpoint(address, codec, handler, clock) as end:
        end.send(message, peer)
"""

from foxtailworks.datagram._endpoint import Endpoint
from foxtailworks.datagram._endpoint import open_endpoint
from foxtailworks.datagram._fragments import Assembler
from foxtailworks.datagram._fragments import FRAGMENT_BYTES
from foxtailworks.datagram._fragments import message_number
from foxtailworks.datagram._fragments import PartHandler
from foxtailworks.datagram._fragments import signature
from foxtailworks.datagram._fragments import split

__all__ = [
    "FRAGMENT_BYTES",
    "Assembler",
    "Endpoint",
    "PartHandler",
    "message_number",
    "open_endpoint",
    "signature",
    "split",
]
