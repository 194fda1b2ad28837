"""Late, reordered and repeated heartbeats; leases; starts under one id."""

import random

import hypothesis
from hypothesis import strategies as st

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids

LEASE_S = 3.0


def registry(session=1):
    return discovery.Registry(session, LEASE_S)


def live(made):
    return {
        item.instance.key: item.instance.state
        for item in made.listed()
        if item.is_live
    }


def test_a_lease_runs_out_and_a_heartbeat_renews_it():
    made = registry()
    made.announce(making.instance(sequence=1), 0.0)
    made.on_tick(LEASE_S - 0.1)
    assert live(made)
    made.on_tick(LEASE_S + 0.1)
    assert not live(made)
    made.announce(making.instance(sequence=2), LEASE_S + 0.2)
    assert live(made)


def test_a_late_heartbeat_does_not_take_a_leave_back():
    made = registry()
    made.announce(making.instance(sequence=5, state=making.DRAINING), 0.0)
    made.announce(making.instance(sequence=4), 0.1)
    assert set(live(made).values()) == {making.DRAINING}
    made.withdraw(discovery.InstanceId("i-1"), 0.2)
    made.announce(making.instance(sequence=6), 0.3)
    assert set(live(made).values()) == {making.GONE}


def test_a_later_start_under_the_same_id_ends_the_earlier_one():
    made = registry()
    made.announce(making.instance(born=100, sequence=50), 0.0)
    made.announce(making.instance(born=200, sequence=1), 1.0)
    made.announce(making.instance(born=100, sequence=51), 1.1)
    states = {key[1]: state for key, state in live(made).items()}
    assert states == {100: making.GONE, 200: making.READY}


def test_a_late_heartbeat_of_a_former_owner_of_the_address_is_ignored():
    made = registry()
    made.announce(making.instance("i-2", born=200), 0.0)
    made.announce(making.instance("i-1", born=100), 0.1)
    assert [key[0] for key in live(made)] == ["i-2"]


def test_an_address_whose_owner_fell_silent_may_be_taken_again():
    made = registry()
    made.announce(making.instance("i-2", born=200), 0.0)
    made.on_tick(LEASE_S + 1)
    made.announce(making.instance("i-1", born=100), LEASE_S + 1)
    assert [key[0] for key in live(made)] == ["i-1"]


def test_changes_since_a_mark_are_complete():
    made = registry(session=7)
    made.announce(making.instance("i-1"), 0.0)
    first = made.changes(0, 0)
    other = ids.Address("10.0.0.8", 80)
    made.announce(making.instance("i-2", address=other), 0.1)
    made.announce(making.instance("i-1", sequence=2), 0.2)
    second = made.changes(7, first.version)
    assert [item.instance.instance for item in second.listed] == ["i-2"]
    assert len(made.changes(6, first.version).listed) == 2, "another session"


def test_a_stop_of_the_process_ends_no_lease():
    made = registry()
    made.announce(making.instance(), 0.0)
    made.extend_leases(10.0)
    made.on_tick(11.0)
    assert live(made)


def test_what_was_known_before_a_restart_is_believed_for_a_while():
    made = registry()
    made.restore((making.instance(),), 100.0)
    made.on_tick(101.0)
    assert live(made)
    made.on_tick(103.0)
    assert not live(made)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.integers(0, 10_000))
def test_registries_that_share_all_heartbeats_agree(seed):
    rng = random.Random(seed)
    made = [registry(session) for session in (1, 2, 3)]
    # A start keeps its address; two of them may share one.
    addresses = {
        (name, born): ids.Address(f"10.0.0.{rng.randrange(1, 3)}", 80)
        for name in ("i-0", "i-1")
        for born in (100, 200)
    }
    for _ in range(12):
        name, born = rng.choice(list(addresses))
        item = making.instance(
            name,
            born=born,
            sequence=rng.randrange(9),
            state=rng.choice((making.READY, making.DRAINING)),
            address=addresses[name, born],
        )
        rng.choice(made).announce(item, 1.0)
    # Datagrams come in any order; everything is told again in the end.
    for _ in range(3):
        for source in rng.sample(made, 3):
            for target in made:
                target.merge(source.all_heartbeats(1.0), 1.0)
    serving = [
        {k: s for k, s in live(item).items() if s is not making.GONE}
        for item in made
    ]
    assert serving[0] == serving[1] == serving[2]
