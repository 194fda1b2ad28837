"""Tests of saved replies and of sockets that are bound early."""

import socket
import sys

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import warmstart

IP = "127.0.0.1"
REPLY = warmstart.Reply(
    2, b"ask", b"parts", (b"brief",), (b"one", b"two", b"three")
)
REQUEST = b"\0\1ask for \2"
"""Grants two parts."""


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.integers(0, 99),
    st.binary(max_size=9),
    st.binary(max_size=9),
    st.lists(st.binary(max_size=2000), max_size=3),
    st.lists(st.binary(max_size=2000), max_size=9),
    st.binary(max_size=50),
)
def test_a_reply_is_read_back_with_what_follows_it(
    offset, signature, part_signature, summaries, datagrams, rest
):
    reply = warmstart.Reply(
        offset, signature, part_signature, tuple(summaries), tuple(datagrams)
    )
    assert warmstart.split(warmstart.pack(reply) + rest) == (reply, rest)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=60))
def test_a_file_of_an_earlier_release_has_no_reply(data):
    hypothesis.assume(not data.startswith((b"FXR1", b"FXR2")))
    assert warmstart.split(data) == (None, data)


@pytest.mark.parametrize("size", range(len(warmstart.pack(REPLY))))
def test_a_file_cut_short_has_no_reply(size):
    assert warmstart.split(warmstart.pack(REPLY)[:size])[0] is None


def test_a_file_that_goes_on_with_zeros_has_no_reply():
    # The checksum of nothing is 0.
    for size in range(40):
        assert warmstart.split(b"FXR2" + bytes(size))[0] is None


def test_a_reply_of_the_last_release_is_passed_over_and_the_rest_is_read():
    data = b"FXR1" + warmstart.pack(REPLY)[4:]
    assert warmstart.split(data + b"rest") == (None, b"rest")


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


def test_of_several_polls_the_one_that_grants_most_is_answered(sockets):
    early, peer = sockets
    responder = warmstart.Responder(early, REPLY)
    for count in (0, 1, 0):
        peer.sendto(b"\0\1ask %c" % count, early.getsockname())
    responder.answer_waiting()
    peer.sendto(b"end", peer.getsockname())
    assert [peer.recv(99) for _ in range(2)] == [b"one", b"end"]


def test_a_poll_without_a_grant_gets_a_summary(sockets):
    early, peer = sockets
    peer.sendto(b"\0\1ask \0", early.getsockname())
    warmstart.Responder(early, REPLY).answer_waiting()
    assert peer.recv(99) == b"brief"


def test_requested_parts_are_sent(sockets):
    early, peer = sockets
    # Positions 2, 0 and 9, of which the last is beyond the reply.
    packed = b"\x46" + bytes([0, 2, 0, 0, 0, 9])
    peer.sendto(b"\0\1parts" + packed, early.getsockname())
    responder = warmstart.Responder(early, REPLY)
    responder.answer_waiting()
    assert [peer.recv(99) for _ in range(2)] == [b"three", b"one"]
    assert responder.take_unanswered() == []


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


def test_requests_are_answered_while_a_package_imports_others(tmp_path):
    folder = tmp_path / "fw_slow"
    folder.mkdir()
    (folder / "__init__.py").write_text("from fw_slow import one, two\n")
    for name in ("one", "two"):
        (folder / f"{name}.py").write_text("")
    sys.path.insert(0, str(tmp_path))
    calls = []
    before = list(sys.meta_path)
    try:
        warmstart.import_modules(("fw_slow",), lambda: calls.append(1))
    finally:
        sys.path.remove(str(tmp_path))
    # Before the package and its two modules, and once at the end.
    assert len(calls) == 4
    assert sys.meta_path == before
