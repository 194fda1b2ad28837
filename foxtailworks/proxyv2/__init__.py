"""PROXY protocol, version 2, for datagrams.

Every datagram between the fabric and an entry host, between two entry
hosts, and between an entry host and the upstream of a flow starts with the
header that names the two ends.  No table is needed to pass an answer back.

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
