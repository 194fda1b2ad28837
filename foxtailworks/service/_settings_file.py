"""Reads settings files in JSON into checked types."""

from collections import abc
import functools
import os
import pathlib
import typing

import msgspec

from foxtailworks import errors
from foxtailworks import logs

_EVENTS = logs.Events("service")

_T = typing.TypeVar("_T")


def settings_path(variable: str) -> pathlib.Path:
    """Return the path that an environment variable names.

    :raises FoxtailError: ``SETTINGS_UNREADABLE``
    """
    name = os.environ.get(variable)
    if not name:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_UNREADABLE, f"{variable} isn't set"
        )
    return pathlib.Path(name)


def load_settings(file: pathlib.Path, kind: type[_T]) -> _T:
    """Read and check the settings in a file.

    :param kind: ``msgspec.Struct`` with the fields; others are ignored
    :raises FoxtailError: ``SETTINGS_UNREADABLE``, ``SETTINGS_INVALID``
    """
    try:
        return msgspec.json.decode(file.read_bytes(), type=kind)
    except OSError as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_UNREADABLE, str(exc), file=file
        ) from exc
    except msgspec.MsgspecError as exc:
        raise errors.FoxtailError(
            errors.Code.SETTINGS_INVALID, str(exc), file=file
        ) from exc


def warn_unknown(
    what: str, names: abc.Iterable[str], known: abc.Set[str]
) -> None:
    """Log the names in a settings file that this release doesn't know.

    :param what: what the names stand for
    """
    for name in names:
        if name not in known:
            _warn_unknown(what, name)


@functools.lru_cache(maxsize=256)
def warn_missing(what: str, name: str) -> None:
    """Log a value without which a part of the settings has no effect.

    As for unknown names, once: the file is read again at each change.

    :param what: part of the settings
    """
    _EVENTS.warning("setting_missing", what=what, name=name)


@functools.lru_cache(maxsize=256)
def _warn_unknown(what: str, name: str) -> None:
    """Log a name that this release doesn't know, the first time."""
    _EVENTS.warning("setting_unknown", what=what, name=name)
