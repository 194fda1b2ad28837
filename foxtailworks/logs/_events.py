"""Formats events as lines of key=value pairs and logs them."""

from collections import abc
import contextlib
import enum
import functools
import json
import typing

import logbook

from foxtailworks import errors

MAX_VALUE_CHARS = 512
_QUOTED = frozenset(' "=\\')
_GROUP = logbook.LoggerGroup(level=logbook.INFO)


@functools.singledispatch
def _text(value: object) -> str:
    """Format the value of a field."""
    return str(value)


@_text.register
def _bytes_text(value: bytes) -> str:
    """Format bytes as hexadecimal digits."""
    return value.hex()


@_text.register
def _enum_text(value: enum.Enum) -> str:
    """Format an enum member as its value."""
    return str(value.value)


@_text.register
def _float_text(value: float) -> str:
    """Format a float with six significant digits."""
    return f"{value:.6g}"


def _quote(text: str) -> str:
    """Truncate and quote ``text``, so that it stays one field of one line."""
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    is_plain = text.isascii() and text.isprintable() and text
    if is_plain and _QUOTED.isdisjoint(text):
        return text
    return json.dumps(text)


def format_fields(fields: abc.Mapping[str, object]) -> str:
    """Return ``fields`` as key=value pairs on one line, quoted if needed."""
    return " ".join(f"{k}={_quote(_text(v))}" for k, v in fields.items())


class Events:
    """Logs the events of one component.

    :param name: of the component, logged as ``part=``
    """

    def __init__(self, name: str) -> None:
        self._logger = logbook.Logger(name)
        _GROUP.add_logger(self._logger)

    def debug(self, event: str, /, **fields: object) -> None:
        """Log an event for developers only."""
        self._log(logbook.DEBUG, event, fields)

    def info(self, event: str, /, **fields: object) -> None:
        """Log an event of normal operation."""
        self._log(logbook.INFO, event, fields)

    def warning(self, event: str, /, **fields: object) -> None:
        """Log an event that an operator should investigate."""
        self._log(logbook.WARNING, event, fields)

    def error(self, event: str, /, **fields: object) -> None:
        """Log an event that needs action by an operator."""
        self._log(logbook.ERROR, event, fields)

    def failed(self, event: str, exc: errors.FoxtailError, /) -> None:
        """Log a ``FoxtailError`` with its context, as a warning."""
        fields = {**exc.context, "code": exc.code, "detail": exc.detail}
        self._log(logbook.WARNING, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, object]) -> None:
        """Log an event; format it only if its level is enabled."""
        if level >= _GROUP.level:
            pairs = format_fields({"event": event, **fields})
            self._logger.log(level, pairs)


def _format_record(record: typing.Any, _handler: object) -> str:
    """Return the log line of a record."""
    time = record.time.isoformat(timespec="milliseconds")
    level = record.level_name.lower()
    return f"time={time}Z level={level} part={record.channel} {record.msg}"


class Writable(typing.Protocol):
    """Stream that log lines are written to."""

    def write(self, text: str, /) -> int:
        """Write one log line."""

    def flush(self) -> None:
        """Write out all buffered lines."""


@contextlib.contextmanager
def logging_to(stream: Writable, level: str) -> abc.Iterator[None]:
    """Log events of ``level`` and above to ``stream``.

    :param level: ``debug``, ``info``, ``warning`` or ``error``
    """
    before = _GROUP.level
    _GROUP.level = logbook.lookup_level(level.upper())
    handler = logbook.StreamHandler(stream, level=_GROUP.level)
    handler.formatter = _format_record
    try:
        with handler.applicationbound():
            yield
    finally:
        _GROUP.level = before
