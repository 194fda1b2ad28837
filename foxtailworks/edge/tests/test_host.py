"""Tests of an edge host with several coordinators, some unresponsive."""

import random

import pytest

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import edge
from foxtailworks.edge import _host
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import steering
from foxtailworks.steering.tests import encoded

SEED = ids.Address("10.0.0.1", 7000)
OTHER = ids.Address("10.0.0.2", 7000)
DESTINATION = ids.Address("198.18.0.1", 443)


class FakePort:
    def __init__(self):
        self.sent = []

    def send(self, msg, target):
        self.sent.append((msg, target))


class DrivenHost:
    """An edge host whose clock and port the test controls."""

    def __init__(self):
        self.now = 0.0
        self.port = FakePort()
        self.carried_out = []
        cfg = edge.Settings(
            ids.HostId("e1"),
            ids.ZoneId("a"),
            ids.Address("10.0.0.9", 7001),
            (SEED,),
        )
        self.host = edge.Host(
            cfg, lambda: self.now, random.Random(1), self.carried_out.append
        )
        self.host.attach(self.port)

    def tick(self, now):
        self.now = now
        self.port.sent.clear()
        self.host.on_tick(now)
        return {target for _, target in self.port.sent}


def make_answer(registry, revision=1, coordinators=(SEED,), with_table=True):
    route = steering.Route(
        DESTINATION,
        (steering.Share(ids.ServiceId("desk"), 1),),
        steering.RequestKind.IDEMPOTENT,
        500,
        100,
        1,
    )
    table = encoded.encode(steering.RouteTable(revision, (route,), 15_000))
    return polling.PollAnswer(
        registry.changes(0, 0),
        revision,
        table if with_table else b"",
        coordinators,
    )


def test_coordinators_listed_by_another_one_are_polled():
    driven = DrivenHost()
    assert driven.tick(0.0) == {SEED}
    registry = discovery.Registry(1, 3.0)
    driven.host.receive(
        make_answer(registry, coordinators=(SEED, OTHER)), SEED
    )
    assert driven.tick(1.0) == {SEED, OTHER}


def test_a_lagging_coordinator_does_not_restore_old_routes():
    driven = DrivenHost()
    registry = discovery.Registry(1, 3.0)
    driven.host.receive(make_answer(registry, revision=9), SEED)
    driven.host.receive(make_answer(registry, revision=4), OTHER)
    assert driven.host.steering.revision == 9


def test_a_host_without_routes_is_ready_only_while_it_starts():
    driven = DrivenHost()
    assert driven.host.is_ready
    driven.tick(_host.STARTING_S + 0.1)
    assert not driven.host.is_ready
    registry = discovery.Registry(1, 3.0)
    driven.host.receive(make_answer(registry), SEED)
    assert driven.host.is_ready


def test_a_withdrawn_host_is_not_ready_and_still_routes():
    driven = DrivenHost()
    registry = discovery.Registry(1, 3.0)
    registry.announce(making.instance(), 0.0)
    driven.host.receive(make_answer(registry), SEED)
    driven.host.withdraw()
    assert not driven.host.is_ready
    flow = steering.FlowKey(bytes(12))
    found = driven.host.steering.open(
        steering.Syn(flow, DESTINATION, 0, b"syn"), 0.0
    )
    assert isinstance(found, steering.Forward)


def test_a_held_syn_is_placed_when_routes_arrive():
    driven = DrivenHost()
    flow = steering.FlowKey(bytes(12))
    syn = steering.Syn(flow, DESTINATION, 0, b"syn")
    driven.host.steering.open(syn, 0.0)
    registry = discovery.Registry(1, 3.0)
    registry.announce(making.instance(), 0.0)
    driven.host.receive(make_answer(registry), SEED)
    driven.tick(0.1)
    assert [due.packet for due in driven.carried_out] == [b"syn"]


def test_unreadable_routes_do_not_replace_those_in_force():
    driven = DrivenHost()
    registry = discovery.Registry(1, 3.0)
    driven.host.receive(make_answer(registry, revision=3), SEED)
    broken = polling.PollAnswer(registry.changes(0, 0), 5, b"x", (SEED,))
    driven.host.receive(broken, SEED)
    assert driven.host.steering.revision == 3


def test_settings_without_seeds_are_rejected():
    with pytest.raises(errors.FoxtailError):
        edge.Settings(
            ids.HostId("e1"), ids.ZoneId("a"), ids.Address("10.0.0.9", 1), ()
        )


def place_unanswered(driven, now):
    flow = steering.FlowKey(round(now * 1000).to_bytes(12, "big"))
    syn = steering.Syn(flow, DESTINATION, 0, b"syn")
    found = driven.host.steering.open(syn, now)
    driven.tick(now + 0.1)
    return found.instance


