"""Guarantees of the agreement, each under the failure it is for."""

import random

import pytest

from foxtailworks import agreement
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.keeper.tests import cluster

TERM_1 = 1


def edit(number, base=0, customer="c"):
    return contracts.Edit(
        ids.EditId(f"e{number}"),
        ids.CustomerId(customer),
        ids.Version(base),
        cluster.document(customer, 7000),
    )


def elected(size=3, **options):
    sim = cluster.Cluster(size, **options)
    sim.calm(2.0)
    return sim, sim.leader()


def member(sim, place, voter):
    name = sim.names[place]
    at = cluster.address(place)
    return agreement.Member(name, f"k{place}", at, voter)


def change(sim, leader, membership):
    sim.step(leader, lambda n: n.propose_membership(membership, sim.now))
    sim.calm(0.5)


def lone_replica(entries=(), term=TERM_1):
    members = tuple(
        agreement.Member(ids.KeeperId(n), n, cluster.address(1), True)
        for n in "abc"
    )
    restored = agreement.RestoredState(
        agreement.HardState("g", term, None),
        agreement.Snapshot(1, 1, agreement.Membership(members), b""),
        1,
        1,
        entries,
    )
    return agreement.Replica(
        ids.KeeperId("a"), restored, random.Random(1), 0.0
    )


def persist_all(replica, actions, now):
    """Complete all pending writes and return the messages sent."""
    sends = []
    while actions:
        sends += [a for a in actions if isinstance(a, agreement.Send)]
        writes = [a for a in actions if hasattr(a, "number")]
        writes = [a for a in writes if isinstance(a, agreement.Persist)]
        actions = ()
        if writes:
            actions = replica.on_persisted(writes[-1].number, now)
    return sends


def answer(replica, src, **fields):
    msg = agreement.AppendAnswer("g", **fields)
    return replica.on_message(ids.KeeperId(src), msg, 2.0)


def test_a_vote_is_sent_only_once_it_is_on_the_disk():
    replica = lone_replica()
    msg = agreement.VoteRequest("g", 5, 9, 1, is_pre_vote=False)
    actions = replica.on_message(ids.KeeperId("b"), msg, 9.0)
    assert not [a for a in actions if isinstance(a, agreement.Send)]
    sends = persist_all(replica, actions, 9.0)
    assert [s.msg.granted for s in sends] == [True]
    other = replica.on_message(ids.KeeperId("c"), msg, 9.0)
    assert [s.msg.granted for s in persist_all(replica, other, 9.0)] == [False]


def test_an_entry_of_an_older_term_is_not_committed_by_count():
    old = agreement.Entry(2, 2, agreement.EntryKind.COMMAND, b"old")
    replica = lone_replica((old,), term=2)
    persist_all(replica, replica.on_tick(2.0), 2.0)
    for pre, term in ((True, 3), (False, 3)):
        msg = agreement.VoteAnswer("g", term, True, pre)
        actions = replica.on_message(ids.KeeperId("b"), msg, 2.0)
        persist_all(replica, actions, 2.0)
    assert replica.role is agreement.Role.LEADER
    answer(replica, "b", term=3, matched=True, index=2, round=1)
    assert replica.commit_index == 1
    answer(replica, "b", term=3, matched=True, index=3, round=1)
    assert replica.commit_index == 3


def test_a_heartbeat_commits_only_entries_known_to_match():
    other = agreement.Entry(2, 2, agreement.EntryKind.COMMAND, b"lost")
    replica = lone_replica((other,), term=2)
    beat = agreement.Append("g", 3, 1, 1, (), commit=2, round=1)
    replica.on_message(ids.KeeperId("b"), beat, 2.0)
    assert replica.commit_index == 1


def test_two_of_four_keepers_are_no_majority():
    sim, leader = elected(4)
    for other in [p for p in range(4) if p != leader][:2]:
        sim.kill(other)
    sim.put(leader, edit(1))
    sim.calm(3.0)
    assert not sim.outcomes and sim.leader() is None


def test_an_isolated_leader_accepts_nothing_after_its_lease():
    sim, leader = elected()
    for other in {0, 1, 2} - {leader}:
        sim.cut(leader, other)
    sim.tick(agreement.Timing().lease_s + 0.3)
    assert sim.put(leader, edit(1)) in (
        errors.Code.NO_QUORUM,
        errors.Code.NOT_LEADER,
    )


def test_a_leader_frozen_past_its_lease_accepts_nothing():
    sim, leader = elected()
    sim.now += 30.0
    assert sim.put(leader, edit(1)) == errors.Code.NO_QUORUM


