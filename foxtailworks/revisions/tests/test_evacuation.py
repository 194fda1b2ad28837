"""Evacuations in log and snapshot, and those of releases without them."""

import cbor2
import pytest

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import revisions

NORTH = ids.ZoneId("north")
SOUTH = ids.ZoneId("south")
# The formats of the last release, written out here so that a change of the
# codec's classes can't change both sides.
OLD_PUT = cbor2.dumps([1, [7, revisions.Put.of(7, b"text").document]])
OLD_SNAPSHOT = cbor2.dumps([2, [7, revisions.Put.of(7, b"text").document]])


def order(zone, is_evacuated):
    return revisions.encode_evacuate(revisions.Evacuate(zone, is_evacuated))


def apply_all(*commands):
    register = revisions.Register()
    for index, data in enumerate(commands, 1):
        register.apply(index, data)
    return register


def test_the_last_order_for_a_zone_holds():
    register = apply_all(
        order(NORTH, True),
        order(SOUTH, True),
        order(NORTH, False),
        order(NORTH, True),
        order(SOUTH, False),
    )
    assert register.state.evacuation == revisions.Evacuation(5, (NORTH,))


def test_a_repeated_order_changes_neither_zones_nor_number():
    # Operators resend an order; a number that grew would make all hosts
    # begin the pause after a withdrawal anew.
    register = apply_all(order(NORTH, True), order(NORTH, True))
    assert register.state.evacuation == revisions.Evacuation(1, (NORTH,))
    register.apply(3, order(SOUTH, False))
    assert register.state.evacuation == revisions.Evacuation(1, (NORTH,))


def test_documents_and_orders_do_not_affect_each_other():
    register = apply_all(OLD_PUT, order(NORTH, True), OLD_PUT)
    assert register.current.text() == b"text"
    assert register.state.evacuation.zones == (NORTH,)


def test_log_and_snapshot_of_the_last_release_are_read():
    assert apply_all(OLD_PUT).current.revision == 7
    restored = revisions.restore(3, OLD_SNAPSHOT)
    assert (restored.index, restored.current.text()) == (3, b"text")
    assert restored.state.evacuation == revisions.NO_EVACUATION


def test_without_orders_the_last_release_reads_the_snapshot():
    # It is rolled back to while no zone was ever evacuated.
    assert apply_all(OLD_PUT).snapshot() == OLD_SNAPSHOT
    assert apply_all(OLD_PUT, order(NORTH, False)).snapshot() == OLD_SNAPSHOT


@pytest.mark.parametrize("has_document", [False, True])
def test_a_snapshot_restores_evacuation_and_number(has_document):
    # The number must survive a withdrawal: a host applies higher ones only.
    commands = [order(NORTH, True), order(NORTH, False), order(SOUTH, True)]
    for count in range(1, 4):
        before = [OLD_PUT] * has_document + commands[:count]
        register = apply_all(*before)
        restored = revisions.restore(9, register.snapshot())
        assert (restored.index, restored.state) == (9, register.state)


def test_an_unknown_command_is_refused():
    with pytest.raises(errors.FoxtailError):
        revisions.Register().apply(1, cbor2.dumps([9, []]))
