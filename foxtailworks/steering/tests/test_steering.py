"""Tests that a packet reaches the upstream of its flow, or none."""

import random

import pytest

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import steering

DESTINATION = ids.Address("198.18.0.1", 443)
PEER = ids.Address("10.0.0.1", 1)
SERVICE = ids.ServiceId("desk")
CONFIG = steering.Config()


def make_route(destination=DESTINATION, service=SERVICE):
    return steering.Route(
        destination,
        (steering.Share(service, 1),),
        steering.RequestKind.IDEMPOTENT,
        500,
        100,
        1,
    )


def make_table(revision=1, routes=None):
    return steering.RouteTable(revision, routes or (make_route(),), 15_000)


class Fleet:
    """A registry, and hosts whose rosters follow it."""

    def __init__(self, *instances, hosts=1, seed=1):
        self.registry = discovery.Registry(1, 3.0)
        self.rosters = [discovery.Roster() for _ in range(hosts)]
        self.hosts = [
            steering.Steering(roster, ids.ZoneId("a"), random.Random(seed))
            for roster in self.rosters
        ]
        for host in self.hosts:
            host.put_routes(make_table())
        for item in instances:
            self.announce(item)

    def announce(self, item, now=0.0):
        self.registry.announce(item, now)
        self.sync(now)

    def sync(self, now):
        for roster in self.rosters:
            changes = self.registry.changes(*roster.position(PEER))
            roster.merge(PEER, changes, now)


def make_instance(number, **changes):
    return making.instance(
        f"i-{number}", address=ids.Address(f"10.0.1.{number}", 80), **changes
    )


def make_syn(number=1, retransmission=0, destination=DESTINATION):
    flow = steering.FlowKey(number.to_bytes(12, "big"))
    return steering.Syn(flow, destination, retransmission, b"syn%d" % number)


def make_packet(item, token, has_ended=False):
    return steering.Packet(item.flow, item.destination, token, has_ended)


def test_any_host_forwards_a_flow_by_its_token_alone():
    fleet = Fleet(*(make_instance(n) for n in range(1, 8)), hosts=4)
    for number in range(100):
        item = make_syn(number)
        placed = fleet.hosts[0].open(item, 0.0)
        for host in fleet.hosts[1:]:
            found = host.forward(make_packet(item, placed.token), 0.1)
            assert found.instance == placed.instance


def test_a_packet_with_an_unknown_token_is_dropped():
    fleet = Fleet(make_instance(1))
    found = fleet.hosts[0].forward(
        make_packet(make_syn(), steering.Token(9)), 0.0
    )
    assert found == steering.Drop(steering.Reason.UNKNOWN_TOKEN)


def test_colliding_tokens_are_neither_assigned_nor_routed(monkeypatch):
    from foxtailworks.steering import _tokens

    real = _tokens.token_of

    def same_for_two(instance, incarnation):
        if instance in ("i-1", "i-2"):
            return steering.Token(42)
        return real(instance, incarnation)

    monkeypatch.setattr(_tokens, "token_of", same_for_two)
    fleet = Fleet(make_instance(1), make_instance(2), make_instance(3))
    for number in range(50):
        placed = fleet.hosts[0].open(make_syn(number), 0.0)
        assert placed.instance.instance == "i-3"
    found = fleet.hosts[0].forward(
        make_packet(make_syn(), steering.Token(42)), 0.0
    )
    assert found == steering.Drop(steering.Reason.UNKNOWN_TOKEN)


def test_a_restart_under_the_same_id_has_another_token():
    fleet = Fleet(make_instance(1, born=100))
    item = make_syn()
    old = fleet.hosts[0].open(item, 0.0)
    fleet.announce(make_instance(1, born=200), 1.0)
    new = fleet.hosts[0].open(make_syn(2), 1.0)
    assert old.token != new.token
    early = fleet.hosts[0].forward(make_packet(item, old.token), 1.1)
    assert early == steering.Drop(steering.Reason.UPSTREAM_GONE)
    late = 1.0 + CONFIG.exit_grace_s
    found = fleet.hosts[0].forward(make_packet(item, old.token), late)
    assert found == steering.Reset(steering.Reason.UPSTREAM_GONE)


def test_a_draining_upstream_keeps_its_flows_and_gets_no_others():
    fleet = Fleet(make_instance(1))
    item = make_syn()
    placed = fleet.hosts[0].open(item, 0.0)
    fleet.announce(make_instance(1, sequence=2, state=making.DRAINING), 0.1)
    kept = fleet.hosts[0].forward(make_packet(item, placed.token), 0.2)
    assert kept.instance.instance == "i-1"
    refused = fleet.hosts[0].open(make_syn(2), 0.2)
    assert refused == steering.Reset(steering.Reason.NO_UPSTREAM)


