"""Mutual TLS: both sides present a certificate."""

from collections import abc
import ssl
import typing

from foxtailworks import errors
from foxtailworks import settings


def client_context(tls: settings.Tls) -> ssl.SSLContext:
    """Return the TLS context of the connecting side.

    :raises FoxtailError: ``SETTINGS_INVALID`` for unusable files
    """
    return _make(ssl.PROTOCOL_TLS_CLIENT, tls)


def server_context(
    tls: settings.Tls, on_refused: abc.Callable[[str], None]
) -> ssl.SSLContext:
    """Return the TLS context of the listening side.

    Peers must present a certificate that the authority signed.

    :param on_refused: called with the reason of each failed handshake
    :raises FoxtailError: ``SETTINGS_INVALID`` for unusable files
    """
    context = _make(ssl.PROTOCOL_TLS_SERVER, tls)
    context.verify_mode = ssl.CERT_REQUIRED
    context.sslobject_class = _reporting_session(on_refused)
    return context


def _make(protocol: int, tls: settings.Tls) -> ssl.SSLContext:
    """Return a context with the local certificate and the authority."""
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        context.load_verify_locations(tls.authority)
    except (OSError, ValueError) as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_INVALID,
            f"cannot load the certificate files: {exc}",
            certificate=tls.certificate,
            key=tls.key,
            authority=tls.authority,
        ) from exc
    return context


def _reporting_session(
    on_refused: abc.Callable[[str], None],
) -> type[ssl.SSLObject]:
    """Return a TLS session class that reports failed handshakes."""

    class ReportingSession(ssl.SSLObject):
        """Reports failed handshakes, which the event loop drops unlogged."""

        def do_handshake(self) -> None:
            """Perform the handshake; report the reason if it fails."""
            try:
                super().do_handshake()
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
                raise
            except ssl.SSLError as exc:
                on_refused(str(exc.reason))
                raise

    return typing.cast(type[ssl.SSLObject], ReportingSession)
