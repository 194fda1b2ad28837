"""Validated field types shared by all settings files."""

import pathlib
import typing

import pydantic

from foxtailworks import errors
from foxtailworks import ids

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_ADDRESSES = 1024


def _read_address(value: object) -> ids.Address:
    """Parse ``ip:port``; an address passes unchanged.

    :raises ValueError: anything else
    """
    if isinstance(value, ids.Address):
        return value
    if not isinstance(value, str):
        raise ValueError('allowed: "ip:port" with an IP number')
    try:
        return ids.Address.parse(value)
    except errors.FoxtailError as exc:
        raise ValueError(
            f'{exc.detail}; allowed: "ip:port" with an IP number and a'
            " port of 1 to 65535"
        ) from exc


def _read_key(value: object) -> bytes:
    """Decode a key from hexadecimal digits; bytes pass unchanged.

    :raises ValueError: not hexadecimal, or a length out of bounds
    """
    if isinstance(value, bytes):
        return value
    try:
        key = bytes.fromhex(str(value))
    except ValueError:
        key = b""
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        # The message must not repeat the key: it is a secret.
        raise ValueError(
            f"allowed: {2 * MIN_KEY_BYTES} to {2 * MAX_KEY_BYTES}"
            " hexadecimal digits"
        )
    return key


def _resolve_path(
    value: object, info: pydantic.ValidationInfo
) -> pathlib.Path:
    """Return a path; a relative one starts at the settings file's folder.

    :raises ValueError: not a path
    """
    if not isinstance(value, str | pathlib.Path) or not str(value):
        raise ValueError("allowed: a path, as a non-empty string")
    if "\0" in str(value):
        raise ValueError("allowed: a path without a zero byte")
    folder = info.context if isinstance(info.context, pathlib.Path) else None
    return (folder or pathlib.Path()) / value


def _check_distinct(value: tuple[ids.Address, ...]) -> tuple[ids.Address, ...]:
    """Reject a list that names an address twice.

    :raises ValueError: an address occurs more than once
    """
    if len(set(value)) != len(value):
        raise ValueError("an address is listed twice; allowed: each once")
    return value


Address = typing.Annotated[ids.Address, pydantic.PlainValidator(_read_address)]
Addresses = typing.Annotated[
    tuple[Address, ...],
    pydantic.Field(max_length=MAX_ADDRESSES),
    pydantic.AfterValidator(_check_distinct),
]
ClusterKey = typing.Annotated[bytes, pydantic.PlainValidator(_read_key)]
Path = typing.Annotated[pathlib.Path, pydantic.PlainValidator(_resolve_path)]

# Names occur in logs, metrics and file names, hence the characters.
NAME_RULE = pydantic.Field(
    min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$"
)
