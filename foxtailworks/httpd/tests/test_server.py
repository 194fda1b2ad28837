"""Tests of the HTTP server: requests, status codes and limits."""

import asyncio
import socket

import pytest
import uvloop

from foxtailworks import httpd
from foxtailworks import ids


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return ids.Address("127.0.0.1", sock.getsockname()[1])


async def echo(req):
    if req.path == "/fault":
        raise RuntimeError("planted")
    return httpd.Response(
        200, b"%s %s %s" % (req.method.encode(), req.path.encode(), req.body)
    )


def exchange(data, limits=None):
    """Send bytes and return everything until the server closes."""

    async def run():
        address = free_address()
        async with httpd.serve(address, echo, limits):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            writer.write(data)
            writer.write_eof()
            received = await reader.read()
            writer.close()
            return received

    return uvloop.run(run())


def test_a_request_gets_its_response():
    received = exchange(
        b"PUT /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
    )
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"PUT /a hi")


def test_a_connection_carries_several_requests():
    one = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
    received = exchange(one + one.replace(b"/a", b"/b"))
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.endswith(b"GET /b ")


def test_a_body_cut_short_gets_no_response():
    received = exchange(
        b"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhi"
    )
    assert b"200" not in received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /fault HTTP/1.1\r\nHost: x\r\n\r\n", b"500"),
        (
            b"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n"
            + b"x" * 99,
            b"413",
        ),
    ],
)
def test_what_is_wrong_has_its_status(data, status):
    received = exchange(data, httpd.Limits(body_bytes=50))
    assert received.split()[1] == status


def test_a_silent_connection_is_closed():
    async def run():
        address = free_address()
        limits = httpd.Limits(idle_s=0.05)
        async with httpd.serve(address, echo, limits):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            received = await reader.read()
            writer.close()
            return received

    assert uvloop.run(run()) == b""
