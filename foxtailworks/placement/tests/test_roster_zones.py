"""Hosts that just started differ in what is settled, not in the table."""

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _types

VIEWS = tuple(
    _types.HostView(ids.HostId(f"entry-{i}"), ids.ZoneId(f"zone-{i % 3}"))
    for i in range(6)
)


def _zones(me, homes):
    """Return each slot's zone as one host sees it at the start of all."""
    ring = _hosts.HostRing(me.host, me.zone, 0.0, 300.0)
    ring.set_roster(homes)
    ring.set_hosts(VIEWS, 0.5)
    return [ring.route(slot).zone for slot in range(_hashing.HOST_SLOTS)]


def test_agreed_hosts_give_all_the_same_zones():
    assert len({tuple(_zones(me, VIEWS)) for me in VIEWS}) == 1


def test_dead_hosts_keep_the_zones_of_their_slots():
    ring = _hosts.HostRing(VIEWS[0].host, VIEWS[0].zone, 0.0, 300.0)
    ring.set_roster(VIEWS)
    ring.set_hosts(VIEWS, 0.5)
    slots = range(_hashing.HOST_SLOTS)
    before = [ring.route(slot).zone for slot in slots]
    ring.set_hosts(VIEWS[:4], 1.0)
    assert [ring.route(slot).zone for slot in slots] == before
