"""Links between processes: websockets that carry typed CBOR messages.

Example::

    async with links.serve(address, codec, handle, tls=cfg.tls):
        async with links.dial(peer, codec, tls=cfg.tls) as link:
            answer = await link.request(Ping(1), timeout_s=5)
"""

from foxtailworks.links._dial import dial
from foxtailworks.links._link import Link
from foxtailworks.links._serve import serve

__all__ = ["Link", "dial", "serve"]
