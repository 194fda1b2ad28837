"""Packets of open flows wait for what a host learns shortly after its start.

A caller repeats a lost packet after 0.2, 0.4, 0.8 and 1.6 s, so that one
dropped in the tenths of a second of a host's start delays its request by up
to 1.6 s.
"""

import random

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import steering

DESTINATION = ids.Address("198.18.0.1", 443)
PEER = ids.Address("10.0.0.1", 1)
RETRANSMISSIONS_S = (0.0, 0.2, 0.6, 1.4, 3.0)
"""Times at which a caller sends an unanswered packet."""
FLOWS = 200


def make_table(revision=1, timeout_ms=2500):
    share = steering.Share(ids.ServiceId("desk"), 1)
    kind = steering.RequestKind.IDEMPOTENT
    route = steering.Route(DESTINATION, (share,), kind, timeout_ms, 100, 1)
    return steering.RouteTable(revision, (route,), 15_000)


class Returning:
    """A host that starts at 0 and learns routes and instances later."""

    def __init__(self, **changes):
        self.registry = discovery.Registry(1, 30.0)
        self.registry.announce(making.instance(), 0.0)
        self.roster = discovery.Roster()
        self.host = steering.Steering(
            self.roster,
            ids.ZoneId("a"),
            random.Random(1),
            steering.Config(**changes),
        )

    def learn_routes(self, **changes):
        self.host.put_routes(make_table(**changes))

    def learn_instances(self, now):
        changes = self.registry.changes(*self.roster.position(PEER))
        self.roster.merge(PEER, changes, now)

    def send(self, number, now):
        """Send a flow's packet; return whether it is forwarded at once."""
        token = steering.token_of(*making.instance().key)
        flow = steering.FlowKey(number.to_bytes(12, "big"))
        packet = steering.Packet(
            flow, DESTINATION, token, False, True, b"%d" % number
        )
        return isinstance(self.host.forward(packet, now), steering.Forward)

    def send_part(self, flow, data, now, has_data=True):
        token = steering.token_of(*making.instance().key)
        packet = steering.Packet(
            steering.FlowKey(flow), DESTINATION, token, False, has_data, data
        )
        self.host.forward(packet, now)

    def tick(self, now):
        return [
            due.packet
            for due in self.host.on_tick(now)
            if isinstance(due.decision, steering.Forward)
        ]


def waits_s(returning, routes_at=0.45, instances_at=0.45):
    """Return how long each caller waits from its host's start on.

    Each has sent a request at some time in the outage before.
    """
    rng = random.Random(2)
    due = sorted(
        (at, number)
        for number in range(FLOWS)
        for sent_at in (-1.6 * rng.random(),)
        for at in (sent_at + later for later in RETRANSMISSIONS_S)
        if at >= 0.0
    )
    forwarded_at = {}
    for step in range(400):
        now = step * 0.02
        if now >= routes_at and not returning.host.revision:
            returning.learn_routes()
        if now >= instances_at and not returning.roster.version:
            returning.learn_instances(now)
        for packet in returning.tick(now):
            forwarded_at.setdefault(int(packet), now)
        while due and due[0][0] <= now:
            _, number = due.pop(0)
            if returning.send(number, now):
                forwarded_at.setdefault(number, now)
    return [forwarded_at[number] for number in range(FLOWS)]


def test_requests_sent_while_a_host_starts_are_forwarded_when_it_can():
    held = waits_s(Returning())
    dropped = waits_s(Returning(packet_hold_s=0.0))
    # None waits for longer than the longest interval of its caller.
    assert max(held) <= 1.62 < max(dropped)
    # Callers that sent in the 0.45 s are served at once.
    early = sum(wait <= 0.48 for wait in held)
    assert early > 60 > 0 == sum(wait <= 0.44 for wait in dropped)
    assert sum(held) < 0.8 * sum(dropped)


def test_packets_wait_for_the_instance_of_their_token():
    returning = Returning()
    returning.learn_routes()
    assert not returning.send(1, 0.0)
    assert returning.tick(0.1) == []
    returning.learn_instances(0.2)
    assert returning.tick(0.2) == [b"1"]
    assert returning.tick(0.3) == []


def test_packets_are_held_for_a_bounded_time():
    returning = Returning()
    returning.send(1, 0.0)
    returning.send(2, 0.5)
    returning.learn_routes()
    returning.learn_instances(1.2)
    assert returning.tick(1.2) == [b"2"]


def test_a_request_past_its_timeout_is_not_passed_on():
    # It would take a slot from those whose callers still wait.
    returning = Returning()
    returning.send(1, 0.0)
    returning.send(2, 0.2)
    returning.learn_routes(timeout_ms=300)
    returning.learn_instances(0.4)
    assert returning.tick(0.4) == [b"2"]


def test_held_packets_are_bounded_and_the_newest_stay():
    returning = Returning(max_held_packets=3)
    for number in range(9):
        returning.send(number, 0.0)
    returning.learn_routes()
    returning.learn_instances(0.1)
    assert returning.tick(0.1) == [b"6", b"7", b"8"]


def test_a_held_packet_is_reset_when_its_route_is_gone():
    returning = Returning()
    returning.send(1, 0.0)
    returning.host.put_routes(steering.RouteTable(1, (), 15_000))
    (due,) = returning.host.on_tick(0.1)
    assert due.decision == steering.Reset(steering.Reason.NO_ROUTE)
    assert due.packet == b"1"


def test_all_packets_of_a_flow_are_held_and_each_is_passed_on_once():
    returning = Returning()
    for data in (b"first", b"second", b"first"):
        returning.send_part(bytes(12), data, 0.0)
    returning.send_part(bytes(12), b"ack", 0.0, has_data=False)
    returning.learn_routes()
    returning.learn_instances(0.1)
    passed = returning.tick(0.1)
    assert sorted(passed) == [b"ack", b"first", b"second"]


def test_an_acknowledgement_needs_no_room():
    returning = Returning()
    returning.host.share.host_count = 1000
    for number in range(5):
        data = b"%d" % number
        returning.send_part(bytes(11) + data, data, 0.0, has_data=False)
        returning.send_part(bytes(11) + data, b"data", 0.0)
    returning.learn_routes()
    returning.learn_instances(0.1)
    assert returning.tick(0.1) == [b"%d" % number for number in range(5)]
    # The flows count as idle soon after.
    assert returning.tick(0.3) == [b"data"]
