"""The codec gives back what it was given and refuses all else."""

import dataclasses
import enum
import typing

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import errors
from foxtailworks import wire


class Colour(enum.Enum):
    """A state as messages carry it."""

    RED = 1
    BLUE = 2


HostId = typing.NewType("HostId", str)


@dataclasses.dataclass(frozen=True)
class Inner:
    """A nested value."""

    host: HostId
    colour: Colour


@dataclasses.dataclass(frozen=True)
class Outer:
    """A message with each kind of field."""

    seq: int
    data: bytes
    rate: float
    inner: tuple[Inner, ...]
    note: str | None = None


CODEC = wire.Codec({1: Inner, 2: Outer}, limit=4096)
SAMPLE = Outer(7, b"x", 1.5, (Inner(HostId("a"), Colour.BLUE),), None)


def test_round_trip():
    assert CODEC.decode(CODEC.encode(SAMPLE)) == SAMPLE


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=200))
def test_hostile_bytes_get_a_numbered_error(data):
    try:
        CODEC.decode(data)
    except errors.FoxtailError as exc:
        assert exc.code == errors.Code.MESSAGE_MALFORMED


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.integers(0, 60))
def test_cut_short_is_refused(size):
    data = CODEC.encode(SAMPLE)
    hypothesis.assume(size < len(data))
    with pytest.raises(errors.FoxtailError):
        CODEC.decode(data[:size])


def test_oversized_is_refused():
    with pytest.raises(errors.FoxtailError) as info:
        CODEC.decode(b"\0" * 5000)
    assert info.value.code == errors.Code.MESSAGE_TOO_LARGE


def test_wrong_primitive_is_refused():
    import cbor2

    with pytest.raises(errors.FoxtailError):
        CODEC.decode(cbor2.dumps([1, [5, 1]]))
