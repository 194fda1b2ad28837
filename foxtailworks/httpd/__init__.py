"""A small HTTP/1.1 server: whole requests in, whole responses out.

The protocol itself is h11's; here are sockets, limits and time-outs.

Example::

    async def handle(req: httpd.Request) -> httpd.Response:
        return httpd.Response(200, b"{}")

    async with httpd.serve(address, handle):
        ...
"""

from foxtailworks.httpd._server import Limits
from foxtailworks.httpd._server import Request
from foxtailworks.httpd._server import Response
from foxtailworks.httpd._server import serve

__all__ = ["Limits", "Request", "Response", "serve"]
