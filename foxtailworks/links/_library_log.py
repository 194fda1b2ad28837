"""Keeps the websocket library's log records out of the process's log."""

from collections import abc
import logging


class _ErrorHandler(logging.Handler):
    """Calls back for each error record and writes nothing."""

    def __init__(self, on_error: abc.Callable[[], None]) -> None:
        super().__init__(logging.ERROR)
        self._on_error = on_error

    def emit(self, record: logging.LogRecord) -> None:
        """Report a failed handshake or connection handler."""
        self._on_error()


def logger(on_error: abc.Callable[[], None]) -> logging.Logger:
    """Return a logger for the library, detached from the root logger.

    :param on_error: called for each record of level ``ERROR`` or above
    """
    result = logging.Logger("links", logging.ERROR)
    result.addHandler(_ErrorHandler(on_error))
    return result
