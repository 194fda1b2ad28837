"""Tests of reading requests: framing, limits and what is refused."""

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks.httpd import _messages
from foxtailworks.httpd import _parser

PUT = b"PUT /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
CHUNKED = (
    b"PUT /chunked HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\nh\r\n1;ext=1\r\ni\r\n0\r\nTrailer: t\r\n\r\n"
)
UPGRADE = PUT.replace(
    b"Host", b"Connection: keep-alive, Upgrade\r\nUpgrade: h2c\r\nHost"
)
PUT_REQUEST = _messages.Request("PUT", "/a", b"hi")
CHUNKED_REQUEST = _messages.Request("PUT", "/chunked", b"hi")
STREAM = PUT + b"hi" + CHUNKED + UPGRADE + b"hi" + CHUNKED + PUT + b"hi"
REQUESTS = [
    PUT_REQUEST,
    CHUNKED_REQUEST,
    PUT_REQUEST,
    CHUNKED_REQUEST,
    PUT_REQUEST,
]
HEADER_BYTES = 1000
BODY_BYTES = 50


def make_parser():
    return _parser.Parser(HEADER_BYTES, BODY_BYTES)


def take_all(parser):
    return list(iter(parser.take, None))


def read(data):
    """Return all requests in the data."""
    parser = make_parser()
    parser.feed(data)
    return take_all(parser)


def with_line(line, data=PUT):
    """Return a head with one more line at its end."""
    return data.replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\n", 1)


def test_a_request_is_read():
    assert read(PUT + b"hi") == [_parser.Received(PUT_REQUEST, False)]


@pytest.mark.parametrize("size", range(len(PUT) + 2))
def test_an_incomplete_request_is_no_request_and_cut_short_a_fault(size):
    # A body cut short must not be taken for a whole one.
    parser = make_parser()
    parser.feed((PUT + b"hi")[:size])
    assert parser.take() is None
    parser.feed_end()
    if size:
        with pytest.raises(_parser.MalformedError):
            parser.take()
    else:
        assert parser.take() is None


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.sets(st.integers(1, len(STREAM) - 1)))
def test_requests_in_any_pieces_are_the_same(cuts):
    # Guards against state that is lost or kept from one read to the next.
    parser = make_parser()
    found = []
    edges = [0, *sorted(cuts), len(STREAM)]
    for begin, end in zip(edges, edges[1:]):
        parser.feed(STREAM[begin:end])
        found += take_all(parser)
    assert [received.request for received in found] == REQUESTS
    assert not any(received.is_last for received in found)


@pytest.mark.parametrize(
    "data",
    [
        with_line(b"Connection: close"),
        with_line(b"CONNECTION: CLOSE"),
        with_line(b"Connection: Upgrade, close\r\nUpgrade: h2c"),
        with_line(b"Connection: Upgrade\r\nConnection: close\r\nUpgrade: h2c"),
        with_line(b"Connection: close\r\nConnection: Upgrade\r\nUpgrade: h2c"),
        PUT.replace(b"1.1", b"1.0"),
        PUT.replace(b"1.1", b"1.0").replace(b"Host: x\r\n", b""),
        with_line(b"Connection: keep-alive", PUT.replace(b"1.1", b"1.0")),
        UPGRADE.replace(b"1.1", b"1.0"),
    ],
)
def test_a_request_is_the_last_of_its_connection(data):
    assert read(data + b"hi") == [_parser.Received(PUT_REQUEST, True)]


def test_what_follows_the_last_request_is_not_read():
    parser = make_parser()
    parser.feed(with_line(b"Connection: close") + b"hi" + PUT + b"hi")
    assert parser.take() == _parser.Received(PUT_REQUEST, True)
    with pytest.raises(_parser.MalformedError):
        parser.take()


