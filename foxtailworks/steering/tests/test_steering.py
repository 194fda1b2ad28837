"""Each packet to the one upstream of its flow, or to none."""

import random

import pytest

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import steering

PLACE = ids.Address("198.18.0.1", 443)
PEER = ids.Address("10.0.0.1", 1)
DESK = ids.ServiceId("desk")
CONFIG = steering.Config()


def route(destination=PLACE, service=DESK):
    return steering.Route(
        destination,
        (steering.Share(service, 1),),
        steering.RequestKind.IDEMPOTENT,
        500,
        100,
        1,
    )


def table(revision=1, routes=None):
    return steering.RouteTable(revision, routes or (route(),), 15_000)


class Fleet:
    """A registry, and hosts that know it."""

    def __init__(self, *instances, hosts=1, seed=1):
        self.registry = discovery.Registry(1, 3.0)
        self.rosters = [discovery.Roster() for _ in range(hosts)]
        self.hosts = [
            steering.Steering(roster, ids.ZoneId("a"), random.Random(seed))
            for roster in self.rosters
        ]
        for host in self.hosts:
            host.put_routes(table())
        for item in instances:
            self.announce(item)

    def announce(self, item, now=0.0):
        self.registry.announce(item, now)
        self.sync(now)

    def sync(self, now):
        for roster in self.rosters:
            changes = self.registry.changes(*roster.position(PEER))
            roster.merge(PEER, changes, now)


def upstream(number, **changes):
    return making.instance(
        f"i-{number}", address=ids.Address(f"10.0.1.{number}", 80), **changes
    )


def syn(number=1, copy=0, place=PLACE):
    flow = steering.FlowKey(number.to_bytes(12, "big"))
    return steering.Syn(flow, place, copy, b"syn%d" % number)


def packet(item, token, ended=False):
    return steering.Packet(item.flow, item.destination, token, ended)


def test_any_host_forwards_a_flow_by_its_token_alone():
    fleet = Fleet(*(upstream(n) for n in range(1, 8)), hosts=4)
    for number in range(100):
        item = syn(number)
        placed = fleet.hosts[0].open(item, 0.0)
        for host in fleet.hosts[1:]:
            found = host.forward(packet(item, placed.token), 0.1)
            assert found.instance == placed.instance


def test_an_unknown_token_is_never_guessed_at():
    fleet = Fleet(upstream(1))
    found = fleet.hosts[0].forward(packet(syn(), steering.Token(9)), 0.0)
    assert found == steering.Drop(steering.Reason.UNKNOWN_TOKEN)


def test_colliding_tokens_are_neither_given_nor_followed(monkeypatch):
    from foxtailworks.steering import _tokens

    real = _tokens.token_of

    def same_for_two(instance, incarnation):
        if instance in ("i-1", "i-2"):
            return steering.Token(42)
        return real(instance, incarnation)

    monkeypatch.setattr(_tokens, "token_of", same_for_two)
    fleet = Fleet(upstream(1), upstream(2), upstream(3))
    for number in range(50):
        placed = fleet.hosts[0].open(syn(number), 0.0)
        assert placed.instance.instance == "i-3"
    found = fleet.hosts[0].forward(packet(syn(), steering.Token(42)), 0.0)
    assert found == steering.Drop(steering.Reason.UNKNOWN_TOKEN)


def test_a_restart_under_the_same_id_has_another_token():
    fleet = Fleet(upstream(1, born=100))
    item = syn()
    old = fleet.hosts[0].open(item, 0.0)
    fleet.announce(upstream(1, born=200), 1.0)
    new = fleet.hosts[0].open(syn(2), 1.0)
    assert old.token != new.token
    early = fleet.hosts[0].forward(packet(item, old.token), 1.1)
    assert early == steering.Drop(steering.Reason.UPSTREAM_GONE)
    late = 1.0 + CONFIG.exit_s
    found = fleet.hosts[0].forward(packet(item, old.token), late)
    assert found == steering.Reset(steering.Reason.UPSTREAM_GONE)


def test_a_draining_upstream_keeps_its_flows_and_gets_no_others():
    fleet = Fleet(upstream(1))
    item = syn()
    placed = fleet.hosts[0].open(item, 0.0)
    fleet.announce(upstream(1, sequence=2, state=making.DRAINING), 0.1)
    kept = fleet.hosts[0].forward(packet(item, placed.token), 0.2)
    assert kept.instance.instance == "i-1"
    refused = fleet.hosts[0].open(syn(2), 0.2)
    assert refused == steering.Reset(steering.Reason.NO_UPSTREAM)


