"""Readers and writers of the values of typed fields.

A dataclass is an array of its fields' values.  Values that contain no
dataclass are checked and converted by msgspec, which reads and writes other
dataclasses as maps only.
"""

from collections import abc
import dataclasses
import enum
import functools
import operator
import types
import typing

import msgspec

Read: typing.TypeAlias = abc.Callable[[typing.Any], typing.Any]
"""Function that returns a value of a type; raises for any other one."""
Write: typing.TypeAlias = abc.Callable[[typing.Any], typing.Any]
"""Function that returns a value as primitives and arrays."""

_Values = abc.Sequence[typing.Any]
_UNIONS = (typing.Union, types.UnionType)


@functools.cache
def reader(kind: typing.Any) -> Read:
    """Return the function that reads a type, made once for each.

    Values of this release are checked as a whole; those of releases with
    other fields field by field.

    :raises TypeError: for a type that messages can't have
    """
    check = _checker(_shape(kind))
    build = _builder(kind) or _unchanged
    if not _contains(kind, _is_message):
        return check
    read_parts = _parts_reader(kind)

    def read(value: typing.Any) -> typing.Any:
        try:
            checked = check(value)
        except msgspec.ValidationError:
            return read_parts(value)
        return build(checked)

    return read


@functools.cache
def writer(kind: typing.Any) -> Write | None:
    """Return the function that writes a type; None if values stay as they are.

    :raises TypeError: for a type that messages can't have
    """
    if _is_message(kind):
        return _dataclass_writer(kind)
    if _is_enum(kind):
        return operator.attrgetter("value")
    if not _contains(kind, _is_written_otherwise):
        return None
    return _nested(kind, lambda item: writer(item) or _unchanged, tuple)


def _checker(kind: typing.Any) -> Read:
    """Return the function that checks and converts a value."""
    return functools.partial(
        msgspec.convert, type=kind, strict=True, builtin_types=(bytes,)
    )


def _shape(kind: typing.Any) -> typing.Any:
    """Return a type with a tuple in place of each dataclass."""
    maker: typing.Any = tuple
    if _is_message(kind):
        return maker[tuple(_shape(item) for item in _field_types(kind))]
    args = typing.get_args(kind)
    if not args:
        return kind
    shapes = tuple(i if i is Ellipsis else _shape(i) for i in args)
    if typing.get_origin(kind) in _UNIONS:
        maker = typing.Union
    return maker[shapes]


@functools.cache
def _builder(kind: typing.Any) -> Read | None:
    """Return the function that makes dataclasses of a checked value.

    :returns: None if values stay as they are
    """
    if not _contains(kind, _is_message):
        return None
    if not _is_message(kind):
        return _nested(kind, lambda item: _builder(item) or _unchanged, tuple)
    builders = [_builder(item) for item in _field_types(kind)]
    changing = [(i, item) for i, item in enumerate(builders) if item]
    if not changing:
        return lambda values: kind(*values)

    def build(values: _Values) -> typing.Any:
        parts = list(values)
        for index, build_one in changing:
            parts[index] = build_one(parts[index])
        return kind(*parts)

    return build


def _parts_reader(kind: typing.Any) -> Read:
    """Return the reader of a value whose dataclasses have other fields.

    Fields that are missing at the end get their defaults, and further ones
    are ignored, as releases add fields at the end.
    """
    if not _is_message(kind):
        return _nested(kind, reader, _read_array)
    readers = [reader(item) for item in _field_types(kind)]

    def read(values: typing.Any) -> typing.Any:
        pairs = zip(readers, _read_array(values), strict=False)
        return kind(*[read_one(value) for read_one, value in pairs])

    return read


def _dataclass_writer(kind: type) -> Write:
    """Return the writer of a dataclass, which copies most values."""
    names = [item.name for item in dataclasses.fields(kind)]
    writers = [writer(item) for item in _field_types(kind)]
    changing = [(i, item) for i, item in enumerate(writers) if item]

    def write(value: typing.Any) -> list[typing.Any]:
        values = [getattr(value, name) for name in names]
        for index, write_one in changing:
            values[index] = write_one(values[index])
        return values

    return write


def _nested(
    kind: typing.Any,
    function_of: abc.Callable[[typing.Any], abc.Callable[..., typing.Any]],
    check: abc.Callable[[typing.Any], _Values],
) -> abc.Callable[[typing.Any], typing.Any]:
    """Return the function for a tuple or an optional value.

    :param function_of: returns the function for the type of an item
    :param check: returns the items of an array
    """
    args = typing.get_args(kind)
    if typing.get_origin(kind) in _UNIONS:
        (inner,) = (item for item in args if item is not types.NoneType)
        function = function_of(inner)
        return lambda value: None if value is None else function(value)
    if typing.get_origin(kind) is not tuple:
        raise TypeError(f"{kind} can't be a field of a message")
    if args[-1] is Ellipsis:
        function = function_of(args[0])
        return lambda value: tuple([function(i) for i in check(value)])
    functions = [function_of(item) for item in args]
    return lambda value: tuple(
        [f(i) for f, i in zip(functions, check(value), strict=True)]
    )


def _field_types(kind: type) -> list[typing.Any]:
    """Return the types of a dataclass's fields in their order."""
    hints = typing.get_type_hints(kind)
    return [hints[item.name] for item in dataclasses.fields(kind)]


def _contains(
    kind: typing.Any, matches: abc.Callable[[typing.Any], bool]
) -> bool:
    """Return whether a type or one of its arguments matches."""
    if matches(kind):
        return True
    return any(_contains(item, matches) for item in typing.get_args(kind))


def _is_message(kind: typing.Any) -> bool:
    """Return whether a type is a dataclass."""
    return dataclasses.is_dataclass(kind)


def _is_enum(kind: typing.Any) -> bool:
    """Return whether a type is an enum."""
    return isinstance(kind, type) and issubclass(kind, enum.Enum)


def _is_written_otherwise(kind: typing.Any) -> bool:
    """Return whether values of a type aren't written as they are."""
    return _is_enum(kind) or _is_message(kind)


def _read_array(values: typing.Any) -> _Values:
    """Return the items of an array.

    :raises TypeError: for another type, such as a text, which has items too
    """
    if not isinstance(values, list | tuple):
        raise TypeError("expected an array")
    return values


def _unchanged(value: typing.Any) -> typing.Any:
    """Return a value that is written as it is."""
    return value
