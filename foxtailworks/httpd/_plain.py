"""Recognizes requests of the simplest form, which need no state machine.

Thousands of upstreams send the same few lines each second, and h11 spends
most of a coordinator's time on them.  Anything else than a GET, PUT, POST or
DELETE with a ``Host``, and a body of a known length or none, is left to h11.
"""

import dataclasses
import re

_HEAD = re.compile(
    rb"(GET|PUT|POST|DELETE) (/[!-~]*) HTTP/1\.1"
    rb"((?:\r\n[A-Za-z0-9-]+:[ -~]*)+)\r\n\r\n"
)
_LENGTH = re.compile(rb"\r\ncontent-length: ?([0-9]{1,9})(?=\r\n|$)")
_LEFT_TO_H11 = (
    b"\r\ntransfer-encoding:",
    b"\r\nconnection:",
    b"\r\nexpect:",
    b"\r\nupgrade:",
)
# Headers that change how a request is framed or a connection continues.


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Request line and headers of a recognized request."""

    method: bytes
    """HTTP method in upper case."""
    target: bytes
    """Target of the request."""
    size: int
    """Bytes up to the body."""
    body_size: int
    """Bytes of the body."""


def read_head(data: bytes, max_bytes: int) -> Head | None:
    """Return the head that ``data`` begins with.

    :param max_bytes: largest head that is recognized
    :returns: None for a head that is incomplete or has another form
    """
    found = _HEAD.match(data)
    if found is None or found.end() > max_bytes:
        return None
    method, target, lines = found.groups()
    headers = lines.lower()
    if headers.count(b"\r\nhost:") != 1:
        return None
    if any(name in headers for name in _LEFT_TO_H11):
        return None
    length = headers.count(b"\r\ncontent-length:")
    if not length:
        return Head(method, target, found.end(), 0)
    value = _LENGTH.search(headers)
    if length > 1 or value is None:
        return None
    return Head(method, target, found.end(), int(value[1]))


def write_response(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> bytes:
    """Return the bytes of a response."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} \r\n{lines}\r\n".encode("latin-1") + body
