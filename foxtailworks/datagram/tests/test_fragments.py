"""Tests of fragmentation: messages arrive complete or not at all."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import datagram
from foxtailworks.datagram import _fragments
from foxtailworks import errors
from foxtailworks import ids

SRC = ids.Address("10.0.0.1", 7000)
OTHER = ids.Address("10.0.0.2", 7000)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=9000), st.integers(0, 99))
def test_fragments_in_any_order_give_the_message(data, seed):
    parts = list(datagram.split(5, data))
    random.Random(seed).shuffle(parts)
    assembler = datagram.Assembler()
    found = [assembler.add(SRC, part, 0.0) for part in parts]
    assert found[-1] == data
    assert found[:-1] == [None] * (len(parts) - 1)


def test_fragments_of_two_senders_do_not_mix():
    noise = random.Random(1).randbytes(3000)
    first, second = (list(datagram.split(1, noise[n:])) for n in (0, 9))
    assembler = datagram.Assembler()
    assert assembler.add(SRC, first[0], 0.0) is None
    assert assembler.add(OTHER, second[1], 0.0) is None
    assert assembler.add(OTHER, second[2], 0.0) is None
    assert assembler.add(OTHER, second[0], 0.0) == noise[9:]


def test_a_lost_fragment_loses_its_message_and_is_forgotten():
    noise = random.Random(1).randbytes(3000)
    parts = list(datagram.split(1, noise))
    assembler = datagram.Assembler()
    assert assembler.add(SRC, parts[0], 0.0) is None
    late = _fragments.REASSEMBLY_TIMEOUT_S + 0.1
    assert assembler.add(SRC, parts[1], late) is None
    assert assembler.add(SRC, parts[2], late) is None


def test_partial_messages_are_bounded():
    noise = random.Random(1).randbytes(3000)
    assembler = datagram.Assembler()
    for number in range(10 * _fragments.MAX_INCOMPLETE):
        assembler.add(SRC, next(datagram.split(number, noise)), 0.0)
    assert len(assembler._incomplete) <= _fragments.MAX_INCOMPLETE


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=40))
def test_anything_else_is_a_numbered_error_or_a_message(data):
    try:
        datagram.Assembler().add(SRC, data, 0.0)
    except errors.FoxtailError as exc:
        assert exc.code is errors.Code.MESSAGE_MALFORMED


def test_a_message_over_the_limit_is_refused():
    noise = random.Random(1).randbytes(700_000)
    with pytest.raises(errors.FoxtailError) as caught:
        list(datagram.split(1, noise))
    assert caught.value.code is errors.Code.MESSAGE_TOO_LARGE


def test_a_small_datagram_cannot_grow_without_bound():
    parts = list(datagram.split(1, bytes(30 << 20)))
    assembler = datagram.Assembler()
    with pytest.raises(errors.FoxtailError) as caught:
        for part in parts:
            assembler.add(SRC, part, 0.0)
    assert caught.value.code is errors.Code.MESSAGE_TOO_LARGE
