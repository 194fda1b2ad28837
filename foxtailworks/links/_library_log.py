"""Keeps the websocket library's own log out of the program's."""

from collections import abc
import logging


class _ErrorHandler(logging.Handler):
    """Reports each error and prints nothing."""

    def __init__(self, on_error: abc.Callable[[], None]) -> None:
        super().__init__(logging.ERROR)
        self._on_error = on_error

    def emit(self, record: logging.LogRecord) -> None:
        """Report that a handshake or a handler failed."""
        self._on_error()


def logger(on_error: abc.Callable[[], None]) -> logging.Logger:
    """Return a logger that stands outside the tree of loggers."""
    result = logging.Logger("links", logging.ERROR)
    result.addHandler(_ErrorHandler(on_error))
    return result
