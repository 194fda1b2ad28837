"""Reads a settings file and names what is wrong in it."""

import pathlib
import typing

import pydantic
import pyjson5

from foxtailworks import errors

MAX_FILE_BYTES = 1 << 20
MAX_DEPTH = 32
MAX_SHOWN = 20

T = typing.TypeVar("T")


def load(path: str | pathlib.Path, kind: type[T]) -> T:
    """Return the settings of ``kind`` in the file at ``path``.

    :raises FoxtailError: ``SETTINGS_UNREADABLE``, ``SETTINGS_INVALID``
    """
    return parse(_read(pathlib.Path(path)), kind, pathlib.Path(path))


def parse(text: str, kind: type[T], path: pathlib.Path) -> T:
    """Return the settings of ``kind`` in ``text``.

    :param path: named in errors; its folder is what file names in the
        settings are relative to
    :raises FoxtailError: ``SETTINGS_UNREADABLE``, ``SETTINGS_INVALID``
    """
    adapter = pydantic.TypeAdapter(kind)
    try:
        return adapter.validate_python(
            _decode(text, path), context=path.parent
        )
    except pydantic.ValidationError as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_INVALID, _explain(exc, kind), file=path
        ) from None


def _read(path: pathlib.Path) -> str:
    """Return the text of a file of bounded size."""
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
    """Return what the JSON with comments holds."""
    try:
        return pyjson5.decode(text, MAX_DEPTH)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_UNREADABLE,
            f"not JSON with comments: {exc}",
            file=path,
        ) from exc


def _explain(exc: pydantic.ValidationError, kind: type) -> str:
    """Return each wrong field with its path and the allowed values."""
    found = exc.errors(include_url=False, include_input=False)
    lines = [_explain_one(item, kind) for item in found[:MAX_SHOWN]]
    if len(found) > MAX_SHOWN:
        lines.append(f"and {len(found) - MAX_SHOWN} more")
    return "; ".join(lines)


def _explain_one(item: typing.Any, kind: type) -> str:
    """Return one wrong field."""
    where = ".".join(str(part) for part in item["loc"]) or "(top)"
    if item["type"] == "unexpected_keyword_argument":
        return f"{where}: unknown field; allowed: {_names(kind, item['loc'])}"
    return f"{where}: {item['msg']}"


def _names(kind: type, loc: tuple[int | str, ...]) -> str:
    """Return the fields that are allowed where ``loc`` points into."""
    for part in loc[:-1]:
        field = getattr(kind, "__dataclass_fields__", {}).get(part)
        kind = _dataclass_in(field.type) if field else kind
    return ", ".join(getattr(kind, "__dataclass_fields__", {}))


def _dataclass_in(annotation: typing.Any) -> type:
    """Return the dataclass in an annotation such as ``Tls | None``."""
    options = typing.get_args(annotation) or (annotation,)
    found = (o for o in options if hasattr(o, "__dataclass_fields__"))
    return next(found, object)
