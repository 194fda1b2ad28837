"""CBOR codec over a closed, numbered set of dataclasses."""

from collections import abc
import dataclasses
import typing

import cattrs
import cbor2

from foxtailworks import errors

DEFAULT_LIMIT_BYTES = 1 << 20


def _check_primitive(value: object, kind: type) -> object:
    """Return a primitive; reject another type instead of converting it."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}")
    return value


def _make_reader(
    converter: cattrs.Converter, kind: type
) -> abc.Callable[[typing.Sequence[typing.Any], typing.Any], typing.Any]:
    """Return a function that builds a dataclass from its fields' values.

    The hooks are looked up once for each class: hosts decode dozens of
    messages a second, each with many small values.
    """
    hints = typing.get_type_hints(kind)
    types = [hints[item.name] for item in dataclasses.fields(kind)]
    hooks = [(converter.get_structure_hook(item), item) for item in types]

    def read(values: typing.Sequence[typing.Any], _: typing.Any) -> typing.Any:
        pairs = zip(hooks, values, strict=False)
        return kind(*[hook(value, part) for (hook, part), value in pairs])

    return read


def _make_writer(
    converter: cattrs.Converter, kind: type
) -> abc.Callable[[typing.Any], list[typing.Any]]:
    """Return a function that returns the fields' values of a dataclass.

    The hooks are looked up once for each class and left out where they return
    their argument: a coordinator encodes tables of thousands of instances.
    """
    hints = typing.get_type_hints(kind)
    names = [item.name for item in dataclasses.fields(kind)]
    hooks = [
        (index, converter.get_unstructure_hook(hints[name]))
        for index, name in enumerate(names)
    ]
    changing = [(i, hook) for i, hook in hooks if hook is not _unchanged]

    def write(value: typing.Any) -> list[typing.Any]:
        values = [getattr(value, name) for name in names]
        for index, hook in changing:
            values[index] = hook(values[index])
        return values

    return write


def _unchanged(value: typing.Any) -> typing.Any:
    """Return a primitive, which is encoded as it is."""
    return value


def _make_converter() -> cattrs.Converter:
    """Return a converter that encodes dataclasses as arrays of values."""
    converter = cattrs.Converter(
        unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
        detailed_validation=False,
    )
    for kind in (int, str, bytes, bool, float):
        converter.register_structure_hook(kind, _check_primitive)
        converter.register_unstructure_hook(kind, _unchanged)
    converter.register_unstructure_hook_factory(
        dataclasses.is_dataclass, lambda kind: _make_writer(converter, kind)
    )
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass, lambda kind: _make_reader(converter, kind)
    )
    return converter


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
        self._converter = _make_converter()

    def encode(self, msg: object) -> bytes:
        """Encode ``msg`` as CBOR: ``[number, [field, ...]]``."""
        number = self._numbers[type(msg)]
        return cbor2.dumps([number, self._converter.unstructure(msg)])

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
            return self._converter.structure(body, self._types[number])
        except Exception as exc:
            # On malformed input the libraries may raise any exception.
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED,
                "message cannot be decoded",
                reason=type(exc).__name__,
            ) from exc
