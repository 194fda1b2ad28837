"""A small HTTP/1.1 server without streaming of bodies.

h11 implements the protocol; this package adds sockets, limits and timeouts.

Example::

    async def handle(req: httpd.Request) -> httpd.Response:
        return httpd.Response(200, b"{}")

    async with httpd.serve(address, handle):
        ...
"""

from foxtailworks.httpd._responses import error_response
from foxtailworks.httpd._responses import redirect
from foxtailworks.httpd._server import Limits
from foxtailworks.httpd._server import page
from foxtailworks.httpd._server import Request
from foxtailworks.httpd._server import Response
from foxtailworks.httpd._server import serve

__all__ = [
    "Limits",
    "Request",
    "Response",
    "error_response",
    "page",
    "redirect",
    "serve",
]