def test_a_dropped_route_ends_its_flows():
    fleet = Fleet(make_instance(1))
    item = make_syn()
    placed = fleet.hosts[0].open(item, 0.0)
    other = make_route(ids.Address("198.18.0.2", 443))
    assert fleet.hosts[0].put_routes(make_table(2, (other,)))
    found = fleet.hosts[0].forward(make_packet(item, placed.token), 0.1)
    assert found == steering.Reset(steering.Reason.NO_ROUTE)


def test_an_older_table_never_replaces_a_newer_one():
    fleet = Fleet(make_instance(1))
    assert fleet.hosts[0].put_routes(make_table(5))
    assert not fleet.hosts[0].put_routes(make_table(4))
    assert not fleet.hosts[0].put_routes(make_table(5))
    assert fleet.hosts[0].revision == 5


def test_an_unknown_destination_is_reset_at_the_retransmission():
    host = Fleet(make_instance(1)).hosts[0]
    destination = ids.Address("198.18.0.9", 1)
    first = host.open(make_syn(1, 0, destination), 0.0)
    assert first == steering.Drop(steering.Reason.NO_ROUTE)
    second = host.open(make_syn(1, 1, destination), 0.2)
    assert second == steering.Reset(steering.Reason.NO_ROUTE)


def test_a_syn_received_before_the_routes_is_placed_with_them():
    fleet = Fleet(make_instance(1))
    host = steering.Steering(
        fleet.rosters[0], ids.ZoneId("a"), random.Random(1)
    )
    item = make_syn()
    assert host.open(item, 0.0) == steering.Drop(steering.Reason.NOT_READY)
    assert list(host.on_tick(0.1)) == []
    host.put_routes(make_table())
    (found,) = host.on_tick(0.2)
    assert found.packet == item.packet
    assert found.decision.instance.instance == "i-1"
    assert list(host.on_tick(0.21)) == []


def test_an_unanswered_syn_is_placed_on_other_upstreams():
    fleet = Fleet(make_instance(1), make_instance(2), make_instance(3))
    host = fleet.hosts[0]
    item = make_syn()
    first = host.open(item, 0.0)
    assert list(host.on_tick(CONFIG.min_answer_timeout_s - 0.01)) == []
    (second,) = host.on_tick(CONFIG.min_answer_timeout_s + 0.01)
    assert list(host.on_tick(2 * CONFIG.min_answer_timeout_s + 0.03)) == []
    third = host.open(make_syn(retransmission=1), 0.2)
    assert list(host.on_tick(1.0)) == [], "three upstreams at most"
    tried = {d.instance.instance for d in (first, second.decision, third)}
    assert tried == {"i-1", "i-2", "i-3"}


def test_only_the_first_upstream_of_a_syn_becomes_suspected():
    # A crashed upstream's machine resets the caller, unseen by this host.
    # The caller then ignores the answers of the other upstreams.
    host = Fleet(make_instance(1), make_instance(2), make_instance(3)).hosts[0]
    first = host.open(make_syn(), 0.0).instance.instance
    (due,) = host.on_tick(0.05)
    list(host.on_tick(0.12))
    chosen = [
        host.open(make_syn(number), 0.13).instance.instance
        for number in range(2, 5)
    ]
    assert first not in chosen
    assert due.decision.instance.instance in chosen
    assert len(set(chosen)) == 2


def test_the_suspicion_after_one_unanswered_syn_expires():
    host = Fleet(make_instance(1), make_instance(2)).hosts[0]
    first = host.open(make_syn(), 0.0).instance.instance
    list(host.on_tick(0.05))
    later = 0.05 + CONFIG.back_off_s + 0.01
    chosen = {
        host.open(make_syn(number), later).instance.instance
        for number in range(2, 40)
    }
    assert first in chosen


def test_an_answered_syn_is_placed_once():
    host = Fleet(make_instance(1), make_instance(2)).hosts[0]
    item = make_syn()
    placed = host.open(item, 0.0)
    host.forward(make_packet(item, placed.token), 0.01)
    assert list(host.on_tick(1.0)) == []


def test_a_retry_prefers_the_own_zone():
    far = [make_instance(n, zone=ids.ZoneId("b")) for n in range(1, 6)]
    near = make_instance(9, zone=ids.ZoneId("a"))
    for seed in range(20):
        host = Fleet(*far, near, seed=seed).hosts[0]
        first = host.open(make_syn(), 0.0)
        if first.instance.zone == "a":
            continue
        (second,) = host.on_tick(0.05)
        assert second.decision.instance.instance == "i-9"


