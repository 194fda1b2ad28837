"""Requests, responses and the bytes of a response."""

import dataclasses
import http

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Interim response that asks a waiting client for the request body."""
_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete HTTP request."""

    method: str
    """HTTP method in upper case."""
    path: str
    """Path of the target, without the query."""
    body: bytes
    """Request body, may be empty."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    """HTTP status code."""
    body: bytes = b""
    """Response body, may be empty."""
    headers: tuple[tuple[str, str], ...] = ()
    """Headers besides Content-Type, Content-Length and Connection."""
    content_type: str = "application/json"
    """Media type of the body."""


def encode(res: Response, *, is_last: bool, has_body: bool) -> bytes:
    """Return the bytes of a response.

    :param is_last: whether the connection is closed afterwards
    :param has_body: False in response to HEAD, which keeps the length only
    """
    lines = "".join(f"{name}: {value}\r\n" for name, value in res.headers)
    if is_last:
        lines += "Connection: close\r\n"
    head = (
        f"HTTP/1.1 {res.status} {_PHRASES.get(res.status, '')}\r\n{lines}"
        f"Content-Type: {res.content_type}\r\n"
        f"Content-Length: {len(res.body)}\r\n\r\n"
    ).encode("latin-1")
    return head + res.body if has_body else head
