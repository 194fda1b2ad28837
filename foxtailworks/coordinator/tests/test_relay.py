"""Tests of the relay of heartbeats: changes whole, the others in lists."""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks.coordinator import _messages
from foxtailworks.coordinator import _relay
from foxtailworks.coordinator.tests import world
from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import wire

LEASE_S = 4.6
HEARTBEAT_S = 1.2
MERGED_S = 3.0
"""Time in which lists, requests and their answers have arrived."""
NUMBERS = (1, 2, 3)


class Fleet(world.World):
    """Three coordinators and the upstreams that send them heartbeats.

    Coordinators in ``old`` are of the last release: they announce and
    understand no lists and relay each heartbeat whole.
    """

    def __init__(self, seed=1, old=()):
        self.old = {world.address(number) for number in old}
        self.owners = {}
        self.states = {}
        self.sequence = 0
        self.sent = collections.Counter()
        self.drop = lambda dst, msg: False
        self._next_heartbeats_at = 0.0
        super().__init__(3, seed=seed, lease_s=LEASE_S)

    def start(self, number):
        super().start(number)
        if world.address(number) in self.old:
            program = self.program(number)
            program._peers.reading_lists = lambda form: frozenset()

    def program(self, number):
        return self.hosts[world.address(number)].program

    def transmit(self, src, dst, msg):
        self.sent[type(msg), dst] += 1
        if src in self.old and isinstance(msg, _messages.Presence):
            msg = dataclasses.replace(msg, list_form=0)
        is_new = isinstance(
            msg, (_messages.HeartbeatList, _messages.HeartbeatRequest)
        )
        if self.drop(dst, msg) or (is_new and dst in self.old):
            return
        super().transmit(src, dst, msg)

    def instance(self, name):
        self.sequence += 1
        return making.instance(
            name,
            sequence=self.sequence,
            address=ids.Address(f"10.9.0.{name[2:]}", 80),
            state=self.states.get(name, making.READY),
        )

    def announce(self, name, number):
        self.program(number).registry.announce(self.instance(name), self.now)

    def own(self, count):
        """Let upstreams send heartbeats to the coordinators in turn."""
        for index in range(1, count + 1):
            self.owners[f"i-{index}"] = NUMBERS[index % 3]

    def step(self):
        if self.now >= self._next_heartbeats_at:
            self._next_heartbeats_at += HEARTBEAT_S
            for name, number in self.owners.items():
                self.announce(name, number)
        super().step()

    def serving(self, number):
        """Return the states of the instances that a coordinator lists."""
        return {
            item.instance.instance: item.instance.state
            for item in self.program(number).registry.listed()
            if item.is_live and item.instance.state is not making.GONE
        }


def test_unchanged_heartbeats_are_sent_in_one_list_a_second():
    # Relayed whole they took most of a coordinator's processor time.
    fleet = Fleet()
    fleet.own(90)
    fleet.run(3.0)
    fleet.sent.clear()
    fleet.run(10.0)
    for number in NUMBERS:
        dst = world.address(number)
        assert not fleet.sent[_messages.Heartbeats, dst]
        assert fleet.sent[_messages.HeartbeatList, dst] <= 2 * 10
        assert len(fleet.serving(number)) == 90


def test_a_change_arrives_though_two_relays_of_it_are_lost():
    # Without a repetition it would wait for the next list and a request.
    fleet = Fleet()
    fleet.own(1)
    fleet.run(4.0)
    lost = collections.Counter()

    def drop(dst, msg):
        lost[dst] += isinstance(msg, _messages.Heartbeats)
        is_list = isinstance(msg, _messages.HeartbeatList)
        return is_list or lost[dst] in (1, 2)

    fleet.drop = drop
    fleet.states["i-1"] = making.DRAINING
    fleet.run(HEARTBEAT_S + 0.5)
    for number in NUMBERS:
        assert fleet.serving(number) == {"i-1": making.DRAINING}


