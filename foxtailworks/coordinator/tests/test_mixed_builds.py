"""Coordinators of two releases in one group.

Guards against an order that an earlier release can't decode: it skipped the
entry, went on with another state, and handed that state to the next release
as its snapshot, so that acknowledged orders could be lost.
"""

import dataclasses

import pytest

from foxtailworks.coordinator import _messages
from foxtailworks.coordinator.tests import test_evacuation
from foxtailworks.coordinator.tests import test_promises
from foxtailworks.coordinator.tests import world
from foxtailworks import errors
from foxtailworks import revisions
from foxtailworks.revisions import _commands
from foxtailworks import wire

NORTH = test_evacuation.NORTH
OLD = 3
OLD_CODEC = wire.Codec({1: revisions.Put, 2: revisions.StoredDocument})
"""What a release without evacuations reads."""


class OldRegister(revisions.Register):
    """State machine of this release that can't read evacuations."""

    def apply(self, index, data):
        OLD_CODEC.decode(data)
        return super().apply(index, data)


def restore_old(index, data):
    register = revisions.restore(index, data)
    return OldRegister(register.index, register.state)


class MixedWorld(world.World):
    """World in which coordinators may run an earlier release.

    :param tells: whether the earlier release tells what it applies
    """

    def __init__(self, count, tells=True):
        self.old = set()
        self.tells = tells
        super().__init__(count)

    def start(self, number):
        super().start(number)
        if number in self.old:
            node = self.hosts[world.address(number)].program.node
            node._make_machine = restore_old
            node.machine = restore_old(
                node.machine.index, node.machine.snapshot()
            )

    def transmit(self, src, dst, msg):
        is_old = src in {world.address(number) for number in self.old}
        if is_old and self.tells and isinstance(msg, _messages.Presence):
            msg = dataclasses.replace(msg, list_form=0, command_form=0)
        super().transmit(src, dst, msg)


@pytest.fixture(name="start")
def start_group():
    def start(tells):
        cluster = MixedWorld(3, tells)
        cluster.run(test_promises.SETTLE_S)
        cluster.stop(OLD)
        cluster.old.add(OLD)
        cluster.start(OLD)
        cluster.run(test_promises.SETTLE_S)
        return cluster

    return start


def replace_old(cluster):
    cluster.stop(OLD)
    cluster.old.clear()
    cluster.start(OLD)
    cluster.run(3.0)


def lead_with_this_release(cluster):
    """Make a coordinator of this release the leader."""
    if world.number_of(cluster.leader()) == OLD:
        cluster.leader().leave()
        cluster.run(1.0)


def test_an_order_waits_until_all_members_apply_it(start):
    cluster = start(tells=True)
    lead_with_this_release(cluster)
    found = test_evacuation.order(cluster, NORTH)
    assert found.code is errors.Code.GROUP_OUTDATED
    assert test_promises.put(cluster, 8) is True
    replace_old(cluster)
    assert test_evacuation.order(cluster, NORTH) is True
    cluster.run(0.5)
    assert test_evacuation.all_told(cluster) == {(NORTH,)}


def test_a_member_that_is_down_does_not_hold_up_orders(start):
    cluster = start(tells=True)
    replace_old(cluster)
    cluster.stop(OLD)
    cluster.run(3.0)
    assert test_evacuation.order(cluster, NORTH) is True


def test_a_replica_stops_at_a_command_that_it_cannot_read(start):
    cluster = start(tells=False)
    lead_with_this_release(cluster)
    assert test_evacuation.order(cluster, NORTH) is True
    cluster.run(3.0)
    old = cluster.hosts[world.address(OLD)]
    assert old.program.node is None
    # Further documents neither reach its state nor are confirmed by it.
    assert test_promises.put(cluster, 9) is True
    cluster.run(1.0)
    assert old.program.node is None
    replace_old(cluster)
    cluster.stop(1)
    cluster.run(test_promises.SETTLE_S)
    assert test_evacuation.all_told(cluster) == {(NORTH,)}
    assert test_promises.read(cluster).revision == 9


def test_a_command_that_cannot_be_read_changes_nothing():
    register = OldRegister()
    order = revisions.encode_evacuate(revisions.Evacuate(NORTH, True))
    with pytest.raises(errors.FoxtailError):
        register.apply(1, order)
    assert register.index == 0
    put = revisions.encode_put(revisions.Put.of(7, b"text"))
    register.apply(1, put)
    assert register.current.revision == 7


def test_a_release_that_understands_lists_applies_orders():
    """3a465f9 doesn't tell its form of commands, but applies orders."""
    fields = ("k", "n", "z", world.address(9), "g", False, 1, ())
    cluster = test_evacuation.start()
    peers = cluster.leader()._peers
    peers.update(_messages.Presence(*fields, list_form=1), cluster.now)
    assert peers.statuses["k"].command_form == _commands.COMMAND_FORM
    peers.update(_messages.Presence(*fields), cluster.now)
    assert peers.statuses["k"].command_form == 0
