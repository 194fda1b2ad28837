"""Tests of the HTTP server: requests, status codes and limits."""

import asyncio
import socket

import pytest
import uvloop

from foxtailworks import httpd
from foxtailworks.httpd import _server
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


class Stopping:
    """A server that is stopped while requests are under way."""

    def __init__(self, answer_s):
        self.answer_s = answer_s

    async def handle(self, req):
        await asyncio.sleep(self.answer_s)
        return httpd.Response(200, req.path.encode())

    def received_by(self, pieces):
        """Return what a caller receives.

        :param pieces: pairs of a delay and what the caller then sends; the
            server is stopped after the second one
        """
        return uvloop.run(self.run(pieces))

    async def run(self, pieces):
        address = free_address()
        async with httpd.serve(address, self.handle):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            for delay_s, data in pieces:
                await asyncio.sleep(delay_s)
                writer.write(data)
            await asyncio.sleep(0.05)
        received = await reader.read()
        writer.close()
        return received


REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


def test_a_request_under_way_is_answered_when_the_server_stops():
    received = Stopping(0.2).received_by([(0.0, REQUEST)])
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"/a")


def test_a_request_that_follows_another_is_answered_as_well():
    stopping = Stopping(0.1)
    received = stopping.received_by([(0.0, REQUEST), (0.2, REQUEST)])
    assert received.count(b"HTTP/1.1 200") == 2


def test_a_stopping_server_closes_idle_connections_at_once(monkeypatch):
    monkeypatch.setattr(_server, "STOP_S", 60.0)
    received = Stopping(0.0).received_by([(0.0, REQUEST)])
    assert received.count(b"HTTP/1.1 200") == 1


def test_a_stopping_server_waits_for_a_bounded_time(monkeypatch):
    monkeypatch.setattr(_server, "STOP_S", 0.05)
    assert Stopping(60.0).received_by([(0.0, REQUEST)]) == b""
