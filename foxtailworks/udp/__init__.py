"""UDP sockets on the running loop, owned by a context manager.

Example::

    async with udp.open_port(address, take) as port:
        port.send(b"data", other)
"""

from foxtailworks.udp._socket import address_of
from foxtailworks.udp._socket import DatagramHandler
from foxtailworks.udp._socket import open_socket
from foxtailworks.udp._socket import Socket

__all__ = ["DatagramHandler", "Socket", "address_of", "open_socket"]