def test_an_edit_displaced_by_another_leader_is_never_decided():
    sim, leader = elected()
    for other in {0, 1, 2} - {leader}:
        sim.cut(leader, other)
    assert sim.put(leader, edit(1)) is None
    sim.calm(3.0)
    sim.cuts.clear()
    sim.calm(3.0)
    assert not sim.proposed and not sim.outcomes


def test_a_keeper_isolated_for_long_causes_no_election_on_return():
    sim, leader = elected()
    lone = (leader + 1) % 3
    for other in {0, 1, 2} - {lone}:
        sim.cut(lone, other)
    sim.calm(30.0)
    term = sim.nodes[leader].replica.term
    sim.cuts.clear()
    sim.calm(3.0)
    assert (sim.leader(), sim.nodes[leader].replica.term) == (leader, term)
    assert sim.nodes[lone].replica.term == term


def test_a_leader_reachable_in_one_direction_only_is_replaced():
    sim, leader = elected()
    for other in {0, 1, 2} - {leader}:
        sim.cuts.add((sim.names[other], sim.names[leader]))
    sim.calm(3.0)
    assert sim.leader() != leader
    assert sim.put(sim.leader(), edit(1)) is None


def test_a_read_needs_a_majority_at_the_time_of_the_read():
    sim, leader = elected()
    assert sim.put(leader, edit(1)) is None
    sim.calm(1.0)
    for other in {0, 1, 2} - {leader}:
        sim.cut(leader, other)
    sim.read(leader)
    assert sim.read_floor, "read answered without a majority"
    sim.calm(3.0)
    sim.put(sim.leader(), edit(2, base=2))
    sim.cuts.clear()
    sim.calm(3.0)
    assert sim.read_floor, "aborted read was answered"


def test_only_one_membership_change_runs_at_a_time():
    sim, leader = elected(spare=2)
    now = sim.nodes[leader].replica.membership
    both = now.put(member(sim, 3, False)).put(member(sim, 4, False))
    one = now.put(member(sim, 3, False))
    for wanted, code in (
        (both, errors.Code.MEMBERSHIP_REFUSED),
        (one, None),
        (one.put(member(sim, 4, False)), errors.Code.MEMBERSHIP_BUSY),
    ):
        node = sim.nodes[leader]
        try:
            node.propose_membership(wanted, sim.now)
            found = None
        except errors.FoxtailError as exc:
            found = exc.code
        assert found == code


def test_a_learner_becomes_a_voter_only_with_the_complete_log():
    sim, leader = elected(spare=1)
    for number in range(20):
        sim.put(leader, edit(number, customer=f"c{number}"))
        sim.deliver_all()
    sim.frozen.add(3)
    now = sim.nodes[leader].replica.membership
    change(sim, leader, now.put(member(sim, 3, False)))
    with pytest.raises(errors.FoxtailError) as info:
        change(sim, leader, now.put(member(sim, 3, True)))
    assert info.value.code == errors.Code.MEMBERSHIP_REFUSED
    sim.frozen.clear()
    sim.calm(1.0)
    change(sim, leader, now.put(member(sim, 3, True)))
    assert sim.names[3] in sim.nodes[leader].replica.membership.voters()


@pytest.mark.parametrize("seed", range(6))
def test_a_keeper_lost_right_after_a_repair_loses_no_edit(seed):
    sim, leader = elected(spare=1, seed=seed)
    lost = (leader + 1) % 3
    sim.kill(lost)
    sim.new_disk(lost)
    for number in range(8):
        assert sim.put(leader, edit(number, customer=f"c{number}")) is None
        sim.calm(0.2)
    now = sim.nodes[leader].replica.membership
    change(sim, leader, now.put(member(sim, 3, False)))
    change(sim, leader, now.put(member(sim, 3, True)))
    gone = sim.names[lost]
    change(sim, leader, sim.nodes[leader].replica.membership.without(gone))
    sim.kill(leader)
    sim.calm(4.0)
    outcomes = dict(sim.outcomes)
    assert len(outcomes) == 8
    new_leader = sim.leader()
    for edit_id, outcome in outcomes.items():
        assert sim.nodes[new_leader].catalogue.outcome(edit_id) == outcome
    assert sim.put(new_leader, edit(99, customer="z")) is None
    sim.calm(1.0)
    assert ids.EditId("e99") in sim.outcomes


def test_an_empty_disk_never_votes_under_its_old_identity():
    sim, leader = elected()
    lost = (leader + 1) % 3
    before = sim.names[lost]
    sim.kill(lost)
    sim.new_disk(lost)
    sim.start(lost)
    assert sim.names[lost] != before
    sim.kill(leader)
    sim.calm(10.0)
    assert sim.leader() is None, "an empty disk counted towards a majority"