def test_a_dropped_route_ends_its_flows():
    fleet = Fleet(upstream(1))
    item = syn()
    placed = fleet.hosts[0].open(item, 0.0)
    other = route(ids.Address("198.18.0.2", 443))
    assert fleet.hosts[0].put_routes(table(2, (other,)))
    found = fleet.hosts[0].forward(packet(item, placed.token), 0.1)
    assert found == steering.Reset(steering.Reason.NO_ROUTE)


def test_an_older_table_never_comes_back_in_force():
    fleet = Fleet(upstream(1))
    assert fleet.hosts[0].put_routes(table(5))
    assert not fleet.hosts[0].put_routes(table(4))
    assert not fleet.hosts[0].put_routes(table(5))
    assert fleet.hosts[0].revision == 5


def test_an_unknown_route_is_answered_for_certain_at_the_copy():
    host = Fleet(upstream(1)).hosts[0]
    place = ids.Address("198.18.0.9", 1)
    first = host.open(syn(1, 0, place), 0.0)
    assert first == steering.Drop(steering.Reason.NO_ROUTE)
    second = host.open(syn(1, 1, place), 0.2)
    assert second == steering.Reset(steering.Reason.NO_ROUTE)


def test_an_opening_that_comes_before_the_routes_is_placed_with_them():
    fleet = Fleet(upstream(1))
    host = steering.Steering(
        fleet.rosters[0], ids.ZoneId("a"), random.Random(1)
    )
    item = syn()
    assert host.open(item, 0.0) == steering.Drop(steering.Reason.NOT_READY)
    assert list(host.on_tick(0.1)) == []
    host.put_routes(table())
    (found,) = host.on_tick(0.2)
    assert found.packet == item.packet
    assert found.decision.instance.instance == "i-1"
    assert list(host.on_tick(0.21)) == []


def test_an_unanswered_opening_is_placed_elsewhere_at_once():
    fleet = Fleet(upstream(1), upstream(2), upstream(3))
    host = fleet.hosts[0]
    item = syn()
    first = host.open(item, 0.0)
    assert list(host.on_tick(CONFIG.answer_min_s - 0.01)) == []
    (second,) = host.on_tick(CONFIG.answer_min_s + 0.01)
    assert list(host.on_tick(2 * CONFIG.answer_min_s + 0.03)) == []
    third = host.open(syn(copy=1), 0.2)
    assert list(host.on_tick(1.0)) == [], "three upstreams at most"
    tried = {d.instance.instance for d in (first, second.decision, third)}
    assert tried == {"i-1", "i-2", "i-3"}


def test_a_caller_that_left_speaks_against_the_first_upstream_alone():
    # A crashed upstream resets the caller directly, unseen by this host:
    # what the others answer then shows nothing of them.
    host = Fleet(upstream(1), upstream(2), upstream(3)).hosts[0]
    first = host.open(syn(), 0.0).instance.instance
    (due,) = host.on_tick(0.05)
    list(host.on_tick(0.12))
    chosen = [
        host.open(syn(number), 0.13).instance.instance
        for number in range(2, 5)
    ]
    assert first not in chosen
    assert due.decision.instance.instance in chosen
    assert len(set(chosen)) == 2


def test_one_miss_is_forgotten_soon_and_an_answer_forgives_all():
    host = Fleet(upstream(1), upstream(2)).hosts[0]
    first = host.open(syn(), 0.0).instance.instance
    list(host.on_tick(0.05))
    later = 0.05 + CONFIG.back_off_s + 0.01
    chosen = {
        host.open(syn(number), later).instance.instance
        for number in range(2, 40)
    }
    assert first in chosen


def test_an_answered_opening_is_placed_once():
    host = Fleet(upstream(1), upstream(2)).hosts[0]
    item = syn()
    placed = host.open(item, 0.0)
    host.forward(packet(item, placed.token), 0.01)
    assert list(host.on_tick(1.0)) == []


def test_the_second_try_stays_in_the_own_zone_if_it_can():
    far = [upstream(n, zone=ids.ZoneId("b")) for n in range(1, 6)]
    near = upstream(9, zone=ids.ZoneId("a"))
    for seed in range(20):
        host = Fleet(*far, near, seed=seed).hosts[0]
        first = host.open(syn(), 0.0)
        if first.instance.zone == "a":
            continue
        (second,) = host.on_tick(0.05)
        assert second.decision.instance.instance == "i-9"