@hypothesis.settings(derandomize=True, deadline=None, max_examples=20)
@hypothesis.given(st.integers(0, 10_000))
def test_no_lease_ends_early_because_of_the_list_interval(seed):
    # Upstreams send heartbeats at any interval within the lease, to any
    # coordinator; lists would add their interval to the longest of them.
    rng = random.Random(seed)
    fleet = Fleet(seed)
    fleet.run(1.0)
    due = {f"i-{n}": fleet.now for n in range(1, 6)}
    for _ in range(600):
        for name, at in due.items():
            if fleet.now >= at:
                fleet.announce(name, rng.choice(NUMBERS))
                gap_s = rng.choice((0.3, HEARTBEAT_S, 2.4, 3.6, LEASE_S - 0.3))
                due[name] = fleet.now + gap_s
        fleet.step()
        if fleet.now > 2.0:
            assert [len(fleet.serving(n)) for n in NUMBERS] == [5, 5, 5]


@pytest.mark.parametrize("cut_s", [1.0, 2.0, 3.0])
def test_lost_lists_end_no_lease_that_the_old_relay_kept(cut_s):
    # Coordinators that are apart for a moment would record a change of each
    # instance, and again when they are back.
    fleet = Fleet()
    fleet.own(9)
    fleet.run(4.0)
    version = fleet.program(1).registry.version
    fleet.partition({1}, {2, 3})
    fleet.run(cut_s)
    fleet.heal()
    fleet.run(MERGED_S)
    assert fleet.program(1).registry.version == version


def test_a_crashed_instance_expires_everywhere():
    fleet = Fleet()
    fleet.own(3)
    fleet.run(4.0)
    del fleet.owners["i-1"]
    fleet.run(HEARTBEAT_S + LEASE_S + discovery.LIST_INTERVAL_S + 0.5)
    for number in NUMBERS:
        assert sorted(fleet.serving(number)) == ["i-2", "i-3"]


def test_a_list_does_not_revive_an_instance_that_has_left():
    # The coordinator that lists it was cut off when it left.
    fleet = Fleet()
    fleet.owners = {"i-1": 1}
    fleet.run(4.0)
    fleet.owners.clear()
    fleet.partition({1}, {2, 3})
    left = discovery.InstanceId("i-1")
    fleet.program(2).registry.withdraw(left, fleet.now)
    fleet.run(0.5)
    fleet.heal()
    fleet.announce("i-1", 1)
    for _ in range(160):
        fleet.step()
        assert not fleet.serving(2)
        assert not fleet.serving(3)
    assert not fleet.serving(1)


def test_late_heartbeats_of_one_that_left_keep_its_tombstone_everywhere():
    # A process that goes on after its leave may call another coordinator
    # more than a minute later.
    fleet = Fleet()
    fleet.owners = {"i-1": 1}
    fleet.run(2.0)
    left = discovery.InstanceId("i-1")
    fleet.program(1).registry.withdraw(left, fleet.now)
    fleet.run(70.0)
    fleet.owners = {"i-1": 2}
    fleet.run(3.0)
    assert not any(fleet.serving(number) for number in NUMBERS)


@pytest.mark.parametrize("cut_s", [6.0, 80.0])
def test_a_coordinator_that_was_cut_off_merges(cut_s):
    # Its upstreams changed meanwhile; a list that stands for instances
    # without their state would hide that. After 80 s the others have no row.
    fleet = Fleet()
    fleet.own(9)
    fleet.run(4.0)
    fleet.partition({1}, {2, 3})
    fleet.states["i-3"] = making.DRAINING
    fleet.owners["i-10"] = 1
    fleet.run(cut_s)
    assert len(fleet.serving(1)) == 4
    assert len(fleet.serving(2)) == 6
    fleet.heal()
    fleet.run(MERGED_S)
    serving = [fleet.serving(number) for number in NUMBERS]
    assert serving[0] == serving[1] == serving[2]
    assert len(serving[0]) == 10
    assert serving[0]["i-3"] is making.DRAINING


