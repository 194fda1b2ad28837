"""TLS with certificates on both sides."""

from collections import abc
import ssl
import typing

from foxtailworks import errors
from foxtailworks import settings


def client_context(tls: settings.Tls) -> ssl.SSLContext:
    """Return what a dialling side needs.

    :raises FoxtailError: ``SETTINGS_INVALID`` for unusable files
    """
    return _make(ssl.PROTOCOL_TLS_CLIENT, tls)


def server_context(
    tls: settings.Tls, on_refused: abc.Callable[[str], None]
) -> ssl.SSLContext:
    """Return what a listening side needs; peers must have certificates.

    :param on_refused: called with the reason of each failed handshake
    :raises FoxtailError: ``SETTINGS_INVALID`` for unusable files
    """
    context = _make(ssl.PROTOCOL_TLS_SERVER, tls)
    context.verify_mode = ssl.CERT_REQUIRED
    context.sslobject_class = _watched(on_refused)
    return context


def _make(protocol: int, tls: settings.Tls) -> ssl.SSLContext:
    """Return a context with this side's certificate and the authority."""
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        context.load_verify_locations(tls.authority)
    except (OSError, ValueError) as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_INVALID,
            f"certificate files can't be used: {exc}",
            certificate=tls.certificate,
            key=tls.key,
            authority=tls.authority,
        ) from exc
    return context


def _watched(
    on_refused: abc.Callable[[str], None],
) -> type[ssl.SSLObject]:
    """Return a class of TLS sessions that reports failed handshakes."""

    class Watched(ssl.SSLObject):
        """The loop itself drops a failed handshake without a word."""

        def do_handshake(self) -> None:
            """Shake hands, or report why not."""
            try:
                super().do_handshake()
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
                raise
            except ssl.SSLError as exc:
                on_refused(str(exc.reason))
                raise

    return typing.cast(type[ssl.SSLObject], Watched)
