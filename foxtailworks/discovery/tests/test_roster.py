"""One roster from several coordinators, none of them needed alone."""

from foxtailworks import discovery
from foxtailworks.discovery import _roster
from foxtailworks.discovery.tests import making
from foxtailworks import ids

ONE, TWO = ids.Address("10.0.0.1", 1), ids.Address("10.0.0.2", 1)
DESK = ids.ServiceId("desk")
LEASE_S = 3.0


def test_an_instance_is_there_while_any_coordinator_lists_it():
    one, two = discovery.Registry(1, LEASE_S), discovery.Registry(2, LEASE_S)
    roster = discovery.Roster()
    one.announce(making.instance(), 0.0)
    for now in range(20):
        two.announce(making.instance(sequence=now + 2), float(now))
        for peer, item in ((ONE, one), (TWO, two)):
            item.on_tick(float(now))
            session, version = roster.position(peer)
            roster.merge(peer, item.changes(session, version), float(now))
        assert len(roster.of_service(DESK, float(now))) == 1


def test_an_instance_that_nobody_lists_is_dropped():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    roster = discovery.Roster()
    for tenth in range(0, 120):
        now = tenth / 10
        one.on_tick(now)
        roster.merge(ONE, one.changes(*roster.position(ONE)), now)
    assert not roster.of_service(DESK, 12.0)


def test_nothing_is_dropped_while_no_coordinator_answers():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    roster = discovery.Roster()
    roster.merge(ONE, one.changes(0, 0), 0.0)
    roster.on_tick(500.0)
    assert len(roster.of_service(DESK, 500.0)) == 1


def test_a_coordinator_that_restarts_empty_drops_nothing_at_once():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    roster = discovery.Roster()
    roster.merge(ONE, one.changes(0, 0), 0.0)
    again = discovery.Registry(2, LEASE_S)
    roster.merge(ONE, again.changes(*roster.position(ONE)), 1.0)
    assert len(roster.of_service(DESK, 1.0)) == 1
    late = 1.0 + _roster.LISTING_VALID_S
    roster.merge(ONE, again.changes(*roster.position(ONE)), late)
    assert not roster.of_service(DESK, late)


def test_a_draining_instance_takes_no_new_work():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    roster = discovery.Roster()
    roster.merge(ONE, one.changes(0, 0), 0.0)
    leaving = making.instance(sequence=2, state=making.DRAINING)
    one.announce(leaving, 0.1)
    roster.merge(ONE, one.changes(*roster.position(ONE)), 0.2)
    assert not roster.of_service(DESK, 0.2)


def test_changes_that_leave_a_gap_are_refused():
    one = discovery.Registry(1, LEASE_S)
    one.announce(making.instance(), 0.0)
    first = one.changes(0, 0)
    roster = discovery.Roster()
    gap = discovery.Changes(1, first.version, first.version + 1, ())
    assert not roster.merge(ONE, gap, 0.0)
    assert roster.merge(ONE, first, 0.0)
