"""Tests that a packet reaches the upstream of its flow, or none."""

import dataclasses
import random

import pytest

from foxtailworks.discovery.tests import making
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import steering
from foxtailworks.steering.tests import steered


def test_any_host_forwards_a_flow_by_its_token_alone():
    fleet = steered.Fleet(
        *(steered.make_instance(n) for n in range(1, 8)), hosts=4
    )
    for number in range(100):
        item = steered.make_syn(number)
        placed = fleet.hosts[0].open(item, 0.0)
        for host in fleet.hosts[1:]:
            found = host.forward(steered.make_packet(item, placed.token), 0.1)
            assert found.instance == placed.instance


def test_a_packet_with_an_unknown_token_is_dropped():
    fleet = steered.Fleet(steered.make_instance(1))
    found = fleet.hosts[0].forward(
        steered.make_packet(steered.make_syn(), steering.Token(9)), 0.0
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
    fleet = steered.Fleet(
        steered.make_instance(1),
        steered.make_instance(2),
        steered.make_instance(3),
    )
    for number in range(50):
        placed = fleet.hosts[0].open(steered.make_syn(number), 0.0)
        assert placed.instance.instance == "i-3"
    found = fleet.hosts[0].forward(
        steered.make_packet(steered.make_syn(), steering.Token(42)), 0.0
    )
    assert found == steering.Drop(steering.Reason.UNKNOWN_TOKEN)


def test_a_draining_upstream_keeps_its_flows_and_gets_no_others():
    fleet = steered.Fleet(steered.make_instance(1))
    item = steered.make_syn()
    placed = fleet.hosts[0].open(item, 0.0)
    fleet.announce(
        steered.make_instance(1, sequence=2, state=making.DRAINING), 0.1
    )
    kept = fleet.hosts[0].forward(steered.make_packet(item, placed.token), 0.2)
    assert kept.instance.instance == "i-1"
    refused = fleet.hosts[0].open(steered.make_syn(2), 0.2)
    assert refused == steering.Reset(steering.Reason.NO_UPSTREAM)


def test_a_dropped_route_ends_its_flows():
    fleet = steered.Fleet(steered.make_instance(1))
    item = steered.make_syn()
    placed = fleet.hosts[0].open(item, 0.0)
    other = steered.make_route(ids.Address("198.18.0.2", 443))
    assert fleet.hosts[0].put_routes(steered.make_table(2, (other,)))
    found = fleet.hosts[0].forward(
        steered.make_packet(item, placed.token), 0.1
    )
    assert found == steering.Reset(steering.Reason.NO_ROUTE)


def test_an_older_table_never_replaces_a_newer_one():
    fleet = steered.Fleet(steered.make_instance(1))
    assert fleet.hosts[0].put_routes(steered.make_table(5))
    assert not fleet.hosts[0].put_routes(steered.make_table(4))
    assert not fleet.hosts[0].put_routes(steered.make_table(5))
    assert fleet.hosts[0].revision == 5


def test_an_unknown_destination_is_reset_at_the_retransmission():
    host = steered.Fleet(steered.make_instance(1)).hosts[0]
    destination = ids.Address("198.18.0.9", 1)
    first = host.open(steered.make_syn(1, 0, destination), 0.0)
    assert first == steering.Drop(steering.Reason.NO_ROUTE)
    second = host.open(steered.make_syn(1, 1, destination), 0.2)
    assert second == steering.Reset(steering.Reason.NO_ROUTE)


def test_a_syn_received_before_the_routes_is_placed_with_them():
    fleet = steered.Fleet(steered.make_instance(1))
    host = steering.Steering(
        fleet.rosters[0], ids.ZoneId("a"), random.Random(1)
    )
    item = steered.make_syn()
    assert host.open(item, 0.0) == steering.Drop(steering.Reason.NOT_READY)
    assert list(host.on_tick(0.1)) == []
    host.put_routes(steered.make_table())
    (found,) = host.on_tick(0.2)
    assert found.packet == item.packet
    assert found.decision.instance.instance == "i-1"
    assert list(host.on_tick(0.21)) == []


def test_an_unanswered_syn_is_placed_on_other_upstreams():
    fleet = steered.Fleet(
        steered.make_instance(1),
        steered.make_instance(2),
        steered.make_instance(3),
    )
    host = fleet.hosts[0]
    item = steered.make_syn()
    first = host.open(item, 0.0)
    assert list(host.on_tick(steered.CONFIG.min_answer_timeout_s - 0.01)) == []
    (second,) = host.on_tick(steered.CONFIG.min_answer_timeout_s + 0.01)
    assert (
        list(host.on_tick(2 * steered.CONFIG.min_answer_timeout_s + 0.03))
        == []
    )
    third = host.open(steered.make_syn(retransmission=1), 0.2)
    assert list(host.on_tick(1.0)) == [], "three upstreams at most"
    tried = {d.instance.instance for d in (first, second.decision, third)}
    assert tried == {"i-1", "i-2", "i-3"}


def test_only_the_first_upstream_of_a_syn_becomes_suspected():
    # A crashed upstream's machine resets the caller, unseen by this host.
    # The caller then ignores the answers of the other upstreams.
    host = steered.Fleet(
        steered.make_instance(1),
        steered.make_instance(2),
        steered.make_instance(3),
    ).hosts[0]
    first = host.open(steered.make_syn(), 0.0).instance.instance
    (due,) = host.on_tick(0.05)
    list(host.on_tick(0.12))
    chosen = [
        host.open(steered.make_syn(number), 0.13).instance.instance
        for number in range(2, 5)
    ]
    assert first not in chosen
    assert due.decision.instance.instance in chosen
    assert len(set(chosen)) == 2


def test_the_suspicion_after_one_unanswered_syn_expires():
    host = steered.Fleet(
        steered.make_instance(1), steered.make_instance(2)
    ).hosts[0]
    first = host.open(steered.make_syn(), 0.0).instance.instance
    list(host.on_tick(0.05))
    later = 0.05 + steered.CONFIG.back_off_s + 0.01
    chosen = {
        host.open(steered.make_syn(number), later).instance.instance
        for number in range(2, 40)
    }
    assert first in chosen


def test_an_answered_syn_is_placed_once():
    host = steered.Fleet(
        steered.make_instance(1), steered.make_instance(2)
    ).hosts[0]
    item = steered.make_syn()
    placed = host.open(item, 0.0)
    host.forward(steered.make_packet(item, placed.token), 0.01)
    assert list(host.on_tick(1.0)) == []


def test_a_retry_prefers_the_own_zone():
    far = [steered.make_instance(n, zone=ids.ZoneId("b")) for n in range(1, 6)]
    near = steered.make_instance(9, zone=ids.ZoneId("a"))
    for seed in range(20):
        host = steered.Fleet(*far, near, seed=seed).hosts[0]
        first = host.open(steered.make_syn(), 0.0)
        if first.instance.zone == "a":
            continue
        (second,) = host.on_tick(0.05)
        assert second.decision.instance.instance == "i-9"


def test_an_unresponsive_upstream_is_used_again_after_a_back_off():
    host = steered.Fleet(
        steered.make_instance(1), steered.make_instance(2)
    ).hosts[0]
    now, dead = 0.0, "i-1"
    chosen = []
    for number in range(400):
        now += 0.01
        item = steered.make_syn(number)
        decisions = [(item, host.open(item, now))]
        decisions += [
            (steered.make_syn(int(due.packet[3:])), due.decision)
            for due in host.on_tick(now)
        ]
        for sent, found in decisions:
            if found.instance.instance != dead:
                host.forward(
                    steered.make_packet(sent, found.token, True), now + 0.001
                )
        chosen.append(decisions[0][1].instance.instance)
    assert chosen[100:].count(dead) <= 6
    assert dead in chosen[100:], "it is tried again after a back-off"


def test_open_flows_are_spread_by_free_slots():
    fleet = steered.Fleet(
        steered.make_instance(1, slots=2), steered.make_instance(2, slots=4)
    )
    counts = {"i-1": 0, "i-2": 0}
    for number in range(60):
        item = steered.make_syn(number)
        found = fleet.hosts[0].open(item, 0.0)
        fleet.hosts[0].forward(steered.make_packet(item, found.token), 0.0)
        counts[found.instance.instance] += 1
    assert counts == {"i-1": 20, "i-2": 40}


def test_invalid_routes_and_tables_are_rejected():
    with pytest.raises(errors.FoxtailError):
        steering.Route(
            steered.DESTINATION,
            (steering.Share(steered.SERVICE, 0),),
            steering.RequestKind.IDEMPOTENT,
            500,
            100,
            1,
        )
    with pytest.raises(errors.FoxtailError):
        steered.make_table(1, (steered.make_route(), steered.make_route()))


def test_suspicion_does_not_overload_the_remaining_upstreams():
    # A host that suspects nearly all is most likely partitioned itself, or
    # was stopped for a while.
    fleet = steered.Fleet(*(steered.make_instance(n) for n in range(1, 7)))
    host = fleet.hosts[0]
    host.suspicions.put_suspected(
        [steered.make_instance(n).key for n in range(2, 7)], 0.0
    )
    counts = dict.fromkeys((f"i-{n}" for n in range(1, 7)), 0)
    for number in range(24):
        found = host.open(steered.make_syn(number), 0.1)
        counts[found.instance.instance] += 1
    assert counts["i-1"] == max(counts.values())
    assert counts["i-1"] <= 6, "12 slots and 24 flows"


def test_a_host_that_suspects_most_upstreams_reports_none():
    fleet = steered.Fleet(*(steered.make_instance(n) for n in range(1, 5)))
    host = fleet.hosts[0]
    for number in (1, 2):
        host.suspicions.on_unanswered(steered.make_instance(number).key, 0.0)
    assert len(host.reportable_suspects(0.1)) == 2
    host.suspicions.on_unanswered(steered.make_instance(3).key, 0.0)
    assert host.reportable_suspects(0.1) == ()


def without_routes():
    fleet = steered.Fleet(steered.make_instance(1))
    return steering.Steering(
        fleet.rosters[0], ids.ZoneId("a"), random.Random(1)
    )


def test_a_syn_whose_caller_has_timed_out_is_not_placed():
    host = without_routes()
    host.open(steered.make_syn(1), 0.0)
    host.open(steered.make_syn(2), 0.3)
    host.put_routes(steered.make_table())
    # The first one's retransmission was due at 0.2 s and hasn't come.
    found = [due.packet for due in host.on_tick(0.4)]
    assert found == [b"syn2"]


def test_a_syn_is_held_while_its_retransmissions_come():
    host = without_routes()
    host.open(steered.make_syn(1), 0.0)
    host.open(steered.make_syn(1, retransmission=1), 0.2)
    host.open(steered.make_syn(1, retransmission=2), 0.6)
    assert list(host.on_tick(1.2)) == []
    host.put_routes(steered.make_table())
    assert len(list(host.on_tick(1.3))) == 1


def test_retries_do_not_overload_the_own_zone():
    # While routers move flows between hosts, many SYNs seem unanswered.
    far = [steered.make_instance(n, zone=ids.ZoneId("b")) for n in range(1, 6)]
    host = steered.Fleet(
        *far, steered.make_instance(9, zone=ids.ZoneId("a"))
    ).hosts[0]
    for number in range(24):
        found = host.open(steered.make_syn(number), 0.0)
        if found.instance.instance == "i-9":
            host.forward(
                steered.make_packet(steered.make_syn(number), found.token),
                0.01,
            )
    second = [due.decision.instance.instance for due in host.on_tick(0.05)]
    assert len(second) == 20
    assert 0 < second.count("i-9") <= 8, "two slots of twelve"


def test_a_port_used_again_opens_a_new_flow():
    # The first flow was closed, so its upstream counts as responsive.
    fleet = steered.Fleet(
        steered.make_instance(1),
        steered.make_instance(2, zone=ids.ZoneId("b")),
    )
    host = fleet.hosts[0]
    for number in range(20):
        now = float(number) / 10
        found = host.open(steered.make_syn(1), now)
        assert host.events.take()[0].attempt == 1
        host.forward(
            steered.make_packet(
                steered.make_syn(1), found.token, has_ended=True
            ),
            now + 0.01,
        )
        host.events.take()


# The second placement of a SYN drew the service anew, and reset a flow that
# had opened through another host if that service had no upstream.
@pytest.mark.parametrize("seed", range(20))
def test_a_second_placement_resets_no_flow(seed):
    empty = ids.ServiceId("empty")
    shares = (
        steering.Share(steered.SERVICE, 1),
        steering.Share(empty, 1),
    )
    route = dataclasses.replace(steered.make_route(), shares=shares)
    fleet = steered.Fleet(
        *(steered.make_instance(n) for n in range(1, 5)), seed=seed
    )
    host = fleet.hosts[0]
    host.put_routes(steered.make_table(2, (route,)))
    for number in range(20):
        host.open(steered.make_syn(number), 0.0)
    answer_s = steered.CONFIG.max_answer_timeout_s
    for step in range(1, 4):
        for due in host.on_tick(step * answer_s):
            assert isinstance(due.decision, steering.Forward)