def test_a_suspected_upstream_is_reported_at_once():
    driven = DrivenHost()
    registry = discovery.Registry(1, 3.0)
    for number in (1, 2):
        address = ids.Address(f"10.0.1.{number}", 80)
        made = making.instance(f"i-{number}", address=address)
        registry.announce(made, 0.0)
    driven.host.receive(make_answer(registry), SEED)
    driven.tick(0.0)
    suspect = place_unanswered(driven, 0.01)
    (msg,) = [msg for msg, _ in driven.port.sent]
    assert msg.suspected == (suspect.key,)


def test_upstreams_suspected_by_others_are_avoided_for_a_while():
    driven = DrivenHost()
    registry = discovery.Registry(1, 3.0)
    one = making.instance("i-1", address=ids.Address("10.0.1.1", 80))
    two = making.instance("i-2", address=ids.Address("10.0.1.2", 80))
    registry.announce(one, 0.0)
    registry.announce(two, 0.0)
    answer = make_answer(registry)
    with_suspect = polling.PollAnswer(
        answer.changes, answer.revision, answer.table, (SEED,), (one.key,)
    )
    driven.host.receive(with_suspect, SEED)

    def used_upstreams(now):
        names = set()
        for number in range(30):
            key = (round(now * 1000) + number).to_bytes(12, "big")
            flow = steering.FlowKey(key)
            syn = steering.Syn(flow, DESTINATION, 0, b"syn")
            found = driven.host.steering.open(syn, now)
            last = steering.Packet(flow, DESTINATION, found.token, True)
            driven.host.steering.forward(last, now)
            names.add(found.instance.instance)
        return names

    assert used_upstreams(0.1) == {"i-2"}
    assert used_upstreams(1.0) == {"i-1", "i-2"}


def test_polls_are_spread_over_the_interval():
    driven = DrivenHost()
    registry = discovery.Registry(1, 3.0)
    others = tuple(ids.Address(f"10.0.0.{n}", 7000) for n in range(1, 6))
    driven.host.receive(make_answer(registry, coordinators=others), SEED)
    counts = [0] * 200
    for number in range(200):
        targets = driven.tick(1.0 + number / 50)
        counts[number] = len(targets)
        for target in targets:
            driven.host.receive(
                make_answer(registry, coordinators=others), target
            )
    # After the first round four seconds of two followed coordinators and of
    # three others, which were polled four times a second before.
    assert sum(counts[10:]) in range(14, 22)
    assert max(counts[10:]) <= 2


def test_an_answer_after_a_partition_clears_all_suspicions():
    # A partition has healed, so upstreams behind it may answer again.
    driven = DrivenHost()
    registry = discovery.Registry(1, 3.0)
    for number in (1, 2):
        address = ids.Address(f"10.0.1.{number}", 80)
        made = making.instance(f"i-{number}", address=address)
        registry.announce(made, 0.0)
    driven.host.receive(make_answer(registry), SEED)
    suspect = place_unanswered(driven, 0.01)
    assert driven.host.steering.suspicions.is_suspected(suspect.key, 0.12)
    driven.now = 0.2
    driven.host.receive(make_answer(registry), SEED)
    assert driven.host.steering.suspicions.is_suspected(suspect.key, 0.2)
    driven.now = 0.2 + polling.LOST_S + 0.1
    place_unanswered(driven, driven.now)
    now = driven.now
    driven.host.receive(make_answer(registry), SEED)
    assert not driven.host.steering.suspicions.local_suspects(now)


def test_messages_of_others_than_coordinators_are_dropped_and_counted():
    driven = DrivenHost()
    registry = discovery.Registry(1, 3.0)
    stranger = ids.Address("10.9.9.9", 7000)
    driven.host.receive(make_answer(registry, revision=9), stranger)
    driven.host.receive(polling.Notice(1, 1, 9), stranger)
    assert driven.host.steering.revision == 0
    assert b"foxtail_strangers 2.0" in driven.host.metrics()


def test_a_host_reports_what_waits_and_what_it_has_requested():
    driven = DrivenHost()
    driven.tick(0.0)
    missing = frozenset(range(1, 30))
    driven.host.on_part(SEED, 7, missing)
    packet = steering.Packet(
        steering.FlowKey(bytes(12)), DESTINATION, steering.Token(9), False
    )
    driven.host.steering.forward(packet, 0.0)
    metrics = driven.host.metrics()
    assert b"foxtail_waiting 1.0" in metrics
    assert b"foxtail_answers_abandoned 0.0" in metrics
    requests = [
        msg for msg, _ in driven.port.sent if isinstance(msg, polling.Poll)
    ]
    assert requests[0].max_parts == polling.FIRST_PARTS
    found = float(metrics.split(b"\nfoxtail_parts_outstanding ")[1].split()[0])
    assert 0 < found <= polling.MAX_OUTSTANDING


def test_parts_of_strangers_are_ignored():
    driven = DrivenHost()
    driven.host.on_part(OTHER, 7, frozenset({1}))
    assert b"foxtail_parts_outstanding 0.0" in driven.host.metrics()
