"""Server side of links: accepts connections and runs their handlers."""

import asyncio
from collections import abc
import contextlib
import http

from websockets.asyncio import server
from websockets import http11

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.links import _library_log
from foxtailworks.links import _link
from foxtailworks.links import _tls
from foxtailworks import observe
from foxtailworks import settings
from foxtailworks import wire

MAX_LINKS = 1024
OPEN_TIMEOUT_S = 5.0

Handler = abc.Callable[[_link.Link], abc.Awaitable[None]]

_EVENTS = observe.Events("links")


@contextlib.asynccontextmanager
async def serve(
    address: ids.Address,
    codec: wire.Codec,
    handler: Handler,
    tls: settings.Tls | None = None,
    metrics: observe.Metrics | None = None,
    max_links: int = MAX_LINKS,
) -> abc.AsyncIterator[None]:
    """Listen on ``address`` and run ``handler`` for each link.

    A link is closed when its handler returns.  When the block ends, all
    links are closed; handlers still running after ``CLOSE_TIMEOUT_S`` are
    cancelled.

    :raises FoxtailError: ``LINK_LOST`` if listening on the address fails
    """
    listener = _Listener(codec, handler, metrics, max_links)
    context = _tls.server_context(tls, listener.on_rejected) if tls else None
    try:
        running = await server.serve(
            listener.run,
            address.ip,
            address.port,
            ssl=context,
            process_request=listener.admit,
            open_timeout=OPEN_TIMEOUT_S,
            **_link.CONNECTION_OPTIONS,
            logger=_library_log.logger(
                lambda: listener.on_rejected("handshake")
            ),
        )
    except OSError as exc:
        raise errors.FoxtailError(
            errors.Code.LINK_LOST,
            "cannot listen on the address",
            address=address,
            reason=exc,
        ) from exc
    try:
        yield
    finally:
        running.close()
        await listener.wait_for_handlers()
        await running.wait_closed()


class _Listener:
    """Runs a handler for each link and isolates the failures of handlers."""

    def __init__(
        self,
        codec: wire.Codec,
        handler: Handler,
        metrics: observe.Metrics | None,
        max_links: int,
    ) -> None:
        self._codec = codec
        self._handler = handler
        self._metrics = metrics or observe.Metrics()
        self._max_links = max_links
        self._tasks: set[asyncio.Task[None]] = set()

    def on_rejected(self, reason: str) -> None:
        """Count and log a connection that was rejected."""
        self._metrics.count(observe.Counter.LINKS_REFUSED)
        _EVENTS.warning(
            "link_refused",
            code=errors.Code.LINK_REFUSED.value,
            reason=reason,
        )

    def admit(
        self, conn: server.ServerConnection, _req: http11.Request
    ) -> http11.Response | None:
        """Reject a connection with 503 when too many links are open."""
        if len(self._tasks) < self._max_links:
            return None
        self.on_rejected("too many links")
        return conn.respond(
            http.HTTPStatus.SERVICE_UNAVAILABLE, "too many links\n"
        )

    async def run(self, conn: server.ServerConnection) -> None:
        """Run the handler for one accepted connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._metrics.count(observe.Counter.LINKS_ACCEPTED)
        try:
            await self._run_handler(
                _link.Link(conn, self._codec, self._metrics)
            )
        finally:
            self._tasks.discard(task)

    async def _run_handler(self, link: _link.Link) -> None:
        """Run the handler; log what it raises, so that other links go on."""
        try:
            await self._handler(link)
        except errors.FoxtailError as exc:
            if exc.code is errors.Code.LINK_LOST:
                self._metrics.count(observe.Counter.LINKS_LOST)
            _EVENTS.failed("link_ended", exc)
        except Exception as exc:
            self._metrics.count(observe.Counter.LINKS_FAILED)
            _EVENTS.error(
                "link_failed",
                code=errors.Code.INTERNAL.value,
                peer=link.peer,
                reason=repr(exc),
            )

    async def wait_for_handlers(self) -> None:
        """Wait at most ``CLOSE_TIMEOUT_S`` for handlers, then cancel them."""
        if not self._tasks:
            return
        _, running = await asyncio.wait(
            self._tasks, timeout=_link.CLOSE_TIMEOUT_S
        )
        for task in running:
            task.cancel()
