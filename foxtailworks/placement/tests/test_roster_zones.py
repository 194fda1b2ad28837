"""Recently started hosts agree on the zones of slots by the roster."""

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _types

VIEWS = tuple(
    _types.HostView(ids.HostId(f"entry-{i}"), ids.ZoneId(f"zone-{i % 3}"))
    for i in range(6)
)


def _zones(me, roster):
    """Return each slot's zone on one host when all have just started."""
    host_table = _hosts.HostTable(me.host, me.zone, 0.0, 300.0)
    host_table.set_roster(roster)
    host_table.set_hosts(VIEWS, 0.5)
    return [host_table.route(slot).zone for slot in range(_hashing.HOST_SLOTS)]


def test_hosts_with_one_roster_agree_on_zones():
    assert len({tuple(_zones(me, VIEWS)) for me in VIEWS}) == 1


def test_dead_hosts_keep_the_zones_of_their_slots():
    host_table = _hosts.HostTable(VIEWS[0].host, VIEWS[0].zone, 0.0, 300.0)
    host_table.set_roster(VIEWS)
    host_table.set_hosts(VIEWS, 0.5)
    slots = range(_hashing.HOST_SLOTS)
    before = [host_table.route(slot).zone for slot in slots]
    host_table.set_hosts(VIEWS[:4], 1.0)
    assert [host_table.route(slot).zone for slot in slots] == before
