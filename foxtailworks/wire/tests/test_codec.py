"""Tests of the codec: round trips, malformed input, cost of decoding."""

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
    """An enum as a field of messages."""

    RED = 1
    BLUE = 2


HostId = typing.NewType("HostId", str)


@dataclasses.dataclass(frozen=True)
class Inner:
    """A dataclass nested in a message."""

    host: HostId
    colour: Colour


@dataclasses.dataclass(frozen=True)
class Outer:
    """A message with each supported type of field."""

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


def count_calls(run):
    """Return the number of Python function calls in ``run``.

    Unlike a duration it is the same on each run.
    """
    entered = 0

    def count(_frame, event, _arg):
        nonlocal entered
        entered += event == "call"

    sys.setprofile(count)
    try:
        run()
    finally:
        sys.setprofile(None)
    return entered


def test_a_value_costs_a_call_for_each_field_and_few_more():
    # An edge host decodes dozens of messages a second of a thousand values.
    count = 500
    inner = tuple(Inner(HostId("a"), Colour.BLUE) for _ in range(count))
    codec = wire.Codec({2: Outer}, limit=1 << 20)
    data = codec.encode(dataclasses.replace(SAMPLE, inner=inner))
    codec.decode(data)
    # Calls for two fields, one of them an enum, the reader and the
    # constructor.  Looking up the fields each time would add six calls.
    max_calls = 10
    assert count_calls(lambda: codec.decode(data)) < max_calls * count


def test_encoding_costs_a_call_for_each_value_and_few_more():
    # A coordinator encodes tables of thousands of instances when many hosts
    # return at once.
    count = 500
    inner = tuple(Inner(HostId("a"), Colour.BLUE) for _ in range(count))
    codec = wire.Codec({2: Outer}, limit=1 << 20)
    msg = dataclasses.replace(SAMPLE, inner=inner)
    codec.encode(msg)
    # Calls for the iteration, the writer and the enum. Looking up the fields
    # each time would add ten calls.
    max_calls = 8
    assert count_calls(lambda: codec.encode(msg)) < max_calls * count
