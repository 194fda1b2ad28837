"""What callers get while their zone is partitioned from the others."""

import heapq
import itertools
import random

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import steering
from foxtailworks.steering.tests import tables

PEER = ids.Address("10.0.0.1", 1)
ZONE = ids.ZoneId("a")
HOSTS = 3
SLOTS = 3
QUEUE = 8
"""Requests that wait at an upstream; it sheds further ones."""
NEAR = 2
FAR = 5
WORK_S = 0.055
FLOWS_PER_S = 120.0
"""More than the slots of the zone serve: 109 a second."""
CUT_AT_S = 1.0
END_S = 6.0
TICK_S = 0.02
COPIES_S = (0.2, 0.6)
"""Times at which a caller without an answer repeats its SYN."""


class Partition:
    """Plays flows of one request; far upstreams are silent after the cut."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.serials = itertools.count()
        self.events = []
        roster = discovery.Roster()
        registry = discovery.Registry(1, 60.0)
        self.free_at = {}
        for number in range(NEAR + FAR):
            item = making.instance(
                f"i-{number}",
                address=ids.Address(f"10.0.1.{number}", 80),
                zone=ZONE if number < NEAR else ids.ZoneId("b"),
                slots=SLOTS,
            )
            registry.announce(item, 0.0)
            self.free_at[item.key] = [0.0] * SLOTS
        roster.merge(PEER, registry.changes(0, 0), 0.0)
        self.hosts = [
            steering.Steering(roster, ZONE, random.Random(n))
            for n in range(HOSTS)
        ]
        for host in self.hosts:
            host.put_routes(tables.one_route())
        self.opened = set()
        self.begun_at = {}
        self.latency_s = {}

    def at(self, when, action, *arguments):
        item = (when, next(self.serials), action, arguments)
        heapq.heappush(self.events, item)

    def begin(self, now, number):
        self.begun_at[number] = now
        for copy, delay_s in enumerate((0.0, *COPIES_S)):
            self.at(now + delay_s, self.send_syn, number, copy)
        gap_s = self.rng.expovariate(FLOWS_PER_S)
        self.at(now + gap_s, self.begin, number + 1)

    def send_syn(self, now, number, copy):
        if number in self.opened:
            return
        host = self.hosts[number % HOSTS]
        flow = steering.FlowKey(number.to_bytes(12, "big"))
        syn = steering.Syn(flow, tables.DESTINATION, copy, flow)
        self.arrive(now, number, host.open(syn, now))

    def arrive(self, now, number, decision):
        """Open the flow at the upstream, if that can be reached."""
        is_far = decision.instance.zone != ZONE
        if number in self.opened or (is_far and now >= CUT_AT_S):
            return
        self.opened.add(number)
        self.at(now + 0.004, self.send_packet, number, decision, False)
        free_at = self.free_at[decision.instance.key]
        if min(free_at) - now > QUEUE / SLOTS * WORK_S:
            self.at(now + 0.008, self.send_packet, number, decision, True)
            return
        answered_at = max(now, heapq.heappop(free_at)) + WORK_S
        heapq.heappush(free_at, answered_at)
        self.at(answered_at, self.send_packet, number, decision, True)
        self.latency_s[number] = answered_at - self.begun_at[number]

    def send_packet(self, now, number, decision, has_ended):
        flow = steering.FlowKey(number.to_bytes(12, "big"))
        packet = steering.Packet(
            flow, tables.DESTINATION, decision.token, has_ended, not has_ended
        )
        self.hosts[number % HOSTS].forward(packet, now)

    def tick(self, now):
        for host in self.hosts:
            for due in host.on_tick(now):
                number = int.from_bytes(due.packet, "big")
                self.arrive(now, number, due.decision)
        self.at(now + TICK_S, self.tick)

    def play(self):
        """Return the share of flows opened, and answered within 250 ms."""
        self.at(0.0, self.tick)
        self.at(0.0, self.begin, 0)
        while self.events[0][0] < END_S:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        # Those begun in the cut whose last copy has been sent by its end.
        judged = [
            number
            for number, begun_at in self.begun_at.items()
            if CUT_AT_S <= begun_at < END_S - 1.0
        ]
        opened = sum(number in self.opened for number in judged)
        in_time = sum(self.latency_s.get(n, 9.0) <= 0.25 for n in judged)
        return opened / len(judged), in_time / len(judged)


def test_callers_are_served_by_their_zone_while_others_are_silent():
    for seed in (1, 2, 3):
        opened, in_time = Partition(seed).play()
        # The zone's slots serve nine tenths of what is sent.
        assert opened >= 0.99
        assert in_time >= 0.8
