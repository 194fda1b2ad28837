"""Of a flow's SYNs at several upstreams, one gets the flow's data.

Callers, several hosts and upstreams in random runs: SYNs are copied, placed
on several upstreams and answered late or twice, ports are used again, and
upstreams restart under their id.
"""

import random

import pytest

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import steering
from foxtailworks.steering.tests import tables

PEER = ids.Address("10.0.0.1", 1)
DESTINATION = tables.DESTINATION
HOSTS = 3
UPSTREAMS = 4
PORTS = 3
STEPS = 120


class Run:
    """One random run; checks each packet that is forwarded."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.registry = discovery.Registry(1, 600.0)
        self.births = [100] * UPSTREAMS
        for number in range(UPSTREAMS):
            self.announce(number)
        self.rosters = [discovery.Roster() for _ in range(HOSTS)]
        self.hosts = [
            steering.Steering(roster, ids.ZoneId("a"), self.rng)
            for roster in self.rosters
        ]
        for index in range(HOSTS):
            self.hosts[index].put_routes(tables.one_route())
            self.sync(index)
        self.answers = {port: [] for port in range(PORTS)}
        self.chosen = {}
        self.late = []

    def announce(self, number):
        address = ids.Address(f"10.0.1.{number + 1}", 80)
        born = self.births[number]
        item = making.instance(f"i-{number}", born, address=address)
        self.registry.announce(item, self.now)

    def sync(self, index):
        roster = self.rosters[index]
        changes = self.registry.changes(*roster.position(PEER))
        roster.merge(PEER, changes, self.now)

    def restart(self, number):
        """Start an upstream again; its flows are gone with the process."""
        self.births[number] += 50
        self.announce(number)

    def flow(self, port):
        return steering.FlowKey(port.to_bytes(12, "big"))

    def send_syn(self, port):
        """Send a copy of a SYN to a host; its upstream answers."""
        copy = min(2, len(self.answers[port]))
        syn = steering.Syn(self.flow(port), DESTINATION, copy, b"%d" % port)
        decision = self.rng.choice(self.hosts).open(syn, self.now)
        self.deliver_syn(port, decision)

    def deliver_syn(self, port, decision):
        if isinstance(decision, steering.Forward):
            self.answers[port].append((decision.instance.key, decision.token))

    def open(self, port):
        """Accept any of the answers; the flow opens at its sender."""
        if self.answers[port] and port not in self.chosen:
            self.chosen[port] = self.rng.choice(self.answers[port])

    def send(self, port):
        if port in self.chosen:
            self.forward(port, *self.chosen[port])

    def forward(self, port, upstream, token):
        packet = steering.Packet(self.flow(port), DESTINATION, token, False)
        found = self.rng.choice(self.hosts).forward(packet, self.now)
        if isinstance(found, steering.Forward):
            assert found.instance.key == upstream

    def close(self, port):
        """Close a flow; late packets of it come when its port is reused."""
        if port in self.chosen:
            self.late.append((port, *self.chosen.pop(port)))
            self.answers[port] = []

    def step(self):
        self.now += 0.05 * self.rng.random()
        port = self.rng.randrange(PORTS)
        do = self.rng.choice(
            [self.send_syn, self.open, self.send, self.send, self.close]
        )
        do(port)
        if self.late and self.rng.random() < 0.3:
            self.forward(*self.rng.choice(self.late))
        if self.rng.random() < 0.05:
            self.restart(self.rng.randrange(UPSTREAMS))
        index = self.rng.randrange(HOSTS)
        if self.rng.random() < 0.3:
            self.sync(index)
        for due in self.hosts[index].on_tick(self.now):
            self.deliver_syn(int(due.packet or b"0"), due.decision)


def play(seed):
    run = Run(seed)
    for _ in range(STEPS):
        run.step()


@pytest.mark.parametrize("seed", range(40))
def test_data_reaches_the_upstream_that_opened_the_flow_or_none(seed):
    play(seed)


def test_forwarding_by_the_flow_instead_of_the_token_is_found(monkeypatch):
    def find_by_flow(host, packet, now):
        flow = host._flows.get(packet.flow)
        known = [
            item
            for item in host._roster.all()
            if flow is not None and item.instance.key == flow.upstream
        ]
        if not known:
            return steering.Drop(steering.Reason.UNKNOWN_TOKEN)
        return steering.Forward(known[0].instance, packet.token)

    monkeypatch.setattr(steering.Steering, "_decide_packet", find_by_flow)
    with pytest.raises(AssertionError):
        for seed in range(40):
            play(seed)