@pytest.mark.parametrize("is_copy_lost", [False, True])
def test_a_wiped_coordinator_gets_all_instances(is_copy_lost):
    # The whole copy is one message of many datagrams, any of which may be
    # lost.
    fleet = Fleet()
    fleet.own(9)
    fleet.run(4.0)
    fleet.wipe(3)
    fleet.owners = {k: n for k, n in fleet.owners.items() if n != 3}
    if is_copy_lost:
        fleet.drop = lambda dst, msg: (
            isinstance(msg, _messages.Heartbeats)
            and len(msg.heartbeats) > 3
            and dst == world.address(3)
        )
    fleet.start(3)
    fleet.run(MERGED_S)
    assert set(fleet.owners) <= set(fleet.serving(3))
    assert fleet.serving(3).keys() == fleet.serving(1).keys() or is_copy_lost


@pytest.mark.parametrize("old", [(3,), (2, 3), (1, 2, 3)])
def test_releases_with_and_without_lists_share_all_heartbeats(old):
    fleet = Fleet(old=old)
    fleet.own(9)
    fleet.run(4.0)
    fleet.sent.clear()
    for _ in range(300):
        fleet.step()
        assert [len(fleet.serving(n)) for n in NUMBERS] == [9, 9, 9]
    for number in NUMBERS:
        lists = fleet.sent[_messages.HeartbeatList, world.address(number)]
        assert bool(lists) is (number not in old and len(old) < 2)


def test_an_upgrade_and_its_rollback_change_what_is_sent():
    fleet = Fleet(old=(3,))
    fleet.own(6)
    fleet.owners = dict.fromkeys(fleet.owners, 1)
    fleet.run(4.0)
    third = world.address(3)
    for old, expected in ((set(), True), ({third}, False)):
        fleet.stop(3)
        fleet.old = old
        fleet.start(3)
        fleet.run(2.0)
        fleet.sent.clear()
        fleet.run(3.0)
        assert len(fleet.serving(3)) == 6
        assert bool(fleet.sent[_messages.HeartbeatList, third]) is expected


KINDS = (
    _messages.Presence,
    _messages.ConsensusMessage,
    _messages.Heartbeats,
    _messages.HeartbeatList,
    _messages.HeartbeatRequest,
)
OldPresence = dataclasses.make_dataclass(
    "OldPresence",
    [
        (field.name, field.type)
        for field in dataclasses.fields(_messages.Presence)
        if field.name not in ("list_form", "command_form", "is_leaving")
    ],
)


def test_presence_is_read_by_both_releases():
    old_codec = wire.Codec({1: OldPresence})
    new_codec = wire.Codec({1: _messages.Presence})
    values = ("k", "n", "z", ids.Address("10.0.0.1", 1), "g", True, 7, ())
    old, new = OldPresence(*values), _messages.Presence(*values, 1)
    assert old_codec.decode(new_codec.encode(new)) == old
    found = new_codec.decode(old_codec.encode(old))
    assert found == dataclasses.replace(new, list_form=0)


def test_no_message_takes_the_number_of_another():
    # The later one of two with the same number would replace the first.
    kinds = set(_messages.CODEC._types.values())
    assert {*polling.MESSAGES.values(), *KINDS} <= kinds


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=3000))
def test_any_bytes_are_read_as_entries(data):
    registry = discovery.Registry(1, LEASE_S)
    relay = _relay.Relay(registry, Fleet().program(1)._peers, 0.0)
    asked = relay.on_message(_messages.HeartbeatList(data), 0.0)
    assert asked is None or len(asked.tokens) <= 8 * _relay.LIST_ENTRIES
    assert relay.on_message(_messages.HeartbeatRequest(data), 0.0) is None
