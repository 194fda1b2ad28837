"""A message of a restarted sender isn't mixed with one from before."""

import dataclasses
import random

import pytest

from foxtailworks import datagram
from foxtailworks import ids
from foxtailworks import wire

SENDER = ids.Address("10.0.0.1", 7000)
RECEIVER = ids.Address("10.0.0.2", 7000)


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A message too large for one datagram."""

    data: bytes
    """Content."""


CODEC = wire.Codec({1: Text})


class Wire:
    """Socket that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, data, _target):
        self.sent.append(data)


def send(first_number, seed):
    """Return the datagrams of the first message after a start."""
    socket = Wire()
    endpoint = datagram.Endpoint(
        CODEC, lambda msg, src: None, lambda: 0.0, first_number=first_number
    )
    endpoint.attach(socket)
    endpoint.send(Text(random.Random(seed).randbytes(5000)), RECEIVER)
    return socket.sent


def received(datagrams):
    """Return the messages that a receiver gets."""
    found = []
    endpoint = datagram.Endpoint(
        CODEC, lambda msg, src: found.append(msg.data), lambda: 0.0
    )
    endpoint.attach(Wire())
    for item in datagrams:
        endpoint.receive(item, SENDER)
    return found


@pytest.mark.parametrize("arrived", range(1, 5))
def test_the_message_after_a_restart_arrives(arrived):
    before, after = send(7, seed=1)[:arrived], send(4711, seed=2)
    assert received([*before, *after]) == [random.Random(2).randbytes(5000)]


@pytest.mark.parametrize("arrived", range(1, 5))
def test_parts_of_two_messages_with_one_number_give_neither(arrived):
    # The checksum of the compressed data tells that they don't match.
    before, after = send(7, seed=1), send(7, seed=2)
    assert received([*before[:arrived], *after[arrived:]]) == []
