"""Responses that several programs give."""

import json

from foxtailworks.httpd import _server
from foxtailworks import ids


def error_response(status: int, reason: str) -> _server.Response:
    """Return an error response with a reason."""
    return _server.Response(status, json.dumps({"error": reason}).encode())


def redirect(address: ids.Address, path: str) -> _server.Response:
    """Return a response that sends the same request to another server."""
    location = f"http://{address}{path}"
    return _server.Response(307, b"{}", (("Location", location),))
