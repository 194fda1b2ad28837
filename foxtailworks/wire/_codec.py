"""CBOR codec over a closed, numbered set of dataclasses."""

import typing

import cbor2

from foxtailworks import errors
from foxtailworks.wire import _fields

DEFAULT_LIMIT_BYTES = 1 << 20


class Codec:
    """Encodes and decodes a closed set of message types.

    :param messages: message number -> frozen dataclass
    :param limit: largest accepted message in bytes
    """

    def __init__(
        self,
        messages: typing.Mapping[int, type],
        limit: int = DEFAULT_LIMIT_BYTES,
    ) -> None:
        self._types = dict(messages)
        self._numbers = {kind: number for number, kind in messages.items()}
        self._limit = limit

    def encode(self, msg: object) -> bytes:
        """Encode ``msg`` as CBOR: ``[number, [field, ...]]``."""
        kind: typing.Any = type(msg)
        number = self._numbers[kind]
        write = _fields.writer(kind)
        assert write is not None
        return cbor2.dumps([number, write(msg)])

    def decode(self, data: bytes) -> typing.Any:
        """Decode one message.

        :raises FoxtailError: ``MESSAGE_TOO_LARGE``, ``MESSAGE_MALFORMED``
        """
        if len(data) > self._limit:
            raise errors.FoxtailError(
                errors.Code.MESSAGE_TOO_LARGE,
                "message exceeds its limit",
                size=len(data),
                limit=self._limit,
            )
        try:
            number, body = cbor2.loads(data)
            return _fields.reader(self._types[number])(body)
        except Exception as exc:
            # On malformed input the libraries may raise any exception.
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED,
                "message cannot be decoded",
                reason=type(exc).__name__,
            ) from exc
