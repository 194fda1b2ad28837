"""The codec gives back what it was given and refuses all else."""

import dataclasses
import enum
import sys
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


def calls_of(run):
    """Return how many Python functions a call enters; the same each time."""
    found = 0

    def count(_frame, event, _arg):
        nonlocal found
        found += event == "call"

    sys.setprofile(count)
    try:
        run()
    finally:
        sys.setprofile(None)
    return found


def test_a_value_costs_a_call_for_each_field_and_few_more():
    # An edge host reads dozens of messages a second, a thousand values each.
    count = 500
    inner = tuple(Inner(HostId("a"), Colour.BLUE) for _ in range(count))
    made = wire.Codec({2: Outer}, limit=1 << 20)
    data = made.encode(dataclasses.replace(SAMPLE, inner=inner))
    made.decode(data)
    # Two fields with an enum among them, the reader, the constructor; the
    # fields aren't looked up anew, which alone would cost six calls more.
    most = 10
    assert calls_of(lambda: made.decode(data)) < most * count
