"""Hosts that join in succession become one change of the roster."""

from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks.keeper import _joins


def host(number):
    return contracts.RosterHost(
        ids.HostId(f"h{number}"),
        ids.ZoneId("z"),
        ids.Address("127.0.0.1", number),
    )


def test_joins_are_collected_until_none_comes_for_a_while():
    joins, roster = _joins.PendingJoins(), contracts.Roster()
    for number in range(1, 4):
        joins.collect(host(number), roster, number * 0.7)
        assert joins.due_edit(roster, True, number * 0.7 + 0.6) is None
    edit = joins.due_edit(roster, True, 2.1 + _joins.QUIET_PERIOD_S)
    assert [item.host for item in edit.joined] == ["h1", "h2", "h3"]
    known = contracts.Roster(ids.Version(5), edit.joined)
    assert joins.due_edit(known, True, 99.0) is None


def test_steady_joins_wait_no_longer_than_the_limit():
    joins, roster = _joins.PendingJoins(), contracts.Roster()
    for number in range(1, 30):
        joins.collect(host(number), roster, number * 0.5)
        if joins.due_edit(roster, True, number * 0.5) is not None:
            break
    assert number * 0.5 <= _joins.MAX_WAIT_S + 1.0


def test_a_follower_forwards_joins_repeatedly():
    joins, roster = _joins.PendingJoins(), contracts.Roster()
    joins.collect(host(1), roster, 0.0)
    assert joins.due_edit(roster, False, 0.1) is not None
    assert joins.due_edit(roster, False, 0.2) is None
    assert joins.due_edit(roster, False, 0.4) is not None
