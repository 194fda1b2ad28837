"""CBOR codec over a closed, numbered set of dataclasses."""

from collections import abc
import dataclasses
import typing

import cattrs
import cbor2

from foxtailworks import errors

DEFAULT_LIMIT_BYTES = 1 << 20


def _primitive(value: object, kind: type) -> object:
    """Refuse a primitive of another type instead of converting it."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}")
    return value


def _reader_of(
    converter: cattrs.Converter, kind: type
) -> abc.Callable[[typing.Sequence[typing.Any], typing.Any], typing.Any]:
    """Return a function that builds a dataclass from its fields' values.

    The hooks are found once a class: hosts read dozens of messages a
    second, each with many small values.
    """
    hints = typing.get_type_hints(kind)
    types = [hints[item.name] for item in dataclasses.fields(kind)]
    hooks = [(converter.get_structure_hook(item), item) for item in types]

    def read(values: typing.Sequence[typing.Any], _: typing.Any) -> typing.Any:
        pairs = zip(hooks, values, strict=False)
        return kind(*[hook(value, part) for (hook, part), value in pairs])

    return read


def _make_converter() -> cattrs.Converter:
    """Return a converter that writes dataclasses as compact arrays."""
    converter = cattrs.Converter(
        unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
        detailed_validation=False,
    )
    for kind in (int, str, bytes, bool, float):
        converter.register_structure_hook(kind, _primitive)
    converter.register_unstructure_hook(bytes, lambda value: value)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass, lambda kind: _reader_of(converter, kind)
    )
    return converter


class Codec:
    """Encodes and decodes a closed set of message types.

    :param messages: number on the wire -> frozen dataclass
    :param limit: largest accepted message in bytes
    """

    def __init__(
        self,
        messages: typing.Mapping[int, type],
        limit: int = DEFAULT_LIMIT_BYTES,
    ) -> None:
        self._types = dict(messages)
        self._tags = {kind: tag for tag, kind in messages.items()}
        self._limit = limit
        self._converter = _make_converter()

    def encode(self, msg: object) -> bytes:
        """Return ``msg`` as CBOR: ``[number, [field, ...]]``."""
        tag = self._tags[type(msg)]
        return cbor2.dumps([tag, self._converter.unstructure(msg)])

    def decode(self, data: bytes) -> typing.Any:
        """Return the message in ``data``.

        :raises FoxtailError: ``MESSAGE_TOO_LARGE``, ``MESSAGE_MALFORMED``
        """
        if len(data) > self._limit:
            raise errors.FoxtailError(
                errors.Code.MESSAGE_TOO_LARGE,
                "message over its limit",
                size=len(data),
                limit=self._limit,
            )
        try:
            tag, body = cbor2.loads(data)
            return self._converter.structure(body, self._types[tag])
        except Exception as exc:
            # A hostile message may raise anything from the libraries.
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED,
                "message can't be read",
                reason=type(exc).__name__,
            ) from exc
