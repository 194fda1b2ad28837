"""An open link: typed messages over one websocket."""

import asyncio
from collections import abc
import typing

from websockets.asyncio import connection
from websockets import exceptions

from foxtailworks import errors
from foxtailworks import observe
from foxtailworks import wire

MAX_MESSAGE_BYTES = 1 << 20
MAX_QUEUED_MESSAGES = 64
# An unresponsive peer is detected within the sum of both, which leaves time
# to fetch an edit from another peer: it must be in force within 4 s.
PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.5
CLOSE_TIMEOUT_S = 2.0
CONNECTION_OPTIONS: dict[str, typing.Any] = {
    "compression": None,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "max_size": MAX_MESSAGE_BYTES,
    "max_queue": MAX_QUEUED_MESSAGES,
}
"""Options of a websocket at both of its ends."""

# Close codes of RFC 6455.
_POLICY_VIOLATION = 1008
_TOO_BIG = 1009


class Link:
    """Sends and receives typed messages over one websocket.

    :param conn: the open websocket
    :param codec: encodes and decodes the messages of this kind of link
    :param metrics: counts malformed messages
    """

    def __init__(
        self,
        conn: connection.Connection,
        codec: wire.Codec,
        metrics: observe.Metrics,
    ) -> None:
        self._conn = conn
        self._codec = codec
        self._metrics = metrics
        self._request_lock = asyncio.Lock()
        self.peer = str(conn.remote_address)
        """Remote address, as text for logs and errors."""

    async def send(self, msg: object) -> None:
        """Send ``msg``; wait while the peer's receive buffer is full.

        :raises FoxtailError: ``LINK_LOST``, ``MESSAGE_TOO_LARGE``
        """
        data = self._codec.encode(msg)
        if len(data) > MAX_MESSAGE_BYTES:
            raise errors.FoxtailError(
                errors.Code.MESSAGE_TOO_LARGE,
                "message over the limit of a link",
                size=len(data),
                limit=MAX_MESSAGE_BYTES,
            )
        try:
            await self._conn.send(data)
        except exceptions.ConnectionClosed as exc:
            raise self._lost(exc) from exc

    async def recv(self) -> typing.Any:
        """Wait for the next message and return it.

        :raises FoxtailError: ``LINK_LOST``; ``MESSAGE_MALFORMED`` and
            ``MESSAGE_TOO_LARGE`` also close the link
        """
        try:
            data = await self._conn.recv()
        except exceptions.ConnectionClosed as exc:
            raise self._lost(exc) from exc
        try:
            return self._codec.decode(_binary_frame(data))
        except errors.FoxtailError as exc:
            self._metrics.count(observe.Counter.LINKS_MALFORMED)
            await self._conn.close(_POLICY_VIOLATION, f"{exc.code.value}")
            raise

    async def __aiter__(self) -> abc.AsyncIterator[typing.Any]:
        """Yield received messages until the link is closed."""
        while True:
            try:
                msg = await self.recv()
            except errors.FoxtailError as exc:
                if exc.code is errors.Code.LINK_LOST:
                    return
                raise
            yield msg

    async def request(self, msg: object, timeout_s: float) -> typing.Any:
        """Send ``msg`` and return the next message as its answer.

        Requests of one link run one at a time.  If one fails or times out,
        the link is aborted: otherwise a late answer could be taken for the
        answer to the next request.

        :param timeout_s: limit for sending and the answer, in seconds

        :raises FoxtailError: ``LINK_LOST`` and the errors of :meth:`recv`
        """
        async with self._request_lock:
            try:
                async with asyncio.timeout(timeout_s):
                    await self.send(msg)
                    return await self.recv()
            except BaseException as exc:
                self.abort()
                if isinstance(exc, TimeoutError):
                    raise errors.FoxtailError(
                        errors.Code.LINK_LOST,
                        "the request timed out",
                        peer=self.peer,
                        timeout_s=timeout_s,
                    ) from exc
                raise

    async def close(self) -> None:
        """Close the link; wait at most ``CLOSE_TIMEOUT_S`` for the peer."""
        await self._conn.close()

    def abort(self) -> None:
        """Drop the connection without a closing handshake."""
        self._conn.transport.abort()

    def _lost(self, exc: exceptions.ConnectionClosed) -> errors.FoxtailError:
        """Return the error for a connection that was closed."""
        if exc.sent and exc.sent.code == _TOO_BIG:
            self._metrics.count(observe.Counter.LINKS_MALFORMED)
            return errors.FoxtailError(
                errors.Code.MESSAGE_TOO_LARGE,
                "message over the limit of a link",
                peer=self.peer,
                limit=MAX_MESSAGE_BYTES,
            )
        closed = exc.rcvd or exc.sent
        reason = (
            f"{closed.code} {closed.reason}"
            if closed
            else "connection aborted"
        )
        return errors.FoxtailError(
            errors.Code.LINK_LOST,
            "the link was closed",
            peer=self.peer,
            reason=reason.strip(),
        )


def _binary_frame(data: str | bytes) -> bytes:
    """Return the data of a binary frame; reject a text frame."""
    if isinstance(data, str):
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED,
            "expected a binary frame, received text",
        )
    return data
