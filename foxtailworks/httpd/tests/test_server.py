"""Tests of the HTTP server: requests, status codes and limits."""

import asyncio
import socket

import pytest
import uvloop

from foxtailworks import httpd
from foxtailworks.httpd import _messages
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
    assert received.startswith(b"HTTP/1.1 400 ")


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


def converse(steps, limits=None):
    """Send pieces in turn and read what each is answered with.

    :param steps: pairs of a piece and the end of its answer; None to read
        until the server closes, which the client doesn't do before
    :returns: everything that is received
    """

    async def run():
        address = free_address()
        async with httpd.serve(address, echo, limits):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            received = b""
            for piece, end in steps:
                writer.write(piece)
                async with asyncio.timeout(5.0):
                    if end is None:
                        received += await reader.read()
                    else:
                        received += await reader.readuntil(end)
            writer.close()
            return received

    return uvloop.run(run())


GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
PUT = b"PUT /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
CHUNKED = (
    b"PUT /chunked HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhi\r\n0\r\n\r\n"
)
STREAM = PUT + b"hi" + CHUNKED + PUT + b"yo" + CHUNKED
OK = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n"
)


def answer(body):
    """Return the bytes of a response of ``echo``."""
    return OK % len(body) + body


def exchange_pieces(pieces):
    """Send pieces one by one; return everything that is received."""

    async def run():
        address = free_address()
        async with httpd.serve(address, echo):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.01)
            writer.write_eof()
            received = await reader.read()
            writer.close()
            return received

    return uvloop.run(run())


@pytest.mark.parametrize("step", [7, 40, len(PUT), len(PUT) + 2, 1000])
def test_requests_of_both_framings_are_answered_in_order(step):
    # Data of the next request must not be lost with the one before it, and
    # all requests are answered with the same bytes.
    pieces = [STREAM[i : i + step] for i in range(0, len(STREAM), step)]
    assert exchange_pieces(pieces) == b"".join(
        map(
            answer,
            [
                b"PUT /a hi",
                b"PUT /chunked hi",
                b"PUT /a yo",
                b"PUT /chunked hi",
            ],
        )
    )


def test_a_body_above_one_read_is_received_whole():
    body = 3 * _server.READ_BYTES * b"x"
    head = PUT.replace(b": 2", b": %d" % len(body))
    assert exchange_pieces([head, body]) == answer(b"PUT /a " + body)


def test_pipelined_requests_are_handled_in_turn():
    # A slow handler must not let a later response overtake an earlier one.
    begun = []

    async def handle(req):
        begun.append(req.path)
        await asyncio.sleep(0.05 / len(begun))
        begun.append(req.path)
        return httpd.Response(200, req.path.encode())

    async def run():
        address = free_address()
        async with httpd.serve(address, handle):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            writer.write(GET + GET.replace(b"/a", b"/b"))
            writer.write_eof()
            received = await reader.read()
            writer.close()
            return received

    assert uvloop.run(run()) == answer(b"/a") + answer(b"/b")
    assert begun == ["/a", "/a", "/b", "/b"]


@pytest.mark.parametrize(
    "data",
    [
        GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        GET.replace(b"1.1", b"1.0"),
        GET.replace(b"1.1\r\nHost: x", b"1.0\r\nConnection: keep-alive"),
    ],
)
def test_the_server_says_that_it_closes_and_closes(data):
    received = converse([(data + GET, None)])
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"\r\nConnection: close\r\n" in head
    assert body == b"GET /a "


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400 Bad Request\r\n"),
        (GET.replace(b"Host", b"Host "), b"400 Bad Request\r\n"),
        (PUT.replace(b": 2", b": 51") + 51 * b"x", b"413 "),
        (
            CHUNKED.replace(b"2\r\nhi", b"33\r\n" + 51 * b"x"),
            b"413 ",
        ),
    ],
)
def test_a_refused_request_closes_the_connection(data, status):
    # What follows could be the request's own body, so it isn't answered.
    limits = httpd.Limits(body_bytes=50)
    received = converse([(GET + data + GET, None)], limits)
    first = answer(b"GET /a ")
    assert received.startswith(first + b"HTTP/1.1 " + status)
    assert b"\r\nConnection: close\r\n" in received
    assert received.count(b"\r\nContent-Length: ") == 2


def test_a_response_to_head_has_the_length_and_no_body():
    head = GET.replace(b"GET", b"HEAD")
    assert exchange(head + GET) == OK % len(b"HEAD /a ") + answer(b"GET /a ")


def test_an_upgrade_is_ignored():
    # The connection must stay with HTTP, and the body mustn't be skipped.
    head = PUT.replace(b"Host", b"Connection: Upgrade\r\nUpgrade: h2c\r\nHost")
    assert exchange(2 * (head + b"hi") + GET) == 2 * answer(
        b"PUT /a hi"
    ) + answer(b"GET /a ")


EXPECTING = PUT.replace(b"Host", b"Expect: 100-continue\r\nHost")
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@pytest.mark.parametrize("before", [b"", GET])
def test_a_client_that_waits_is_asked_for_the_body(before):
    # It would wait for its own timeout; the interim response must follow the
    # responses to earlier requests.
    received = converse(
        [(before + EXPECTING, CONTINUE), (b"hi", b"PUT /a hi")]
    )
    earlier = answer(b"GET /a ") if before else b""
    assert received == earlier + CONTINUE + answer(b"PUT /a hi")


def test_a_client_that_waits_with_too_large_a_body_is_refused_at_once():
    head = EXPECTING.replace(b": 2", b": 51")
    received = converse([(head, None)], httpd.Limits(body_bytes=50))
    assert received.startswith(b"HTTP/1.1 413 ")


def test_an_unknown_status_has_an_empty_reason():
    assert _messages.encode(
        httpd.Response(599), is_last=False, has_body=True
    ).startswith(b"HTTP/1.1 599 \r\n")


@pytest.mark.parametrize("data", [GET[:20], PUT + b"h", CHUNKED[:-2]])
def test_an_incomplete_request_is_closed_when_its_time_is_over(data):
    limits = httpd.Limits(idle_s=0.05)
    assert converse([(GET + data, None)], limits) == answer(b"GET /a ")


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


def test_a_request_whose_body_is_under_way_is_answered_as_well():
    # A connection isn't idle from the end of a request's head.
    async def run():
        address = free_address()
        async with httpd.serve(address, echo):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            writer.write(GET)
            received = await reader.readuntil(b"GET /a ")
            writer.write(PUT)
            await asyncio.sleep(0.05)
            asyncio.get_running_loop().call_later(0.1, writer.write, b"hi")
        received += await reader.read()
        writer.close()
        return received

    assert uvloop.run(run()) == answer(b"GET /a ") + answer(b"PUT /a hi")


def test_a_stopping_server_closes_idle_connections_at_once(monkeypatch):
    monkeypatch.setattr(_server, "STOP_S", 60.0)
    received = Stopping(0.0).received_by([(0.0, REQUEST)])
    assert received.count(b"HTTP/1.1 200") == 1


def test_a_stopping_server_waits_for_a_bounded_time(monkeypatch):
    monkeypatch.setattr(_server, "STOP_S", 0.05)
    assert Stopping(60.0).received_by([(0.0, REQUEST)]) == b""
