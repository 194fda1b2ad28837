"""Asynchronous UDP sockets, closed by a context manager.

Example::

    async with udp.open_socket(ip, port, on_datagram) as sock:
        sock.send(b"data", peer)
"""

from foxtailworks.udp._socket import address_of
from foxtailworks.udp._socket import DatagramHandler
from foxtailworks.udp._socket import open_socket
from foxtailworks.udp._socket import Socket

__all__ = ["DatagramHandler", "Socket", "address_of", "open_socket"]
