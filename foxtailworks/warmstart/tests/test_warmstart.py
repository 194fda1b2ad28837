"""Tests of saved replies and of sockets that are bound early."""

import socket

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import warmstart

IP = "127.0.0.1"
REPLY = warmstart.Reply(2, b"ask", (b"one", b"two"))
REQUEST = b"\0\1ask more"


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.integers(0, 99),
    st.binary(max_size=9),
    st.lists(st.binary(max_size=2000), max_size=9),
    st.binary(max_size=50),
)
def test_a_reply_is_read_back_with_what_follows_it(
    offset, signature, datagrams, rest
):
    reply = warmstart.Reply(offset, signature, tuple(datagrams))
    assert warmstart.split(warmstart.pack(reply) + rest) == (reply, rest)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=60))
def test_a_file_of_an_earlier_release_has_no_reply(data):
    hypothesis.assume(not data.startswith(b"FXR1"))
    assert warmstart.split(data) == (None, data)


@pytest.mark.parametrize("size", range(len(warmstart.pack(REPLY))))
def test_a_file_cut_short_has_no_reply(size):
    assert warmstart.split(warmstart.pack(REPLY)[:size])[0] is None


def test_a_file_that_goes_on_with_zeros_has_no_reply():
    # The checksum of nothing is 0.
    for size in range(40):
        assert warmstart.split(b"FXR1" + bytes(size))[0] is None


def test_a_damaged_reply_is_not_used_and_the_rest_is_read():
    data = bytearray(warmstart.pack(REPLY) + b"rest")
    data[20] ^= 1
    assert warmstart.split(bytes(data)) == (None, b"rest")


def test_a_missing_file_has_no_reply(tmp_path):
    assert warmstart.load(str(tmp_path)) is None


@pytest.fixture(name="sockets")
def make_sockets():
    early = warmstart.bind(IP, 0)
    peer = warmstart.bind(IP, 0)
    peer.setblocking(True)
    peer.settimeout(5)
    with early, peer:
        yield early, peer


def test_a_waiting_request_is_answered_once(sockets):
    early, peer = sockets
    responder = warmstart.Responder(early, REPLY)
    for data in (REQUEST, REQUEST, b"something else"):
        peer.sendto(data, early.getsockname())
    responder.answer_waiting()
    peer.sendto(b"end", peer.getsockname())
    received = [peer.recv(99) for _ in range(3)]
    assert received == [b"one", b"two", b"end"]


def test_other_datagrams_are_kept_for_the_program(sockets):
    early, peer = sockets
    responder = warmstart.Responder(early, REPLY)
    peer.sendto(b"other", early.getsockname())
    responder.answer_waiting()
    kept = responder.take_unanswered()
    assert kept == [(b"other", peer.getsockname())]
    assert responder.take_unanswered() == []


def test_without_a_reply_all_datagrams_are_kept(sockets):
    early, peer = sockets
    responder = warmstart.Responder(early, None)
    peer.sendto(REQUEST, early.getsockname())
    responder.answer_waiting()
    assert [data for data, _ in responder.take_unanswered()] == [REQUEST]


def test_an_address_in_use_is_left_to_the_program():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind((IP, 0))
        assert warmstart.bind(IP, taken.getsockname()[1]) is None
