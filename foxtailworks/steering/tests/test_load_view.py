"""Placement by the load of all hosts, and without it."""

import collections
import random

import pytest

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import steering
from foxtailworks.steering import _config
from foxtailworks.steering import _zone_share

PEER = ids.Address("10.0.0.1", 1)
DESTINATION = ids.Address("198.18.0.1", 443)
FULL = 10


class Placing:
    """A host before four upstreams, two in each of two zones."""

    def __init__(self):
        registry = discovery.Registry(1, 100.0)
        self.tokens = {}
        for name, zone in (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")):
            item = making.instance(name, zone=ids.ZoneId(zone))
            registry.announce(item, 0.0)
            self.tokens[name] = steering.token_of(*item.key)
        roster = discovery.Roster()
        roster.merge(PEER, registry.changes(0, 0), 0.0)
        self.host = steering.Steering(
            roster, ids.ZoneId("a"), random.Random(1)
        )
        share = steering.Share(ids.ServiceId("desk"), 1)
        kind = steering.RequestKind.IDEMPOTENT
        route = steering.Route(DESTINATION, (share,), kind, 500, 100, 1)
        self.host.put_routes(steering.RouteTable(1, (route,), 15_000))
        self.number = 0

    def see(self, now=1.0, **loads):
        named = {self.tokens[name]: count for name, count in loads.items()}
        self.host.load_view.put(named, now)

    def place(self, count=1, now=1.0):
        """Place flows and return how many each upstream got."""
        placed = collections.Counter()
        for _ in range(count):
            self.number += 1
            flow = steering.FlowKey(self.number.to_bytes(12, "big"))
            syn = steering.Syn(flow, DESTINATION, 0, b"syn")
            found = self.host.open(syn, now)
            placed[found.instance.instance] += 1
            last = steering.Packet(flow, DESTINATION, found.token, True, False)
            self.host.forward(last, now)
        return placed


@pytest.fixture(name="placing")
def make_placing():
    return Placing()


def test_a_full_upstream_gets_no_new_flow(placing):
    placing.see(a1=FULL, a2=1)
    assert "a1" not in placing.place(50)


def test_a_loaded_upstream_gets_fewer_flows_but_not_none(placing):
    """Guards against all hosts choosing the least loaded one in the view."""
    placing.see(a1=6, a2=1)
    placed = placing.place(300)
    assert placed["a2"] > 1.5 * placed["a1"] > 0


def test_a_view_that_is_too_old_is_not_used(placing):
    placing.see(a1=FULL, a2=1)
    assert placing.place(50, now=1.0 + _config.Config().view_valid_s)["a1"]


def test_own_counts_are_used_when_the_view_shows_all_as_full(placing):
    placing.see(a1=FULL, a2=FULL, b1=FULL, b2=255)
    assert set(placing.place(50)) == {"a1", "a2"}


def test_a_zone_whose_upstreams_are_full_uses_the_other_one(placing):
    placing.see(a1=FULL, a2=FULL, b1=2, b2=2)
    assert set(placing.place(50)) == {"b1", "b2"}
    assert placing.host.load_view.sent_away_count == 50


def test_unknown_upstreams_in_a_view_are_ignored(placing):
    placing.host.load_view.put({12345: 9}, 1.0)
    assert placing.host.load_view.listed_count == 0
    assert set(placing.place(50)) == {"a1", "a2"}


def test_own_flows_that_a_view_contains_are_counted_once(placing):
    view = placing.host.load_view
    flow = steering.FlowKey(bytes(12))
    found = placing.host.open(steering.Syn(flow, DESTINATION, 0, b"syn"), 1.0)
    key = found.instance.key
    assert view.load(key) == 1
    assert view.take_report() == {found.token: 1}
    view.put({found.token: 4}, 1.0)
    assert view.load(key) == 4
    last = steering.Packet(flow, DESTINATION, found.token, True, False)
    placing.host.forward(last, 1.0)
    assert view.load(key) == 3


LOADED = _zone_share.ZoneLoad(30, 20)
IDLE = _zone_share.ZoneLoad(5, 20)


def share_after(updates, own, other, share=None):
    if share is None:
        share = _zone_share.ZoneShare(ids.ZoneId("a"), _config.Config())
    for number in range(updates):
        loads = {ids.ZoneId("a"): own, ids.ZoneId("b"): other}
        share.update(loads, float(number))
    return share


def test_a_zone_sends_its_excess_away_in_steps():
    """Guards against a share that jumps with each view and oscillates."""
    cfg = _config.Config()
    assert share_after(1, LOADED, IDLE).away == cfg.zone_share_step
    share = share_after(100, LOADED, IDLE)
    assert share.away == cfg.max_zone_share
    assert share_after(100, IDLE, IDLE, share).away == 0.0


@pytest.mark.parametrize(
    ("own", "other"),
    [
        (_zone_share.ZoneLoad(12, 20), _zone_share.ZoneLoad(0, 20)),
        (_zone_share.ZoneLoad(33, 20), _zone_share.ZoneLoad(30, 20)),
    ],
    ids=["below 0.6", "0.15 above the others"],
)
def test_a_zone_keeps_its_flows_without_a_clear_excess(own, other):
    assert share_after(10, own, other).away == 0.0


@pytest.mark.parametrize("zone", ["a", "b"])
def test_a_single_zone_keeps_all_flows(zone):
    """Guards against a division by the slots of zones that don't exist."""
    share = share_after(5, LOADED, IDLE)
    share.update({ids.ZoneId(zone): LOADED}, 9.0)
    assert share.away == 0.0