FRAMINGS = {
    "two equal lengths": with_line(b"Content-Length: 2"),
    "two lengths": with_line(b"CONTENT-LENGTH: 3"),
    "list of lengths": PUT.replace(b": 2", b": 2, 2"),
    "signed length": PUT.replace(b": 2", b": +2"),
    "negative length": PUT.replace(b": 2", b": -2"),
    "hexadecimal length": PUT.replace(b": 2", b": 0x2"),
    "empty length": PUT.replace(b": 2", b":"),
    "length beyond 64 bits": PUT.replace(b": 2", b": 18446744073709551618"),
    "length, then chunked": with_line(b"Transfer-Encoding: chunked"),
    "chunked, then length": with_line(
        b"Content-Length: 2",
        CHUNKED,
    ),
    "chunked twice": with_line(b"Transfer-Encoding: chunked", CHUNKED),
    "chunked, listed twice": CHUNKED.replace(b"chunked", b"chunked, chunked"),
    "another coding": CHUNKED.replace(b": chunked", b": gzip"),
    "another coding as well": CHUNKED.replace(
        b": chunked", b": gzip, chunked"
    ),
    "unknown coding": CHUNKED.replace(b": chunked", b": xchunked"),
    "identity": CHUNKED.replace(b": chunked", b": identity"),
    "vertical tab before the coding": CHUNKED.replace(
        b": chunked", b": \x0bchunked"
    ),
    "chunked in HTTP/1.0": CHUNKED.replace(b"1.1", b"1.0"),
    "length in a trailer": CHUNKED.replace(
        b"Trailer: t", b"Content-Length: 9"
    ),
    "coding in a trailer": CHUNKED.replace(
        b"Trailer: t", b"Transfer-Encoding: chunked"
    ),
    "folded line": with_line(b"X-A: b\r\n c"),
    "folded empty line": with_line(b"X-A:\r\n c"),
    "folded length": PUT.replace(b": 2", b":\r\n 2"),
    "folded first line": PUT.replace(b"Host", b" Host"),
    "folded with a tab": with_line(b"X-A: b\r\n\tc"),
    "line feeds only": PUT.replace(b"\r\n", b"\n"),
    "line feed after the request line": PUT.replace(b"1.1\r\n", b"1.1\n"),
    "line feed after a header": PUT.replace(b": x\r\n", b": x\n"),
    "line feed after the headers": PUT.replace(b"\r\n\r\n", b"\r\n\n"),
    "line feed after a chunk's size": CHUNKED.replace(b"\n1\r\n", b"\n1\n"),
    "line feed after a chunk": CHUNKED.replace(b"\nh\r\n", b"\nh\n"),
    "line feed in an extension": CHUNKED.replace(b"ext=1", b"ext\n=1"),
    "line feed after a trailer": CHUNKED.replace(b": t\r\n", b": t\n"),
    "line feed at the end": CHUNKED.replace(b"t\r\n\r\n", b"t\r\n\n"),
    "carriage return after a header": PUT.replace(b": x\r\n", b": x\r"),
    "space before the colon": with_line(b"X-A : b"),
    "space before a length's colon": PUT.replace(b"Length:", b"Length :"),
    "tab before the colon": with_line(b"X-A\t: b"),
    "space in a chunk's size": CHUNKED.replace(b"\n1\r\n", b"\n1 \r\n"),
    "prefix of a chunk's size": CHUNKED.replace(b"\n1\r\n", b"\n0x1\r\n"),
    "sign of a chunk's size": CHUNKED.replace(b"\n1\r\n", b"\n+1\r\n"),
    "chunk longer than its size": CHUNKED.replace(b"\nh\r\n", b"\nhh\r\n"),
}
"""Requests whose end two readers could see in different places."""
OTHERS = {
    "nonsense": b"nonsense\r\n\r\n",
    "no host": PUT.replace(b"Host: x\r\n", b""),
    "two hosts": with_line(b"Host: y"),
    "NUL in a header": with_line(b"X-A: \x00"),
    "control character in a header": with_line(b"X-A: \x01"),
    "no name": with_line(b": b"),
    "no colon": with_line(b"X-A"),
    "name with a parenthesis": with_line(b"X(: b"),
    "no version": b"GET /a\r\n\r\n",
    "HTTP/0.9": PUT.replace(b"1.1", b"0.9"),
    "HTTP/1.2": PUT.replace(b"1.1", b"1.2"),
    "HTTP/2.0": PUT.replace(b"1.1", b"2.0"),
    "HTTP/2 preface": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "space after the version": PUT.replace(b"1.1", b"1.1 "),
    "space in the target": PUT.replace(b"/a", b"/a b"),
    "byte beyond ASCII in the path": PUT.replace(b"/a", b"/\x80"),
    "byte beyond ASCII in the query": PUT.replace(b"b=c", b"b=\x80"),
    "control character in the target": PUT.replace(b"/a", b"/\x01"),
    "unknown method": PUT.replace(b"PUT", b"FOO"),
    "method in lower case": PUT.replace(b"PUT", b"put"),
    "tunnel": b"CONNECT a:1 HTTP/1.1\r\nHost: x\r\n\r\n",
    "head above its limit": PUT.replace(b": x", b": " + HEADER_BYTES * b"x"),
    "target above its limit": PUT.replace(b"/a", b"/" + HEADER_BYTES * b"x"),
    "trailers above their limit": CHUNKED.replace(
        b": t", b": " + HEADER_BYTES * b"t"
    ),
    "many small headers": with_line(b"\r\n".join(HEADER_BYTES * [b"a:"])),
}


