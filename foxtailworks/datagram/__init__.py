"""Typed messages over UDP, larger ones in fragments.

A lost fragment loses its message: meant for senders that repeat what
matters, such as agreement and polling.  Unlike a TCP connection nothing can
go silent for good, and nobody waits for a peer that doesn't read.

Example::

    async with datagram.open_endpoint(address, codec, take, clock) as port:
        port.send(message, peer)
"""

from foxtailworks.datagram._endpoint import Endpoint
from foxtailworks.datagram._endpoint import open_endpoint
from foxtailworks.datagram._fragments import Assembler
from foxtailworks.datagram._fragments import FRAGMENT_BYTES
from foxtailworks.datagram._fragments import split

__all__ = [
    "FRAGMENT_BYTES",
    "Assembler",
    "Endpoint",
    "open_endpoint",
    "split",
]
