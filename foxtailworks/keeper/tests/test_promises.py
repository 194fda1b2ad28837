"""Single promises of the agreement, each with the failure it is for."""

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
    made = cluster.Cluster(size, **options)
    made.calm(2.0)
    return made, made.leader()


def member(made, place, voter):
    name = made.names[place]
    at = cluster.address(place)
    return agreement.Member(name, f"k{place}", at, voter)


def change(made, lead, membership):
    made.step(lead, lambda n: n.propose_membership(membership, made.now))
    made.calm(0.5)


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
    """Carry out writes until there are none; return what is sent."""
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


def test_a_vote_leaves_only_when_it_is_on_the_disk():
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


def test_a_heartbeat_commits_only_what_it_vouches_for():
    other = agreement.Entry(2, 2, agreement.EntryKind.COMMAND, b"lost")
    replica = lone_replica((other,), term=2)
    beat = agreement.Append("g", 3, 1, 1, (), commit=2, round=1)
    replica.on_message(ids.KeeperId("b"), beat, 2.0)
    assert replica.commit_index == 1


def test_two_of_four_keepers_are_no_majority():
    made, lead = elected(4)
    for other in [p for p in range(4) if p != lead][:2]:
        made.kill(other)
    made.put(lead, edit(1))
    made.calm(3.0)
    assert not made.answers and made.leader() is None


def test_a_leader_cut_off_accepts_nothing_after_its_lease():
    made, lead = elected()
    for other in {0, 1, 2} - {lead}:
        made.cut(lead, other)
    made.tick(agreement.Timing().lease_s + 0.3)
    assert made.put(lead, edit(1)) in (
        errors.Code.NO_QUORUM,
        errors.Code.NOT_LEADER,
    )


def test_a_leader_frozen_past_its_lease_accepts_nothing():
    made, lead = elected()
    made.now += 30.0
    assert made.put(lead, edit(1)) == errors.Code.NO_QUORUM


def test_an_edit_displaced_by_another_leader_is_never_called_decided():
    made, lead = elected()
    for other in {0, 1, 2} - {lead}:
        made.cut(lead, other)
    assert made.put(lead, edit(1)) is None
    made.calm(3.0)
    made.cuts.clear()
    made.calm(3.0)
    assert not made.asked and not made.answers


def test_a_keeper_cut_off_for_long_disturbs_nobody_when_it_returns():
    made, lead = elected()
    lone = (lead + 1) % 3
    for other in {0, 1, 2} - {lone}:
        made.cut(lone, other)
    made.calm(30.0)
    term = made.nodes[lead].replica.term
    made.cuts.clear()
    made.calm(3.0)
    assert (made.leader(), made.nodes[lead].replica.term) == (lead, term)
    assert made.nodes[lone].replica.term == term


def test_a_leader_heard_in_one_direction_only_is_replaced():
    made, lead = elected()
    for other in {0, 1, 2} - {lead}:
        made.cuts.add((made.names[other], made.names[lead]))
    made.calm(3.0)
    assert made.leader() != lead
    assert made.put(made.leader(), edit(1)) is None


def test_a_read_needs_a_majority_at_that_time():
    made, lead = elected()
    assert made.put(lead, edit(1)) is None
    made.calm(1.0)
    for other in {0, 1, 2} - {lead}:
        made.cut(lead, other)
    made.read(lead)
    assert made.read_floor, "answered without a majority"
    made.calm(3.0)
    made.put(made.leader(), edit(2, base=2))
    made.cuts.clear()
    made.calm(3.0)
    assert made.read_floor, "a lost read was answered"


def test_one_keeper_changes_at_a_time():
    made, lead = elected(spare=2)
    now = made.nodes[lead].replica.membership
    both = now.put(member(made, 3, False)).put(member(made, 4, False))
    one = now.put(member(made, 3, False))
    for wanted, code in (
        (both, errors.Code.MEMBERSHIP_REFUSED),
        (one, None),
        (one.put(member(made, 4, False)), errors.Code.MEMBERSHIP_BUSY),
    ):
        node = made.nodes[lead]
        try:
            node.propose_membership(wanted, made.now)
            found = None
        except errors.FoxtailError as exc:
            found = exc.code
        assert found == code


def test_a_learner_votes_only_when_it_is_caught_up():
    made, lead = elected(spare=1)
    for number in range(20):
        made.put(lead, edit(number, customer=f"c{number}"))
        made.deliver_all()
    made.frozen.add(3)
    now = made.nodes[lead].replica.membership
    change(made, lead, now.put(member(made, 3, False)))
    with pytest.raises(errors.FoxtailError) as info:
        change(made, lead, now.put(member(made, 3, True)))
    assert info.value.code == errors.Code.MEMBERSHIP_REFUSED
    made.frozen.clear()
    made.calm(1.0)
    change(made, lead, now.put(member(made, 3, True)))
    assert made.names[3] in made.nodes[lead].replica.membership.voters()


@pytest.mark.parametrize("seed", range(6))
def test_a_keeper_lost_right_after_a_repair_loses_no_edit(seed):
    made, lead = elected(spare=1, seed=seed)
    lost = (lead + 1) % 3
    made.kill(lost)
    made.new_disk(lost)
    for number in range(8):
        assert made.put(lead, edit(number, customer=f"c{number}")) is None
        made.calm(0.2)
    now = made.nodes[lead].replica.membership
    change(made, lead, now.put(member(made, 3, False)))
    change(made, lead, now.put(member(made, 3, True)))
    gone = made.names[lost]
    change(made, lead, made.nodes[lead].replica.membership.without(gone))
    made.kill(lead)
    made.calm(4.0)
    answers = dict(made.answers)
    assert len(answers) == 8
    again = made.leader()
    for edit_id, outcome in answers.items():
        assert made.nodes[again].catalogue.outcome(edit_id) == outcome
    assert made.put(again, edit(99, customer="z")) is None
    made.calm(1.0)
    assert ids.EditId("e99") in made.answers


def test_an_empty_disk_never_votes_under_its_old_identity():
    made, lead = elected()
    lost = (lead + 1) % 3
    before = made.names[lost]
    made.kill(lost)
    made.new_disk(lost)
    made.start(lost)
    assert made.names[lost] != before
    made.kill(lead)
    made.calm(10.0)
    assert made.leader() is None, "a new disk made a majority"
