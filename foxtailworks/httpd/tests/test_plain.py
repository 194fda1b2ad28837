"""Tests of requests that are read without h11."""

import asyncio

import pytest
import uvloop

from foxtailworks import httpd
from foxtailworks.httpd import _plain
from foxtailworks.httpd import _server
from foxtailworks.httpd.tests import test_server

PUT = b"PUT /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
MAX_BYTES = 1000


def test_a_plain_head_is_read():
    found = _plain.read_head(PUT + b"hi", MAX_BYTES)
    assert found == _plain.Head(b"PUT", b"/a?b=c", len(PUT), 2)


@pytest.mark.parametrize(
    "line",
    [
        b"Host: y",
        b"Content-Length: 2",
        b"CONTENT-LENGTH: 3",
        b"Transfer-Encoding: chunked",
        b"Connection: close",
        b"Expect: 100-continue",
        b"Upgrade: websocket",
        b"X-A: b\r\n c",
        b"X-A : b",
        b"X-A: \x00",
    ],
)
def test_what_changes_the_framing_is_left_to_h11(line):
    # Read by other rules than h11's, a request could hide a second one.
    data = PUT.replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\n")
    assert _plain.read_head(data, MAX_BYTES) is None


@pytest.mark.parametrize(
    "data",
    [
        PUT[:-1],
        PUT.replace(b"1.1", b"1.0"),
        PUT.replace(b"Host: x\r\n", b""),
        PUT.replace(b": 2", b": +2"),
        PUT.replace(b": 2", b": 2, 2"),
        PUT.replace(b"PUT", b"HEAD"),
        PUT.replace(b"\r\n", b"\n"),
        PUT.replace(b"Host: x", b"Host: " + MAX_BYTES * b"x"),
    ],
)
def test_another_form_is_left_to_h11(data):
    assert _plain.read_head(data, MAX_BYTES) is None


def exchange_pieces(pieces):
    """Send pieces one by one; return everything that is received."""

    async def run():
        address = test_server.free_address()
        async with httpd.serve(address, test_server.echo):
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


CHUNKED = (
    b"PUT /chunked HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhi\r\n0\r\n\r\n"
)
STREAM = PUT + b"hi" + CHUNKED + PUT + b"yo" + CHUNKED


@pytest.mark.parametrize("step", [7, 40, len(PUT), len(PUT) + 2, 1000])
def test_requests_of_both_kinds_are_answered_in_order(step):
    # Data of the next request must reach whichever reader handles it.
    pieces = [STREAM[i : i + step] for i in range(0, len(STREAM), step)]
    received = exchange_pieces(pieces)
    assert [
        part.partition(b"\r\n\r\n")[2]
        for part in received.split(b"HTTP/1.1 200")[1:]
    ] == [b"PUT /a hi", b"PUT /chunked hi", b"PUT /a yo", b"PUT /chunked hi"]


def test_a_response_has_the_same_bytes_as_with_h11():
    plain = exchange_pieces([PUT + b"hi"])
    by_h11 = exchange_pieces(
        [PUT.replace(b"\r\n\r\n", b"\r\nX: \t\r\n\r\nhi")]
    )
    assert plain == by_h11


def test_a_body_above_one_read_is_received_whole():
    body = 3 * _server.READ_BYTES * b"x"
    head = PUT.replace(b": 2", b": %d" % len(body))
    assert exchange_pieces([head, body]).endswith(body)
