"""Tests of the header: round trips and malformed input."""

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import proxyv2

A = ids.Address("127.0.0.1", 4001)
B = ids.Address("127.3.2.1", 5683)
FIXED = hypothesis.settings(derandomize=True, deadline=None)


@FIXED
@hypothesis.given(st.binary(max_size=64), st.integers(0, 255))
def test_round_trip(payload, hops):
    packet = proxyv2.decode(proxyv2.encode(A, B, payload, hops))
    assert packet == proxyv2.Packet(A, B, payload, hops)


def test_six():
    six = ids.Address("::1", 9)
    assert proxyv2.decode(proxyv2.encode(six, six, b"")).source == six


@FIXED
@hypothesis.given(st.binary(max_size=80), st.integers(0, 30))
def test_hostile(tail, keep):
    data = proxyv2.encode(A, B, b"")[:keep] + tail
    try:
        proxyv2.decode(data)
    except errors.FoxtailError as exc:
        assert exc.code == errors.Code.MESSAGE_MALFORMED


@pytest.mark.parametrize("size", range(31))
def test_cut_short(size):
    data = proxyv2.encode(A, B, b"", hops=3)
    with pytest.raises(errors.FoxtailError):
        proxyv2.decode(data[:size])
