"""Loads settings files and reports every invalid field."""

import pathlib
import typing

import pydantic
import pyjson5

from foxtailworks import errors

MAX_FILE_BYTES = 1 << 20
MAX_DEPTH = 32
MAX_LISTED_ERRORS = 20

T = typing.TypeVar("T")


def load(path: str | pathlib.Path, kind: type[T]) -> T:
    """Load the file at ``path`` and check it against ``kind``.

    :param kind: the dataclass that describes the settings
    :raises FoxtailError: ``SETTINGS_UNREADABLE``, ``SETTINGS_INVALID``
    """
    return parse(_read(pathlib.Path(path)), kind, pathlib.Path(path))


def parse(text: str, kind: type[T], path: pathlib.Path) -> T:
    """Check ``text`` against ``kind`` and return the settings.

    :param kind: the dataclass that describes the settings
    :param path: named in errors; file names in the settings are relative
        to its folder
    :raises FoxtailError: ``SETTINGS_UNREADABLE``, ``SETTINGS_INVALID``
    """
    adapter = pydantic.TypeAdapter(kind)
    try:
        return adapter.validate_python(
            _decode(text, path), context=path.parent
        )
    except pydantic.ValidationError as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_INVALID,
            _describe_errors(exc, kind),
            file=path,
        ) from None


def _read(path: pathlib.Path) -> str:
    """Return the text of a file; its size is bounded.

    :raises FoxtailError: ``SETTINGS_UNREADABLE``
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
        return data.decode("utf-8")
    except (OSError, ValueError) as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_UNREADABLE, str(exc), file=path
        ) from exc


def _decode(text: str, path: pathlib.Path) -> object:
    """Decode JSON with comments.

    :raises FoxtailError: ``SETTINGS_UNREADABLE``
    """
    try:
        return pyjson5.decode(text, MAX_DEPTH)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_UNREADABLE,
            f"not JSON with comments: {exc}",
            file=path,
        ) from exc


def _describe_errors(exc: pydantic.ValidationError, kind: type) -> str:
    """Describe each invalid field, its path and the allowed values."""
    problems = exc.errors(include_url=False, include_input=False)
    lines = [
        _describe_error(problem, kind)
        for problem in problems[:MAX_LISTED_ERRORS]
    ]
    if len(problems) > MAX_LISTED_ERRORS:
        lines.append(f"and {len(problems) - MAX_LISTED_ERRORS} more")
    return "; ".join(lines)


def _describe_error(problem: typing.Any, kind: type) -> str:
    """Describe one invalid field."""
    path = ".".join(str(part) for part in problem["loc"]) or "(top)"
    if problem["type"] == "unexpected_keyword_argument":
        return (
            f"{path}: unknown field; allowed: {_fields(kind, problem['loc'])}"
        )
    return f"{path}: {problem['msg']}"


def _fields(kind: type, loc: tuple[int | str, ...]) -> str:
    """Return the names of the fields allowed in the part at ``loc``."""
    for part in loc[:-1]:
        field = getattr(kind, "__dataclass_fields__", {}).get(part)
        kind = _dataclass_in(field.type) if field else kind
    return ", ".join(getattr(kind, "__dataclass_fields__", {}))


def _dataclass_in(annotation: typing.Any) -> type:
    """Return the dataclass in an annotation such as ``Tls | None``.

    :return: ``object`` when there is none
    """
    options = typing.get_args(annotation) or (annotation,)
    dataclasses = (o for o in options if hasattr(o, "__dataclass_fields__"))
    return next(dataclasses, object)
