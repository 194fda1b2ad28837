"""The rules change one member at a time, and only if that is safe."""

import dataclasses

from foxtailworks import agreement
from foxtailworks import ids
from foxtailworks import upkeep

POLICY = upkeep.Policy()
NOW = 100.0


def address(number):
    return ids.Address(f"10.0.0.{number}", 7000)


def peer(name, number, age=0.1, group="g", is_first_start=False):
    return upkeep.PeerStatus(
        ids.KeeperId(name),
        name,
        address(number),
        group,
        is_first_start,
        NOW - age,
    )


def member(name, number, voter=True):
    return agreement.Member(ids.KeeperId(name), name, address(number), voter)


def next_votes(members, *peers, is_up_to_date=True):
    view = upkeep.View(
        NOW,
        ids.KeeperId("a"),
        "g",
        agreement.Membership(members),
        {item.keeper: item for item in peers},
        lambda keeper: is_up_to_date,
        0.0,
    )
    membership = upkeep.next_membership(view, POLICY)
    if membership is None:
        return None
    return {str(m.keeper): m.voter for m in membership.members}


THREE = (member("a", 1), member("b", 2), member("c", 3))
TWO_LIVE = (peer("b", 2), peer("c", 3))


def test_no_change_while_all_are_live():
    assert next_votes(THREE, *TWO_LIVE) is None


def test_new_replica_becomes_a_learner_first():
    membership = next_votes(THREE, *TWO_LIVE, peer("d", 4, group=""))
    assert membership == {"a": True, "b": True, "c": True, "d": False}


def test_learner_is_promoted_once_it_is_up_to_date():
    members = (*THREE, member("d", 4, voter=False))
    seen = (*TWO_LIVE, peer("d", 4))
    assert next_votes(members, *seen, is_up_to_date=False) is None
    assert next_votes(members, *seen) == dict.fromkeys("abcd", True)


def test_member_with_a_lost_disk_is_removed():
    seen = (peer("b", 2), peer("c", 3, 2.0), peer("x", 3, 0.1, ""))
    assert next_votes(THREE, *seen) == {"a": True, "b": True}


def test_successor_is_promoted_only_after_its_predecessor_is_removed():
    # Otherwise a second disk lost there would leave two live voters of four.
    members = (*THREE, member("x", 3, voter=False))
    seen = (peer("b", 2), peer("c", 3, 0.3), peer("x", 3))
    assert next_votes(members, *seen) is None
    seen = (peer("b", 2), peer("c", 3, 0.9), peer("x", 3))
    assert next_votes(members, *seen) == {"a": True, "b": True, "x": False}


def test_no_promotion_while_a_voter_is_unresponsive():
    members = (*THREE, member("d", 4, voter=False))
    seen = (peer("b", 2), peer("c", 3, 1.0), peer("d", 4))
    assert next_votes(members, *seen) is None


def test_unresponsive_voter_stays_in_a_small_group():
    assert next_votes(THREE, peer("b", 2), peer("c", 3, 60.0)) is None


def test_unresponsive_voter_is_removed_for_a_ready_learner():
    members = (*THREE, member("d", 4, voter=False))
    seen = (peer("b", 2), peer("c", 3, 2.0), peer("d", 4))
    assert next_votes(members, *seen) == {"a": True, "b": True, "d": False}


def test_unresponsive_voter_is_removed_from_a_larger_group():
    four = (*THREE, member("d", 4))
    brief = (*TWO_LIVE, peer("d", 4, POLICY.remove_voter_after_s - 1))
    assert next_votes(four, *brief) is None
    long = (*TWO_LIVE, peer("d", 4, POLICY.remove_voter_after_s + 1))
    assert next_votes(four, *long) == dict.fromkeys("abc", True)


def test_a_voter_with_a_successor_is_removed_within_the_users_catch_up_time():
    # Guards against a removed voter that counts for majorities for longer
    # than the users let the next loss wait, 4 s.
    four = (*THREE, member("d", 4))
    assert next_votes(four, *TWO_LIVE, peer("d", 4, 2.0)) == dict.fromkeys(
        "abc", True
    )


def test_a_leaving_voter_is_removed_at_once_if_it_has_a_successor():
    # Guards against a quorum that includes a host which has announced its
    # end, when the next loss follows at once.
    four = (*THREE, member("d", 4))
    leaving = dataclasses.replace(peer("d", 4), is_leaving=True)
    assert next_votes(four, *TWO_LIVE, leaving) == dict.fromkeys("abc", True)


def test_a_leaving_voter_stays_in_a_small_group():
    # Guards against two voters that both must answer during each restart.
    leaving = dataclasses.replace(peer("c", 3), is_leaving=True)
    assert next_votes(THREE, peer("b", 2), leaving) is None
    members = (*THREE, member("d", 4, voter=False))
    assert next_votes(members, peer("b", 2), leaving, peer("d", 4)) is None


def test_a_leaving_replica_neither_joins_nor_is_promoted():
    # Guards against a replica that is added again while its process ends.
    leaving = dataclasses.replace(peer("d", 4), is_leaving=True)
    assert next_votes(THREE, *TWO_LIVE, leaving) is None
    members = (*THREE, member("d", 4, voter=False))
    assert next_votes(members, *TWO_LIVE, leaving) is None


def test_replica_of_another_group_is_ignored():
    assert next_votes(THREE, *TWO_LIVE, peer("z", 9, group="other")) is None


def test_new_leader_counts_time_since_contact_from_its_start():
    view = upkeep.View(
        NOW,
        ids.KeeperId("a"),
        "g",
        agreement.Membership((*THREE, member("d", 4))),
        {},
        lambda keeper: True,
        NOW - 1.0,
    )
    assert upkeep.next_membership(view, POLICY) is None


def test_group_is_created_only_by_all_seeds_at_their_first_start():
    seeds = (address(1), address(2))
    new = [peer(n, i, 0.1, "", True) for n, i in (("a", 1), ("b", 2))]
    membership = upkeep.initial_membership(new, seeds)
    assert membership is not None and len(membership.voters()) == 2
    assert upkeep.initial_membership(new[:1], seeds) is None
    old = peer("c", 3, group="g")
    assert upkeep.initial_membership([*new, old], seeds) is None
    wiped = peer("b", 2, 0.1, "", False)
    assert upkeep.initial_membership([new[0], wiped], seeds) is None