@pytest.mark.parametrize("name", [*FRAMINGS, *OTHERS])
@pytest.mark.parametrize("step", [1, 7, 9999])
def test_a_malformed_request_is_refused_after_those_before_it(name, step):
    # Read by other rules than a peer's, a request could hide a second one.
    data = PUT + b"hi" + {**FRAMINGS, **OTHERS}[name] + b"hi" + PUT + b"hi"
    parser = make_parser()
    for begin in range(0, len(data), step):
        parser.feed(data[begin : begin + step])
    assert parser.take() == _parser.Received(PUT_REQUEST, False)
    for _ in range(2):
        with pytest.raises(_parser.MalformedError):
            parser.take()


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"GET /", b"a"),
        (b"GET /a HTTP/1.1\r\nX: ", b"a"),
        (b"GET /a HTTP/1.1\r\nX", b"a"),
        (b"GET /a HTTP/1.1\r\n", b"X: a\r\n"),
        (b"", b"\r\n"),
        (CHUNKED.partition(b"1;")[0] + b"1;", b"a"),
        (CHUNKED.partition(b"Trailer")[0], b"a"),
        (CHUNKED.partition(b"Trailer")[0] + b"X: ", b"a"),
    ],
)
def test_a_head_without_an_end_is_refused_at_its_limit(start, piece):
    # The parser must not collect data without a limit.
    parser = make_parser()
    parser.feed(start)
    for _ in range(HEADER_BYTES // len(piece) + 1):
        parser.feed(piece)
    with pytest.raises(_parser.MalformedError):
        parser.take()


def test_pipelined_requests_do_not_count_against_the_limit_of_one_head():
    parser = make_parser()
    count = 3 * HEADER_BYTES // len(PUT)
    parser.feed(count * (PUT + b"hi") + PUT[:-4])
    assert len(take_all(parser)) == count
    parser.feed(PUT[-4:] + b"hi")
    assert parser.take() == _parser.Received(PUT_REQUEST, False)


def test_what_came_before_does_not_count_against_the_limit():
    # The limit is for one head with its trailers, and for data without any
    # progress; a connection must not reach it by many requests.
    most = HEADER_BYTES * 2 // 3
    head, _, chunks = CHUNKED.partition(b"\r\n\r\n")
    large_head = head + b"\r\nX: " + most * b"x" + b"\r\n\r\n"
    parser = make_parser()
    for piece in (
        large_head,
        b"1;" + most * b"e",
        chunks[1:] + CHUNKED.partition(b"Trailer")[0],
        b"Trailer: " + most * b"t",
        b"\r\n\r\n" + large_head[:most],
        large_head[most:] + chunks,
    ):
        parser.feed(piece)
    requests = [received.request for received in take_all(parser)]
    assert requests == 3 * [CHUNKED_REQUEST]


@pytest.mark.parametrize("line", [b"Host: y", b"Expect: 100-continue"])
def test_a_trailer_is_no_header(line):
    parser = make_parser()
    begin, _, end = CHUNKED.partition(b"Trailer: t\r\n")
    parser.feed(begin + line + b"\r\n")
    assert not parser.take_continue()
    parser.feed(end)
    assert parser.take() == _parser.Received(CHUNKED_REQUEST, False)


def body_in_chunks(size):
    head = CHUNKED.partition(b"\r\n\r\n")[0]
    return head + b"\r\n\r\n" + size * b"1\r\nx\r\n"


def body_with_length(size):
    return PUT.replace(b": 2", b": %d" % size) + size * b"x"


@pytest.mark.parametrize(
    ("make", "end"),
    [(body_in_chunks, b"0\r\n\r\n"), (body_with_length, b"")],
)
def test_a_body_is_refused_above_its_limit_only(make, end):
    # Chunks must count as a length that is given does.
    whole = read(make(BODY_BYTES) + end)
    assert [one.request.body for one in whole] == [BODY_BYTES * b"x"]
    with pytest.raises(_parser.TooLargeError):
        read(make(BODY_BYTES + 1))


@pytest.mark.parametrize(
    "line", [b"Expect: 100-continue", b"expect:100-CONTINUE "]
)
def test_a_client_that_waits_is_answered_once(line):
    head = with_line(line)
    parser = make_parser()
    parser.feed(head[:-1])
    assert not parser.take_continue()
    parser.feed(head[-1:])
    assert parser.take_continue()
    assert not parser.take_continue()
    parser.feed(b"hi" + head + b"h")
    assert parser.take() == _parser.Received(PUT_REQUEST, False)
    # The body has begun, so the client doesn't wait.
    assert not parser.take_continue()


def test_a_client_that_waits_is_told_at_once_of_a_body_too_large():
    line = b"Expect: 100-continue"
    with pytest.raises(_parser.TooLargeError):
        read(with_line(line, PUT.replace(b": 2", b": %d" % (BODY_BYTES + 1))))


@pytest.mark.parametrize(
    "head",
    [
        PUT,
        with_line(b"Expect: something"),
        with_line(b"Expect: 100-continue", PUT.replace(b"1.1", b"1.0")),
    ],
)
def test_a_client_that_does_not_wait_gets_no_interim_response(head):
    parser = make_parser()
    parser.feed(head)
    assert not parser.take_continue()


@pytest.mark.parametrize(
    "data",
    [b"\r\n" + PUT, PUT.replace(b" /a", b"  /a"), PUT.replace(b" H", b"  H")],
)
def test_leniency_of_the_request_line_hides_no_request(data):
    # RFC 9112 asks servers to ignore empty lines (section 2.2) and lets them
    # split the request line at any whitespace (section 3); llhttp does both.
    assert read(2 * (data + b"hi")) == 2 * [
        _parser.Received(PUT_REQUEST, False)
    ]
