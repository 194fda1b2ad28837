"""Tests that a roster doesn't depend on any single coordinator."""

from foxtailworks import discovery
from foxtailworks.discovery import _roster
from foxtailworks.discovery.tests import making
from foxtailworks import ids

FIRST, SECOND = ids.Address("10.0.0.1", 1), ids.Address("10.0.0.2", 1)
SERVICE = ids.ServiceId("desk")
LEASE_S = 3.0


def test_an_instance_is_usable_while_any_coordinator_lists_it():
    one, two = discovery.Registry(1, LEASE_S), discovery.Registry(2, LEASE_S)
    roster = discovery.Roster()
    one.announce(making.instance(), 0.0)
    for now in range(20):
        two.announce(making.instance(sequence=now + 2), float(now))
        for peer, item in ((FIRST, one), (SECOND, two)):
            item.on_tick(float(now))
            session, version = roster.position(peer)
            roster.merge(peer, item.changes(session, version), float(now))
        assert len(roster.of_service(SERVICE, float(now))) == 1


def test_an_instance_that_no_coordinator_lists_is_dropped():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    roster = discovery.Roster()
    for tenth in range(0, 120):
        now = tenth / 10
        one.on_tick(now)
        roster.merge(FIRST, one.changes(*roster.position(FIRST)), now)
    assert not roster.of_service(SERVICE, 12.0)


def test_nothing_is_dropped_while_no_coordinator_answers():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    roster = discovery.Roster()
    roster.merge(FIRST, one.changes(0, 0), 0.0)
    roster.on_tick(500.0)
    assert len(roster.of_service(SERVICE, 500.0)) == 1


def test_a_coordinator_that_restarts_empty_drops_nothing_at_once():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    roster = discovery.Roster()
    roster.merge(FIRST, one.changes(0, 0), 0.0)
    again = discovery.Registry(2, LEASE_S)
    roster.merge(FIRST, again.changes(*roster.position(FIRST)), 1.0)
    assert len(roster.of_service(SERVICE, 1.0)) == 1
    late = 1.0 + _roster.LISTING_VALID_S
    roster.merge(FIRST, again.changes(*roster.position(FIRST)), late)
    assert not roster.of_service(SERVICE, late)


def test_a_draining_instance_takes_no_new_work():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    roster = discovery.Roster()
    roster.merge(FIRST, one.changes(0, 0), 0.0)
    leaving = making.instance(sequence=2, state=making.DRAINING)
    one.announce(leaving, 0.1)
    roster.merge(FIRST, one.changes(*roster.position(FIRST)), 0.2)
    assert not roster.of_service(SERVICE, 0.2)


def test_changes_after_a_gap_are_rejected():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    first = one.changes(0, 0)
    roster = discovery.Roster()
    gap = discovery.Changes(1, first.version, first.version + 1, ())
    assert not roster.merge(FIRST, gap, 0.0)
    assert roster.merge(FIRST, first, 0.0)
