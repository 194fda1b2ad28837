"""Damaged and forged datagrams reach no exception and change no promise.

The corpus is one valid datagram of each message; what is played is changed
at random: bits, length, order and repetition of parts.
"""

import random

import hypothesis
from hypothesis import strategies as st

from foxtailworks import agreement
from foxtailworks.coordinator import _messages
from foxtailworks.coordinator.tests import world
from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import polling

KEY = (discovery.InstanceId("i-1"), ids.Incarnation(100))
ADDRESSES = (world.address(1), world.address(2))
INSTANCE = making.instance()
CHANGES = discovery.Changes(
    5, 0, 3, (discovery.ListedInstance(INSTANCE, True),)
)
MESSAGES = (
    _messages.Presence(
        ids.KeeperId("k"),
        "k2",
        ids.ZoneId("z"),
        ADDRESSES[1],
        "g",
        False,
        7,
        ADDRESSES,
    ),
    _messages.ConsensusMessage(ids.KeeperId("a"), ids.KeeperId("b"), b"\x82"),
    _messages.Heartbeats((discovery.RelayedHeartbeat(INSTANCE, 20),)),
    _messages.HeartbeatList(3 * (bytes(8) + b"\0\7")),
    _messages.HeartbeatRequest(3 * bytes(8)),
    polling.Poll(ids.HostId("e1"), 5, 3, 7, (KEY,), True),
    polling.PollAnswer(CHANGES, 8, b"table", ADDRESSES, (KEY,), True),
    polling.Notice(5, 3, 8),
)
CORPUS = tuple(
    part
    for number, msg in enumerate(MESSAGES)
    for part in datagram.split(number, _messages.CODEC.encode(msg))
)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)


def changed(data, seed):
    """Return a datagram with random changes."""
    rng = random.Random(seed)
    parts = bytearray(data)
    for _ in range(rng.randrange(5)):
        index = rng.randrange(len(parts) or 1)
        kind = rng.randrange(5)
        if kind == 0 and parts:
            parts[index] ^= 1 << rng.randrange(8)
        elif kind == 1:
            del parts[index:]
        elif kind == 2:
            parts[index:index] = rng.randbytes(rng.randrange(9))
        elif kind == 3:
            del parts[index : index + rng.randrange(9)]
        else:
            parts += parts[: rng.randrange(40)]
    return bytes(parts)


DATAGRAMS = st.lists(
    st.tuples(
        st.sampled_from(CORPUS),
        st.integers(0, 1 << 32),
        st.sampled_from((*ADDRESSES, world.edge_address(0))),
    ),
    max_size=12,
)


def receiver(receive, codec):
    """Return an endpoint that passes its messages to a program."""
    made = datagram.Endpoint(codec, receive, lambda: 0.0)
    made.attach(object())
    return made


@SETTINGS
@hypothesis.given(DATAGRAMS)
def test_a_coordinator_goes_on_after_damaged_datagrams(datagrams):
    made = world.World(1, seeds=1)
    made.run(1.0)
    (host,) = made.running()
    endpoint = receiver(host.program.receive, _messages.CODEC)
    group = host.program.node.replica.group
    for data, seed, src in datagrams:
        endpoint.receive(changed(data, seed), src)
    made.run(0.2)
    assert host.program.node.replica.group == group


@SETTINGS
@hypothesis.given(DATAGRAMS)
def test_an_edge_host_goes_on_after_damaged_datagrams(datagrams):
    made = world.World(0)
    host = made.add_edge(1)
    endpoint = receiver(host.receive, polling.CODEC)
    for data, seed, src in datagrams:
        endpoint.receive(changed(data, seed), src)
    made.run(0.2)
    assert host.metrics()


@SETTINGS
@hypothesis.given(
    st.sampled_from(sorted(agreement.MESSAGES)), st.binary(max_size=80)
)
def test_damaged_consensus_messages_are_dropped(number, body):
    made = world.World(1, seeds=1)
    made.run(1.0)
    (host,) = made.running()
    keeper = host.program.node.replica.keeper
    data = bytes((0x82, number)) + body
    host.program.receive(
        _messages.ConsensusMessage(ids.KeeperId("x"), keeper, data),
        ADDRESSES[1],
    )
    made.run(0.2)
    assert host.program.node is not None