def test_an_unresponsive_upstream_is_used_again_after_a_back_off():
    host = Fleet(make_instance(1), make_instance(2)).hosts[0]
    now, dead = 0.0, "i-1"
    chosen = []
    for number in range(400):
        now += 0.01
        item = make_syn(number)
        decisions = [(item, host.open(item, now))]
        decisions += [
            (make_syn(int(due.packet[3:])), due.decision)
            for due in host.on_tick(now)
        ]
        for sent, found in decisions:
            if found.instance.instance != dead:
                host.forward(make_packet(sent, found.token, True), now + 0.001)
        chosen.append(decisions[0][1].instance.instance)
    assert chosen[100:].count(dead) <= 6
    assert dead in chosen[100:], "it is tried again after a back-off"


def test_open_flows_are_spread_by_free_slots():
    fleet = Fleet(make_instance(1, slots=2), make_instance(2, slots=4))
    counts = {"i-1": 0, "i-2": 0}
    for number in range(60):
        item = make_syn(number)
        found = fleet.hosts[0].open(item, 0.0)
        fleet.hosts[0].forward(make_packet(item, found.token), 0.0)
        counts[found.instance.instance] += 1
    assert counts == {"i-1": 20, "i-2": 40}


def test_invalid_routes_and_tables_are_rejected():
    with pytest.raises(errors.FoxtailError):
        steering.Route(
            DESTINATION,
            (steering.Share(SERVICE, 0),),
            steering.RequestKind.IDEMPOTENT,
            500,
            100,
            1,
        )
    with pytest.raises(errors.FoxtailError):
        make_table(1, (make_route(), make_route()))


def test_suspicion_does_not_overload_the_remaining_upstreams():
    # A host that suspects nearly all is most likely partitioned itself, or
    # was stopped for a while.
    fleet = Fleet(*(make_instance(n) for n in range(1, 7)))
    host = fleet.hosts[0]
    host.suspicions.put_suspected(
        [make_instance(n).key for n in range(2, 7)], 0.0
    )
    counts = dict.fromkeys((f"i-{n}" for n in range(1, 7)), 0)
    for number in range(24):
        found = host.open(make_syn(number), 0.1)
        counts[found.instance.instance] += 1
    assert counts["i-1"] == max(counts.values())
    assert counts["i-1"] <= 6, "12 slots and 24 flows"


def test_a_host_that_suspects_most_upstreams_reports_none():
    fleet = Fleet(*(make_instance(n) for n in range(1, 5)))
    host = fleet.hosts[0]
    for number in (1, 2):
        host.suspicions.on_unanswered(make_instance(number).key, 0.0)
    assert len(host.reportable_suspects(0.1)) == 2
    host.suspicions.on_unanswered(make_instance(3).key, 0.0)
    assert host.reportable_suspects(0.1) == ()


def without_routes():
    fleet = Fleet(make_instance(1))
    return steering.Steering(
        fleet.rosters[0], ids.ZoneId("a"), random.Random(1)
    )


def test_a_syn_whose_caller_has_timed_out_is_not_placed():
    host = without_routes()
    host.open(make_syn(1), 0.0)
    host.open(make_syn(2), 0.3)
    host.put_routes(make_table())
    # The first one's retransmission was due at 0.2 s and hasn't come.
    found = [due.packet for due in host.on_tick(0.4)]
    assert found == [b"syn2"]


def test_a_syn_is_held_while_its_retransmissions_come():
    host = without_routes()
    host.open(make_syn(1), 0.0)
    host.open(make_syn(1, retransmission=1), 0.2)
    host.open(make_syn(1, retransmission=2), 0.6)
    assert list(host.on_tick(1.2)) == []
    host.put_routes(make_table())
    assert len(list(host.on_tick(1.3))) == 1


def test_retries_do_not_overload_the_own_zone():
    # While routers move flows between hosts, many SYNs seem unanswered.
    far = [make_instance(n, zone=ids.ZoneId("b")) for n in range(1, 6)]
    host = Fleet(*far, make_instance(9, zone=ids.ZoneId("a"))).hosts[0]
    for number in range(24):
        found = host.open(make_syn(number), 0.0)
        if found.instance.instance == "i-9":
            host.forward(make_packet(make_syn(number), found.token), 0.01)
    second = [due.decision.instance.instance for due in host.on_tick(0.05)]
    assert len(second) == 20
    assert 0 < second.count("i-9") <= 8, "two slots of twelve"


def test_a_port_used_again_opens_a_new_flow():
    # The first flow was closed, so its upstream counts as responsive.
    fleet = Fleet(make_instance(1), make_instance(2, zone=ids.ZoneId("b")))
    host = fleet.hosts[0]
    for number in range(20):
        now = float(number) / 10
        found = host.open(make_syn(1), now)
        assert host.events.take()[0].attempt == 1
        host.forward(
            make_packet(make_syn(1), found.token, has_ended=True), now + 0.01
        )
        host.events.take()
