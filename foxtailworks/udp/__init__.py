"""UDP sockets on the running loop, owned by a context manager.

Example::

    async with udp.open_port(address, take) as port:
        port.send(b"data", other)
"""

from foxtailworks.udp._port import address_of
from foxtailworks.udp._port import open_port
from foxtailworks.udp._port import Port
from foxtailworks.udp._port import Take

__all__ = ["Port", "Take", "address_of", "open_port"]
