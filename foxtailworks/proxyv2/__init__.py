"""PROXY protocol, version 2, for UDP datagrams.

The header in front of a datagram contains the addresses of its original
sender and receiver.  It is used between the fabric and an entry host,
between two entry hosts, and between an entry host and the upstream of a
flow; answers are therefore returned without a translation table.

Example::

    data = proxyv2.encode(caller, service, b"payload", hops=1)
    packet = proxyv2.decode(data)
    packet.source == caller
"""

from foxtailworks.proxyv2._header import decode
from foxtailworks.proxyv2._header import encode
from foxtailworks.proxyv2._header import Packet
from foxtailworks.proxyv2._header import SIGNATURE

__all__ = ["SIGNATURE", "Packet", "decode", "encode"]