def test_a_silent_upstream_is_avoided_and_tried_again_later():
    host = Fleet(upstream(1), upstream(2)).hosts[0]
    now, dead = 0.0, "i-1"
    chosen = []
    for number in range(400):
        now += 0.01
        item = syn(number)
        decisions = [(item, host.open(item, now))]
        decisions += [
            (syn(int(due.packet[3:])), due.decision)
            for due in host.on_tick(now)
        ]
        for sent, found in decisions:
            if found.instance.instance != dead:
                host.forward(packet(sent, found.token, True), now + 0.001)
        chosen.append(decisions[0][1].instance.instance)
    assert chosen[100:].count(dead) <= 6
    assert dead in chosen[100:], "it is tried again after a back-off"


def test_open_flows_are_spread_by_free_slots():
    fleet = Fleet(upstream(1, slots=2), upstream(2, slots=4))
    counts = {"i-1": 0, "i-2": 0}
    for number in range(60):
        item = syn(number)
        found = fleet.hosts[0].open(item, 0.0)
        fleet.hosts[0].forward(packet(item, found.token), 0.0)
        counts[found.instance.instance] += 1
    assert counts == {"i-1": 20, "i-2": 40}


def test_a_route_needs_a_service_and_a_time():
    with pytest.raises(errors.FoxtailError):
        steering.Route(
            PLACE,
            (steering.Share(DESK, 0),),
            steering.RequestKind.IDEMPOTENT,
            500,
            100,
            1,
        )
    with pytest.raises(errors.FoxtailError):
        table(1, (route(), route()))


def test_avoidance_does_not_pile_all_load_on_what_is_left():
    # A host that finds nearly all silent is itself cut off, or was late.
    fleet = Fleet(*(upstream(n) for n in range(1, 7)))
    host = fleet.hosts[0]
    host.suspicions.put_suspected([upstream(n).key for n in range(2, 7)], 0.0)
    counts = dict.fromkeys((f"i-{n}" for n in range(1, 7)), 0)
    for number in range(24):
        found = host.open(syn(number), 0.1)
        counts[found.instance.instance] += 1
    assert counts["i-1"] == max(counts.values())
    assert counts["i-1"] <= 6, "12 slots and 24 flows"


def test_a_host_that_avoids_most_reports_nothing():
    fleet = Fleet(*(upstream(n) for n in range(1, 5)))
    host = fleet.hosts[0]
    for number in (1, 2):
        host.suspicions.on_unanswered(upstream(number).key, 0.0)
    assert len(host.reportable_suspects(0.1)) == 2
    host.suspicions.on_unanswered(upstream(3).key, 0.0)
    assert host.reportable_suspects(0.1) == ()


def without_routes():
    fleet = Fleet(upstream(1))
    return steering.Steering(
        fleet.rosters[0], ids.ZoneId("a"), random.Random(1)
    )


def test_an_opening_whose_caller_has_left_is_not_placed():
    host = without_routes()
    host.open(syn(1), 0.0)
    host.open(syn(2), 0.3)
    host.put_routes(table())
    # The first one's copy was due at 0.2 s and hasn't come.
    found = [due.packet for due in host.on_tick(0.4)]
    assert found == [b"syn2"]


def test_an_opening_is_held_as_long_as_its_copies_come():
    host = without_routes()
    host.open(syn(1), 0.0)
    host.open(syn(1, copy=1), 0.2)
    host.open(syn(1, copy=2), 0.6)
    assert list(host.on_tick(1.2)) == []
    host.put_routes(table())
    assert len(list(host.on_tick(1.3))) == 1


def test_second_tries_do_not_pile_up_in_the_own_zone():
    # While routers move flows between hosts, many openings seem unanswered.
    far = [upstream(n, zone=ids.ZoneId("b")) for n in range(1, 6)]
    host = Fleet(*far, upstream(9, zone=ids.ZoneId("a"))).hosts[0]
    for number in range(24):
        found = host.open(syn(number), 0.0)
        if found.instance.instance == "i-9":
            host.forward(packet(syn(number), found.token), 0.01)
    second = [due.decision.instance.instance for due in host.on_tick(0.05)]
    assert len(second) == 20
    assert 0 < second.count("i-9") <= 8, "two slots of twelve"


def test_a_port_that_is_used_again_begins_a_new_flow():
    # The first flow has ended; it says nothing against its upstream.
    fleet = Fleet(upstream(1), upstream(2, zone=ids.ZoneId("b")))
    host = fleet.hosts[0]
    for number in range(20):
        now = float(number) / 10
        found = host.open(syn(1), now)
        assert host.events.take()[0].attempt == 1
        host.forward(packet(syn(1), found.token, ended=True), now + 0.01)
        host.events.take()
