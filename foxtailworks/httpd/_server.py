"""Listening socket, connections, and request and response types."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import socket
import typing

from foxtailworks.httpd import _messages
from foxtailworks.httpd import _parser
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
    connections: int = 2048
    """Most open connections; further ones are closed immediately.  Enough for
    3,900 upstreams at two remaining coordinators, and half the descriptors
    of a process."""


Handler: typing.TypeAlias = abc.Callable[
    [_messages.Request], abc.Awaitable[_messages.Response]
]


def page(path: str, respond: abc.Callable[[], _messages.Response]) -> Handler:
    """Return a handler for one path; other paths are not found."""

    async def handle(req: _messages.Request) -> _messages.Response:
        if req.path != path:
            return _messages.Response(404)
        return respond()

    return handle


_TOO_LARGE = _messages.Response(413, b'{"error":"the body is too large"}')
_MALFORMED = _messages.Response(400, b'{"error":"not an HTTP/1.1 request"}')
_FAULT = _messages.Response(500, b'{"error":"a fault of the program"}')


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
        self._parser = _parser.Parser(limits.header_bytes, limits.body_bytes)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            try:
                received = self._parser.take() or await self._read()
            except _parser.TooLargeError:
                await self._write(_TOO_LARGE, is_last=True)
                return
            except _parser.MalformedError:
                await self._write(_MALFORMED, is_last=True)
                return
            if received is None:
                return
            self.is_idle = False
            req = received.request
            await self._write(
                await self._respond(req),
                is_last=received.is_last,
                has_body=req.method != "HEAD",
            )
            if received.is_last or self._is_stopping:
                return
            self.is_idle = True

    def stop(self) -> None:
        """Close the connection after the response under way."""
        self._is_stopping = True

    async def _respond(self, req: _messages.Request) -> _messages.Response:
        """Return the handler's response, or 500 if the handler raises."""
        try:
            return await self._handle(req)
        except Exception as exc:
            # An exception of a handler must not end the process.
            _EVENTS.error("request_fault", path=req.path, reason=repr(exc))
            return _FAULT

    async def _read(self) -> _parser.Received | None:
        """Read until a request is complete; return None if none follows."""
        async with asyncio.timeout(self._limits.idle_s):
            while (received := self._parser.take()) is None:
                if self._parser.take_continue():
                    self._writer.write(_messages.CONTINUE)
                data = await self._reader.read(READ_BYTES)
                if not data:
                    self._parser.feed_end()
                    return self._parser.take()
                self._parser.feed(data)
                if self._parser.has_head:
                    self.is_idle = False
            return received

    async def _write(
        self, res: _messages.Response, *, is_last: bool, has_body: bool = True
    ) -> None:
        """Write one response."""
        await self._send(
            _messages.encode(res, is_last=is_last, has_body=has_body)
        )

    async def _send(self, data: bytes) -> None:
        """Write the data of a response, and wait if the peer reads slowly."""
        self._writer.write(data)
        if not self._writer.transport.get_write_buffer_size():
            return
        async with asyncio.timeout(self._limits.idle_s):
            await self._writer.drain()


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
