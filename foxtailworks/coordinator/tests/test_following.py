"""Edge hosts that follow two coordinators learn of changes in time."""

import asyncio

import pytest

from foxtailworks.coordinator.tests import world
from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import polling

SETTLE_S = 6.0
LIMIT_S = 3.0
"""Time within which operators and upstreams want a change in force."""


def start(coordinators, edges, **kwargs):
    """Return a world that has settled with revision 7 on every edge host."""
    made = world.World(coordinators, **kwargs)
    for number in range(edges):
        made.add_edge(number)
    made.run(SETTLE_S)
    assert put(made, 7) is True
    made.run(3.0)
    assert revisions(made) == {7}
    return made


def put(made, revision):
    documents = made.leader().documents
    text = b"document %d" % revision
    return asyncio.run(
        made.run_coroutine(lambda: documents.put(revision, text))
    )


def revisions(made):
    return {host.steering.revision for host in made.edges.values()}


def states(made, name):
    """Return the states of an instance on all edge hosts."""
    return {
        known.instance.state
        for host in made.edges.values()
        for known in host.roster.all()
        if known.instance.instance == name
    }


def seconds_until(made, is_done, limit_s=10.0):
    start_at = made.now
    while not is_done():
        made.step()
        assert made.now - start_at < limit_s
    return made.now - start_at


def test_a_change_is_in_force_within_notices_reach():
    made = start(6, 16)
    assert put(made, 8) is True
    assert seconds_until(made, lambda: revisions(made) == {8}) <= 0.5


@pytest.mark.parametrize("loss_rate", [0.05, 0.2])
def test_a_change_arrives_in_time_although_messages_are_lost(loss_rate):
    made = start(6, 16)
    made.loss_rate = loss_rate
    assert put(made, 8) is True
    assert seconds_until(made, lambda: revisions(made) == {8}) <= LIMIT_S


def test_a_draining_instance_is_known_everywhere_in_time():
    made = start(6, 16)
    ready = making.instance("i-1")
    made.hosts[world.address(4)].program.registry.announce(ready, made.now)
    made.run(2.0)
    assert states(made, "i-1") == {discovery.InstanceState.READY}
    made.loss_rate = 0.2
    draining = making.instance(
        "i-1", sequence=9, state=discovery.InstanceState.DRAINING
    )
    made.hosts[world.address(4)].program.registry.announce(draining, made.now)
    expected = {discovery.InstanceState.DRAINING}
    waited_s = seconds_until(made, lambda: states(made, "i-1") == expected)
    assert waited_s <= LIMIT_S


@pytest.mark.parametrize("count", [1, 2])
def test_coordinators_of_followers_stop_and_a_change_arrives(count):
    made = start(5, 16)
    leader = made.leader()
    others = [h.number for h in made.running() if h.program is not leader]
    for number in others[:count]:
        made.stop(number)
    assert put(made, 8) is True
    assert seconds_until(made, lambda: revisions(made) == {8}) <= LIMIT_S


def test_followers_of_a_partitioned_coordinator_learn_of_a_change():
    made = start(5, 16)
    leader = made.leader()
    cut = [h.number for h in made.running() if h.program is not leader][:2]
    rest = [n for n in range(1, 6) if n not in cut]
    # Edge hosts reach both sides.
    made.partition(cut, rest)
    made.run(0.5)
    assert put(made, 8) is True
    assert seconds_until(made, lambda: revisions(made) == {8}) <= LIMIT_S


def test_an_instance_known_to_a_partitioned_coordinator_is_used():
    made = start(5, 20)
    leader = made.leader()
    (cut, *_) = [h.number for h in made.running() if h.program is not leader]
    made.partition([cut], [n for n in range(1, 6) if n != cut])
    made.run(3.0)
    made.hosts[world.address(cut)].program.registry.announce(
        making.instance("i-9"), made.now
    )
    waited_s = seconds_until(
        made, lambda: states(made, "i-9") == {discovery.InstanceState.READY}
    )
    assert waited_s <= LIMIT_S


def test_a_replayed_or_forged_notice_changes_nothing():
    made = start(3, 4)
    edge_host = next(iter(made.edges.values()))
    for session in (0, 5):
        msg = polling.Notice(session, 1 << 60, 1 << 60)
        edge_host.receive(msg, world.address(1))
        edge_host.receive(msg, world.address(99))
    made.run(2.0)
    assert revisions(made) == {7}


def test_idle_hosts_poll_little():
    made = start(6, 24)
    polls = 0
    transmit = made.transmit

    def count(src, dst, msg):
        nonlocal polls
        polls += isinstance(msg, polling.Poll)
        transmit(src, dst, msg)

    made.transmit = count
    made.run(5.0)
    # It was 4 x 6 polls a second of each host.
    assert polls / 5 / 24 <= 2 * 1.4 + 4 * 0.7
