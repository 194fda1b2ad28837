"""Reads requests with httptools, within limits.

httptools wraps llhttp, whose strict mode refuses line folding, bare line
feeds, a space before a colon, and a length that is given twice or beside a
transfer encoding.  What it leaves to its user is checked here.
"""

import collections
import dataclasses

import httptools

from foxtailworks.httpd import _messages

_KEPT = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"transfer-encoding",
    )
)
"""Headers that are checked, or without which a body can't be read."""


class MalformedError(Exception):
    """The data is no HTTP/1.1 request, or could be read in several ways."""


class TooLargeError(Exception):
    """The request body exceeds its limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A request and what becomes of its connection."""

    request: _messages.Request
    """The request."""
    is_last: bool
    """Whether the connection is closed after the response."""


@dataclasses.dataclass(slots=True)
class _Message:
    """The request that is being read."""

    target: bytes = b""
    """Target of the request."""
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    """Headers of ``_KEPT``, by their name in lower case."""
    head_bytes: int = len(b"GET  HTTP/1.1\r\n\r\n")
    """Bytes of the request line, the headers and the trailers so far."""
    version: str = ""
    """Version of the protocol, empty until the head is complete."""
    body: bytearray = dataclasses.field(default_factory=bytearray)
    """Body so far."""
    awaits_continue: bool = False
    """Whether the client waits for 100 Continue before it sends the body."""


class _Callbacks:
    """Collects complete requests; httptools calls it while it parses."""

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.complete: collections.deque[Received] = collections.deque()
        self.message: _Message | None = None
        """The request under way, None between two requests."""
        self.pending_bytes = 0
        """Bytes received since the last head, part of a body or request."""

    def on_message_begin(self) -> None:
        """Start a request."""
        self.message = _Message()

    def on_url(self, data: bytes) -> None:
        """Add a part of the target."""
        msg = self._current()
        msg.target += data
        self._count(msg, len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; a trailer only counts against the limit."""
        msg = self._current()
        self._count(msg, len(name) + len(value) + len(b": \r\n"))
        key = name.lower()
        if key not in _KEPT or msg.version:
            return
        if key in msg.headers:
            if key == b"host":
                raise MalformedError("two hosts")
            value = msg.headers[key] + b", " + value
        msg.headers[key] = value

    def on_headers_complete(self) -> None:
        """Check what llhttp accepts but this server doesn't."""
        msg = self._current()
        msg.version = self.parser.get_http_version()
        self.pending_bytes = 0
        if self.parser.get_method() == b"CONNECT":
            raise MalformedError("no proxy")
        if msg.version == "1.1":
            self._check_headers(msg)
        elif msg.version != "1.0" or b"transfer-encoding" in msg.headers:
            # RFC 9112 demands that chunks in HTTP/1.0 are taken for a fault.
            raise MalformedError("another version")

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        msg = self._current()
        msg.body += data
        msg.awaits_continue = False
        self.pending_bytes = 0
        if len(msg.body) > self._body_bytes:
            raise TooLargeError

    def on_message_complete(self) -> None:
        """Queue the request, unless its body is still to be read."""
        if self.parser.should_upgrade():
            return
        msg = self._current()
        path = msg.target.decode("ascii", "replace").partition("?")[0]
        method = self.parser.get_method().decode("ascii")
        keeps_alive = msg.version == "1.1" and self.parser.should_keep_alive()
        req = _messages.Request(method, path, bytes(msg.body))
        self.complete.append(Received(req, not keeps_alive))
        self.message = None
        self.pending_bytes = 0

    def restart_without_upgrade(self) -> bytes:
        """Replace the parser, whose connection may have ended with the head.

        :returns: the head of the request under way, without its upgrade
        """
        msg = self._current()
        method = self.parser.get_method()
        version = msg.version.encode()
        lines = b"".join(b"%s: %s\r\n" % pair for pair in msg.headers.items())
        self.parser = httptools.HttpRequestParser(self)
        head = b"%s %s HTTP/%s\r\n" % (method, msg.target, version)
        return head + lines + b"\r\n"

    def _check_headers(self, msg: _Message) -> None:
        """Check the headers of an HTTP/1.1 request.

        Only a client that waits is told of its body's length at once; others
        are read up to the limit, since data that is left unread when the
        connection closes may cost them the response.
        """
        coding = msg.headers.get(b"transfer-encoding", b"chunked")
        if b"host" not in msg.headers or coding.strip().lower() != b"chunked":
            raise MalformedError("no host, or another coding")
        if msg.headers.get(b"expect", b"").strip().lower() != b"100-continue":
            return
        msg.awaits_continue = True
        if int(msg.headers.get(b"content-length", b"0")) > self._body_bytes:
            raise TooLargeError

    def _count(self, msg: _Message, size: int) -> None:
        """Count bytes of a head against the limit."""
        msg.head_bytes += size
        if msg.head_bytes > self._header_bytes:
            raise MalformedError("the head is too large")

    def _current(self) -> _Message:
        """Return the request under way."""
        assert self.message is not None
        return self.message


class Parser:
    """Turns the data of one connection into requests.

    :param header_bytes: largest request line and headers together
    :param body_bytes: largest body
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self._header_bytes = header_bytes
        self._calls = _Callbacks(header_bytes, body_bytes)
        self._fault: BaseException | None = None

    def feed(self, data: bytes) -> None:
        """Read received data; a fault in it is raised by ``take``."""
        if self._fault is not None:
            return
        self._calls.pending_bytes += len(data)
        try:
            self._parse(data)
            if self._calls.pending_bytes > self._header_bytes:
                raise MalformedError("the head is too large")
        except httptools.HttpParserCallbackError as exc:
            self._fault = exc.__context__ or exc
        except (httptools.HttpParserError, MalformedError) as exc:
            self._fault = MalformedError(repr(exc))

    def feed_end(self) -> None:
        """Note that no data follows, which cuts a request under way short."""
        if self._calls.message is not None:
            self._fault = self._fault or MalformedError("cut short")

    def take(self) -> Received | None:
        """Return the next complete request, None if it needs more data.

        :raises MalformedError: after the requests before the fault
        :raises TooLargeError: after the requests before the fault
        """
        if self._calls.complete:
            return self._calls.complete.popleft()
        if self._fault is not None:
            raise self._fault
        return None

    @property
    def has_head(self) -> bool:
        """Whether the head of an incomplete request has been read."""
        msg = self._calls.message
        return msg is not None and bool(msg.version)

    def take_continue(self) -> bool:
        """Return whether 100 Continue is to be sent now, once a request."""
        msg = self._calls.message
        if msg is None or not msg.awaits_continue:
            return False
        msg.awaits_continue = False
        return True

    def _parse(self, data: bytes) -> None:
        """Pass data to llhttp, without the upgrades that are asked for.

        llhttp ends HTTP after a head with an upgrade, before the body.  The
        server changes to no other protocol, as RFC 9110 lets it, so such a
        request is read again without that header.
        """
        while True:
            try:
                self._calls.parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                rest = data[exc.args[0] :]
                data = self._calls.restart_without_upgrade() + rest
            else:
                return
