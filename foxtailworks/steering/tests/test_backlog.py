"""The load after an outage: who is served in time when hosts return.

Upstreams with slots and queues in virtual time; callers sent requests for
seconds while no host ran, and go on sending.
"""

import collections
import heapq
import itertools
import random

import pytest

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import steering

PEER = ids.Address("10.0.0.1", 1)
FEED = ids.Address("198.18.0.1", 443)
TICKET = ids.Address("198.18.0.2", 443)
HOSTS = 9
UPSTREAMS = 7
SLOTS = 3
WORK_S = 0.06
RATE = 187.0
"""New requests a second: half of what the slots can work on."""
OUTAGE_S = 1.4
AFTER_S = 2.0
TARGET_S = 0.25
TICK_S = 0.02


def make_table():
    share = steering.Share(ids.ServiceId("desk"), 1)
    kinds = steering.RequestKind
    return steering.RouteTable(
        1,
        (
            steering.Route(FEED, (share,), kinds.IDEMPOTENT, 2500, 250, 2),
            steering.Route(
                TICKET, (share,), kinds.NON_IDEMPOTENT, 3000, 250, 1
            ),
        ),
        15_000,
    )


class Return:
    """Hosts that return at 0 with what callers sent before, and upstreams.

    A flow is opened for each request; its data follows the SYN's answer.
    """

    def __init__(self, host_count, seed=1, hosts=HOSTS):
        self.rng = random.Random(seed)
        self.registry = discovery.Registry(1, 30.0)
        for number in range(UPSTREAMS):
            address = ids.Address(f"10.0.1.{number + 1}", 80)
            item = making.instance(f"i-{number}", address=address, slots=SLOTS)
            self.registry.announce(item, 0.0)
        self.hosts = []
        for _ in range(hosts):
            roster = discovery.Roster()
            roster.merge(PEER, self.registry.changes(0, 0), 0.0)
            host = steering.Steering(roster, ids.ZoneId("a"), self.rng)
            host.share.host_count = host_count
            self.hosts.append(host)
        self.busy = collections.Counter()
        self.queues = collections.defaultdict(collections.deque)
        self.events = []
        self.order = itertools.count()
        self.sent = {}
        self.answered = {}
        self.given_up = set()

    def send_all(self):
        """Schedule the callers' SYNs and their retransmissions."""
        at, number = -OUTAGE_S, 0
        while at < AFTER_S:
            at += self.rng.expovariate(RATE)
            number += 1
            self.sent[number] = at
            for copy, later in enumerate((0.0, 0.2, 0.6)):
                if at + later >= -0.2:
                    self.at(at + later, self.syn, number, copy)

    def at(self, time, call, *args):
        heapq.heappush(self.events, (time, next(self.order), call, args))

    def syn(self, number, copy):
        if number in self.answered:
            return
        host = self.hosts[number % len(self.hosts)]
        flow = steering.FlowKey(number.to_bytes(12, "big"))
        item = steering.Syn(
            flow, self.destination(number), copy, b"%d" % number
        )
        self.carry_out(host, number, host.open(item, self.now))

    def destination(self, number):
        return TICKET if number % 4 == 0 else FEED

    def carry_out(self, host, number, decision):
        if not isinstance(decision, steering.Forward):
            return
        if number in self.answered:
            return
        if self.now - self.sent[number] > 1.4:
            self.given_up.add(number)
            return
        self.answered[number] = None
        flow = steering.FlowKey(number.to_bytes(12, "big"))
        packet = steering.Packet(
            flow, self.destination(number), decision.token, False
        )
        host.forward(packet, self.now)
        name = decision.instance.instance
        self.queues[name].append((host, number, packet))
        self.work(name)

    def work(self, name):
        while self.queues[name] and self.busy[name] < SLOTS:
            item = self.queues[name].popleft()
            self.busy[name] += 1
            work_s = WORK_S * self.rng.uniform(0.5, 1.5)
            self.at(self.now + work_s, self.finish, name, *item)

    def finish(self, name, host, number, packet):
        self.busy[name] -= 1
        self.answered[number] = self.now
        last = steering.Packet(
            packet.flow, packet.destination, packet.token, True, False
        )
        host.forward(last, self.now)
        self.work(name)

    def tick(self, host):
        for due in host.on_tick(self.now):
            self.carry_out(host, int(due.packet), due.decision)
        self.at(self.now + TICK_S, self.tick, host)

    def run(self):
        self.send_all()
        for host in self.hosts:
            self.at(0.0, host.put_routes, make_table())
            self.at(TICK_S * self.rng.random(), self.tick, host)
        while self.events and self.events[0][0] < AFTER_S + 2.0:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)

    def share_in_time(self, since, until, kind=None):
        """Return the share in time of the requests sent in a span."""
        numbers = [
            number
            for number, at in self.sent.items()
            if since <= at < until and kind in (None, self.destination(number))
        ]
        in_time = sum(
            (self.answered.get(number) or 99.0) - self.sent[number] <= TARGET_S
            for number in numbers
        )
        return in_time / len(numbers)

    def answered_share(self, since, until):
        numbers = [n for n, at in self.sent.items() if since <= at < until]
        return sum(bool(self.answered.get(n)) for n in numbers) / len(numbers)

    def longest_wait_s(self):
        return max(at - self.sent[n] for n, at in self.answered.items() if at)


def play(host_count, seed, **kwargs):
    played = Return(host_count, seed, **kwargs)
    played.run()
    return played


@pytest.mark.parametrize("seed", range(3))
def test_requests_that_can_be_in_time_go_before_those_that_waited(seed):
    ordered, at_once = play(HOSTS, seed), play(0, seed)
    spans = {"returning": (-TARGET_S / 2, 0.8), "then": (0.8, AFTER_S)}
    gained = ordered.share_in_time(*spans["returning"])
    assert gained > at_once.share_in_time(*spans["returning"]) + 0.2
    assert ordered.share_in_time(*spans["then"]) >= 0.99


@pytest.mark.parametrize("seed", range(3))
def test_no_one_is_answered_less_or_waits_for_longer_than_callers_do(seed):
    ordered, at_once = play(HOSTS, seed), play(0, seed)
    for span in ((-OUTAGE_S, 0.0), (0.0, AFTER_S)):
        assert ordered.answered_share(*span) >= at_once.answered_share(*span)
    # Callers time out 1.4 s after a SYN; then one queue and its work.
    assert ordered.longest_wait_s() <= 1.4 + TARGET_S


@pytest.mark.parametrize("seed", range(3))
def test_the_more_urgent_kind_is_served_no_worse(seed):
    ordered = play(HOSTS, seed)
    tickets = ordered.share_in_time(-0.1, 0.8, TICKET)
    assert tickets >= ordered.share_in_time(-0.1, 0.8, FEED) - 0.05


def test_a_single_host_passes_all_on_in_the_end():
    played = play(1, 4, hosts=1)
    assert not played.hosts[0]._backlog
    assert played.answered_share(0.0, AFTER_S) == 1.0
