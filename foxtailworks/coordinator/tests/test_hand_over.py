"""Around a hand-over of the leadership two coordinators never both act.

Random runs: the leader is frozen, partitioned or stopped as planned, and
operators send their orders to it and to its successor at the same time.
"""

import asyncio
import collections
import random

import pytest

from foxtailworks.agreement import _leader
from foxtailworks.agreement import _leadership
from foxtailworks.coordinator.tests import world
from foxtailworks import errors
from foxtailworks import replicated

COORDINATORS = 3
ROUNDS = 4


class HandOvers:
    """One random run; records what each coordinator applies."""

    def __init__(self, seed, monkeypatch):
        self.rng = random.Random(seed)
        self.applied = collections.defaultdict(dict)
        self.acknowledged = [0]
        apply = replicated.Node.apply

        def record(node, entries):
            for item in entries:
                self.check_applied(node.replica.keeper, item)
            apply(node, entries)

        monkeypatch.setattr(replicated.Node, "apply", record)
        self.cluster = world.World(COORDINATORS, seed=seed)
        self.cluster.run(4.0)

    def check_applied(self, keeper, entry):
        """Check that no two coordinators apply other orders at an index."""
        for other in self.applied.values():
            known = other.get(entry.index, entry.data)
            assert known == entry.data, "two leaders' orders at one index"
        self.applied[keeper][entry.index] = entry.data

    def put(self, program, revision):
        """Send an order to one coordinator; record an acknowledgement."""
        text = b"document %d by %d" % (self.rng.randrange(9), revision)

        def order():
            return program.documents.put(revision, text)

        if program.documents is not None:
            result = asyncio.run(self.cluster.run_coroutine(order, 1.0))
            if result is True:
                self.acknowledged.append(revision)

    def displace(self, leader):
        """Take the leadership from a coordinator; return how to undo it."""
        address = leader._cfg.listen_address
        host = self.cluster.hosts[address]
        kind = self.rng.choice(["freeze", "partition", "leave"])
        if kind == "freeze":
            host.is_frozen = True
        elif kind == "partition":
            others = set(range(1, COORDINATORS + 1)) - {host.number}
            self.cluster.partition({host.number}, others)
        else:
            leader.leave()

        def undo():
            host.is_frozen = False
            self.cluster.heal()

        return undo

    def run(self):
        revision = 0
        for _ in range(ROUNDS):
            leader = self.cluster.leader()
            if leader is None:
                self.cluster.run(1.0)
                continue
            undo = self.displace(leader)
            self.cluster.run(self.rng.uniform(0.0, 2.5))
            successor = self.cluster.leader() or leader
            if self.rng.random() < 0.5:
                undo()
            for program in self.rng.sample([leader, successor], 2):
                revision += 1
                self.put(program, revision)
            undo()
            self.cluster.run(self.rng.uniform(0.0, 1.5))
        self.cluster.run(4.0)
        self.check_end()

    def check_end(self):
        """Check that all agree, on all that was acknowledged."""
        revisions = {
            host.program.documents.current.revision
            for host in self.cluster.running()
        }
        assert len(revisions) == 1
        assert revisions.pop() >= max(self.acknowledged)


@pytest.mark.parametrize("seed", range(8))
def test_orders_sent_to_two_leaders_are_in_one_order_everywhere(
    seed, monkeypatch
):
    HandOvers(seed, monkeypatch).run()


def test_a_leader_that_acts_without_a_majority_is_found(monkeypatch):
    monkeypatch.setattr(
        _leadership.Leadership,
        "majority_match",
        lambda self, voters, durable_index: durable_index,
    )
    monkeypatch.setattr(_leader, "is_lease_expired", lambda core, now: False)
    with pytest.raises((AssertionError, errors.FoxtailError)):
        for seed in range(20):
            with pytest.MonkeyPatch.context() as patch:
                HandOvers(seed, patch).run()
