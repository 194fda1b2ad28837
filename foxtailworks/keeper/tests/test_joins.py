"""Hosts that join one after another become one change of the roster."""

from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks.keeper import _joins


def host(number):
    return contracts.RosterHost(
        ids.HostId(f"h{number}"),
        ids.ZoneId("z"),
        ids.Address("127.0.0.1", number),
    )


def test_joins_are_collected_until_quiet():
    joins, roster = _joins.Joins(), contracts.Roster()
    for number in range(1, 4):
        joins.collect(host(number), roster, number * 0.7)
        assert joins.due(roster, True, number * 0.7 + 0.6) is None
    edit = joins.due(roster, True, 2.1 + _joins.QUIET_S)
    assert [item.host for item in edit.joined] == ["h1", "h2", "h3"]
    known = contracts.Roster(ids.Version(5), edit.joined)
    assert joins.due(known, True, 99.0) is None


def test_steady_joins_wait_only_so_long():
    joins, roster = _joins.Joins(), contracts.Roster()
    for number in range(1, 30):
        joins.collect(host(number), roster, number * 0.5)
        if joins.due(roster, True, number * 0.5) is not None:
            break
    assert number * 0.5 <= _joins.MAX_WAIT_S + 1.0


def test_a_keeper_that_does_not_lead_passes_joins_on_again_and_again():
    joins, roster = _joins.Joins(), contracts.Roster()
    joins.collect(host(1), roster, 0.0)
    assert joins.due(roster, False, 0.1) is not None
    assert joins.due(roster, False, 0.2) is None
    assert joins.due(roster, False, 0.4) is not None
