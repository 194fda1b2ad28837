"""Listening socket, connections, and request and response types."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import socket
import typing

import h11

from foxtailworks.httpd import _plain
from foxtailworks import ids
from foxtailworks import logs

BACKLOG = 256
"""Pending connections: enough for all upstreams to connect at once."""
STOP_S = 1.0
"""Time for which a stopping server waits for the requests under way."""
READ_BYTES = 64 << 10
"""Most bytes read from a socket in one call."""
USER_TIMEOUT_MS = 3000
"""Time without an acknowledgement after which a peer is disconnected."""

_EVENTS = logs.Events("httpd")


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of connections, requests and idle time."""

    body_bytes: int = 1 << 20
    """Largest request body in bytes; a larger one is answered with 413."""
    header_bytes: int = 16 << 10
    """Largest request line and headers together, in bytes."""
    idle_s: float = 10.0
    """Seconds to receive a complete request; then the connection is closed."""
    connections: int = 1024
    """Most open connections; further ones are closed immediately."""


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
    """Headers besides Content-Type and Content-Length."""
    content_type: str = "application/json"
    """Media type of the body."""


Handler: typing.TypeAlias = abc.Callable[[Request], abc.Awaitable[Response]]


def page(path: str, respond: abc.Callable[[], Response]) -> Handler:
    """Return a handler for one path; other paths are not found."""

    async def handle(req: Request) -> Response:
        return respond() if req.path == path else Response(404)

    return handle


_TOO_LARGE = Response(413, b'{"error":"the body is too large"}')
_MALFORMED = Response(400, b'{"error":"not an HTTP/1.1 request"}')
_FAULT = Response(500, b'{"error":"a fault of the program"}')


class _TooLarge(Exception):
    """The request body exceeds its limit."""


class _Connection:
    """Serves the requests of one connection in turn."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handle: Handler,
        limits: Limits,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handle = handle
        self._limits = limits
        self._is_stopping = False
        self.is_idle = False
        """Whether it has had a response and awaits the next request."""
        self._is_plain = False
        # Whether the request under way was read without h11.
        self._received = b""
        # Data that was received and not yet passed to h11.
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            try:
                req = await self._read()
            except _TooLarge:
                await self._write(_TOO_LARGE, "GET")
                return
            except h11.RemoteProtocolError:
                await self._write(_MALFORMED, "GET")
                return
            if req is None:
                return
            res = await self._respond(req)
            if self._is_plain:
                await self._write_plain(res)
            else:
                await self._write(res, req.method)
                if self._conn.our_state is not h11.DONE:
                    return
                self._conn.start_next_cycle()
            if self._is_stopping:
                return
            self.is_idle = True

    def stop(self) -> None:
        """Close the connection after the response under way."""
        self._is_stopping = True

    async def _respond(self, req: Request) -> Response:
        """Return the handler's response, or 500 if the handler raises."""
        try:
            return await self._handle(req)
        except Exception as exc:
            # An exception of a handler must not end the process.
            _EVENTS.error("request_fault", path=req.path, reason=repr(exc))
            return _FAULT

    async def _read(self) -> Request | None:
        """Read the next complete request; return None when the peer closes."""
        async with asyncio.timeout(self._limits.idle_s):
            req = await self._read_plain()
            self._is_plain = req is not None
            return req or await self._read_with_h11()

    async def _read_plain(self) -> Request | None:
        """Read a request of the simplest form.

        :returns: None for another one, whose data is passed to h11
        """
        if self._conn.trailing_data != (b"", False):
            return None
        data = self._received or await self._reader.read(READ_BYTES)
        self._received = b""
        head = _plain.read_head(data, self._limits.header_bytes)
        max_body = min(READ_BYTES, self._limits.body_bytes)
        if head is None or head.body_size > max_body:
            self._conn.receive_data(data)
            return None
        self.is_idle = False
        end = head.size + head.body_size
        while len(data) < end:
            more = await self._reader.read(READ_BYTES)
            data += more
            if not more:
                self._conn.receive_data(data)
                return None
        self._received = data[end:]
        return _request(head.method, head.target, data[head.size : end])

    async def _read_with_h11(self) -> Request | None:
        """Read a request of any form."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                data = await self._reader.read(READ_BYTES)
                self._conn.receive_data(data)
            elif isinstance(event, h11.Request):
                self.is_idle = False
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise _TooLarge
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return _request(head.method, head.target, bytes(body))
            else:
                return None

    async def _write_plain(self, res: Response) -> None:
        """Write the response to a request that was read without h11."""
        headers = _headers(res)
        data = _plain.write_response(res.status, headers, res.body)
        await self._send(data)

    async def _write(self, res: Response, method: str) -> None:
        """Write one response, without its body for HEAD."""
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head = self._conn.send(
            h11.Response(status_code=res.status, headers=list(_headers(res)))
        )
        data = head or b""
        if method != "HEAD":
            data += self._conn.send(h11.Data(data=res.body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        """Write the data of a response, and wait if the peer reads slowly."""
        self._writer.write(data)
        if not self._writer.transport.get_write_buffer_size():
            return
        async with asyncio.timeout(self._limits.idle_s):
            await self._writer.drain()


def _request(method: bytes, target: bytes, body: bytes) -> Request:
    """Return a request from its parts as received."""
    path = target.decode("ascii", "replace").split("?")[0]
    return Request(method.decode("ascii"), path, body)


def _headers(res: Response) -> tuple[tuple[str, str], ...]:
    """Return all headers of a response."""
    return (
        *res.headers,
        ("Content-Type", res.content_type),
        ("Content-Length", str(len(res.body))),
    )


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Set socket options, so that an unresponsive peer is detected."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


@contextlib.asynccontextmanager
async def serve(
    address: ids.Address, handle: Handler, limits: Limits | None = None
) -> abc.AsyncIterator[None]:
    """Listen until the block ends, then finish the requests under way.

    A connection without a request under way is closed at once, one that
    isn't done after ``STOP_S`` is cancelled.
    """
    effective = limits or Limits()
    tasks: dict[asyncio.Task[None], _Connection] = {}

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(tasks) >= effective.connections:
            _EVENTS.warning("connection_refused", open=len(tasks))
            writer.transport.abort()
            return
        conn = tasks[task] = _Connection(reader, writer, handle, effective)
        try:
            _set_socket_options(writer)
            await conn.run()
        except (OSError, TimeoutError, asyncio.CancelledError) as exc:
            _EVENTS.debug("connection_ended", reason=repr(exc))
        finally:
            del tasks[task]
            writer.close()

    server = await asyncio.start_server(
        accept, address.ip, address.port, backlog=BACKLOG
    )
    try:
        yield
    finally:
        server.close()
        await _finish(tasks)


async def _finish(tasks: dict[asyncio.Task[None], _Connection]) -> None:
    """Let connections finish the requests that they have accepted."""
    for task, conn in tuple(tasks.items()):
        conn.stop()
        if conn.is_idle:
            task.cancel()
    if tasks:
        await asyncio.wait(tuple(tasks), timeout=STOP_S)
    for task in tuple(tasks):
        _EVENTS.warning("request_cut_by_stop")
        task.cancel()
