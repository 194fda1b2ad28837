"""One change of the membership at a time, and only a safe one."""

from foxtailworks import agreement
from foxtailworks import ids
from foxtailworks import upkeep

POLICY = upkeep.Policy()
NOW = 100.0


def address(number):
    return ids.Address(f"10.0.0.{number}", 7000)


def sighting(name, number, age=0.1, group="g", founder=False):
    return upkeep.PeerStatus(
        ids.KeeperId(name), name, address(number), group, founder, NOW - age
    )


def member(name, number, voter=True):
    return agreement.Member(ids.KeeperId(name), name, address(number), voter)


def due(members, *peers, caught_up=True):
    view = upkeep.View(
        NOW,
        ids.KeeperId("a"),
        "g",
        agreement.Membership(members),
        {item.keeper: item for item in peers},
        lambda keeper: caught_up,
        0.0,
    )
    found = upkeep.next_membership(view, POLICY)
    if found is None:
        return None
    return {str(m.keeper): m.voter for m in found.members}


THREE = (member("a", 1), member("b", 2), member("c", 3))
TWO_LIVE = (sighting("b", 2), sighting("c", 3))


def test_nothing_is_due_while_all_live():
    assert due(THREE, *TWO_LIVE) is None


def test_a_new_replica_learns_first():
    found = due(THREE, *TWO_LIVE, sighting("d", 4, group=""))
    assert found == {"a": True, "b": True, "c": True, "d": False}


def test_a_learner_votes_once_it_holds_all():
    members = (*THREE, member("d", 4, voter=False))
    seen = (*TWO_LIVE, sighting("d", 4))
    assert due(members, *seen, caught_up=False) is None
    assert due(members, *seen) == dict.fromkeys("abcd", True)


def test_a_lost_disk_gives_its_vote_up():
    seen = (sighting("b", 2), sighting("c", 3, 2.0), sighting("x", 3, 0.1, ""))
    assert due(THREE, *seen) == {"a": True, "b": True}


def test_a_successor_votes_only_once_its_predecessor_is_out():
    # Else a second lost disk there leaves two live voters of four.
    members = (*THREE, member("x", 3, voter=False))
    seen = (sighting("b", 2), sighting("c", 3, 0.3), sighting("x", 3))
    assert due(members, *seen) is None
    seen = (sighting("b", 2), sighting("c", 3, 0.9), sighting("x", 3))
    assert due(members, *seen) == {"a": True, "b": True, "x": False}


def test_nobody_is_promoted_beside_a_silent_voter():
    members = (*THREE, member("d", 4, voter=False))
    seen = (sighting("b", 2), sighting("c", 3, 1.0), sighting("d", 4))
    assert due(members, *seen) is None


def test_a_silent_voter_stays_in_a_small_group():
    assert due(THREE, sighting("b", 2), sighting("c", 3, 60.0)) is None


def test_a_silent_voter_gives_way_to_a_ready_learner():
    members = (*THREE, member("d", 4, voter=False))
    seen = (sighting("b", 2), sighting("c", 3, 2.0), sighting("d", 4))
    assert due(members, *seen) == {"a": True, "b": True, "d": False}


def test_a_silent_voter_leaves_a_larger_group_after_a_while():
    four = (*THREE, member("d", 4))
    brief = (*TWO_LIVE, sighting("d", 4, POLICY.gone_s - 1))
    assert due(four, *brief) is None
    long = (*TWO_LIVE, sighting("d", 4, POLICY.gone_s + 1))
    assert due(four, *long) == dict.fromkeys("abc", True)


def test_a_replica_of_another_group_is_left_alone():
    assert due(THREE, *TWO_LIVE, sighting("z", 9, group="other")) is None


def test_a_new_leader_counts_silence_from_its_own_start():
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


def test_a_group_is_founded_only_by_all_seeds_and_all_new():
    seeds = (address(1), address(2))
    new = [sighting(n, i, 0.1, "", True) for n, i in (("a", 1), ("b", 2))]
    found = upkeep.initial_membership(new, seeds)
    assert found is not None and len(found.voters()) == 2
    assert upkeep.initial_membership(new[:1], seeds) is None
    old = sighting("c", 3, group="g")
    assert upkeep.initial_membership([*new, old], seeds) is None
    wiped = sighting("b", 2, 0.1, "", False)
    assert upkeep.initial_membership([new[0], wiped], seeds) is None
