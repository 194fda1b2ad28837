"""Client side of a link: connects to a listening process."""

from collections import abc
import contextlib
import ssl

from websockets.asyncio import client
from websockets import exceptions

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.links import _library_log
from foxtailworks.links import _link
from foxtailworks.links import _tls
from foxtailworks import observe
from foxtailworks import settings
from foxtailworks import wire

DEFAULT_TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def dial(
    address: ids.Address,
    codec: wire.Codec,
    tls: settings.Tls | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    metrics: observe.Metrics | None = None,
) -> abc.AsyncIterator[_link.Link]:
    """Open a link to ``address`` and close it when the block ends.

    :param timeout_s: limit for connecting and the handshake, in seconds
    :raises FoxtailError: ``LINK_REFUSED``, ``LINK_LOST``
    """
    conn = await _connect(address, tls, timeout_s)
    link = _link.Link(conn, codec, metrics or observe.Metrics())
    try:
        yield link
    finally:
        await link.close()


async def _connect(
    address: ids.Address, tls: settings.Tls | None, timeout_s: float
) -> client.ClientConnection:
    """Open a websocket and translate failures into ``FoxtailError``."""
    context = _tls.client_context(tls) if tls else None
    scheme = "wss" if tls else "ws"
    try:
        return await client.connect(
            f"{scheme}://{address}",
            ssl=context,
            proxy=None,
            open_timeout=timeout_s,
            **_link.CONNECTION_OPTIONS,
            logger=_library_log.logger(lambda: None),
        )
    except (exceptions.InvalidHandshake, ssl.SSLError) as exc:
        raise _handshake_error(address, exc) from exc
    except (OSError, EOFError) as exc:
        if tls and isinstance(exc, ConnectionResetError):
            raise _handshake_error(address, exc) from exc
        raise errors.FoxtailError(
            errors.Code.LINK_LOST,
            "cannot connect to the address",
            address=address,
            reason=str(exc) or type(exc).__name__,
        ) from exc


def _handshake_error(
    address: ids.Address, exc: Exception
) -> errors.FoxtailError:
    """Return the error for a handshake that failed."""
    if isinstance(exc, ssl.SSLCertVerificationError):
        detail = "the peer's certificate is not trusted"
    elif isinstance(exc, exceptions.InvalidStatus):
        detail = "the peer accepts no more links"
    else:
        detail = (
            "the peer ended the handshake: it does not accept the local"
            " certificate, or only one side uses TLS"
        )
    return errors.FoxtailError(
        errors.Code.LINK_REFUSED, detail, address=address, reason=exc
    )
