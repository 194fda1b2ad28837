"""A host receives large answers within a bound, whatever is lost."""

import random

import hypothesis
from hypothesis import strategies as st

from foxtailworks import ids
from foxtailworks import polling

ONE, TWO, THREE = (ids.Address(f"10.0.0.{n}", 7000) for n in (1, 2, 3))


def receive(transfers, source, count, arrived, now=0.0, number=7):
    """Record that the parts of ``arrived`` have arrived, one by one."""
    missing = set(range(count))
    for index in arrived:
        missing.discard(index)
        transfers.on_part(source, number, frozenset(missing), now)
    return missing


def requested(transfers, now=0.0):
    return [index for due in transfers.due(now) for index in due.indexes]


def test_all_coordinators_together_are_granted_a_bounded_number_of_parts():
    transfers = polling.Transfers()
    granted = [
        transfers.grant(ids.Address(f"10.0.0.{n}", 7000), True, 0.0)
        for n in range(1, 8)
    ]
    assert granted == [8, 8, 8, 0, 0, 0, 0]
    assert transfers.outstanding == polling.MAX_OUTSTANDING


def test_unresponsive_coordinators_leave_room_for_one_that_answers():
    transfers = polling.Transfers()
    for number in range(10, 20):
        transfers.grant(ids.Address(f"10.0.0.{number}", 7000), False, 0.0)
    assert transfers.grant(ONE, True, 0.0) == polling.FIRST_PARTS


def test_the_rest_of_a_large_answer_is_requested_from_its_sender():
    transfers = polling.Transfers()
    transfers.grant(ONE, True, 0.0)
    receive(transfers, ONE, 30, range(8))
    (due,) = transfers.due(0.0)
    assert (due.source, due.number) == (ONE, 7)
    assert due.indexes == tuple(range(8, 23))
    # Half of the window must arrive before the next request.
    assert list(transfers.due(0.05)) == []


def test_one_large_answer_is_received_at_a_time():
    transfers = polling.Transfers()
    for source in (ONE, TWO):
        transfers.grant(source, True, 0.0)
    receive(transfers, ONE, 30, range(8))
    receive(transfers, TWO, 30, range(8), number=3)
    assert {due.source for due in transfers.due(0.0)} == {ONE}
    assert transfers.grant(THREE, True, 0.0) == 0
    assert transfers.take_deferred() is None
    receive(transfers, ONE, 30, range(30))
    assert not transfers.is_downloading
    assert transfers.take_deferred() == TWO


def test_only_lost_parts_are_requested_again_and_ever_more_slowly():
    transfers = polling.Transfers()
    transfers.grant(ONE, True, 0.0)
    receive(transfers, ONE, 8, (0, 1, 2, 4, 5, 7))
    assert requested(transfers, 0.09) == []
    assert requested(transfers, 0.1) == [3, 6]
    assert requested(transfers, 0.29) == []
    assert requested(transfers, 0.31) == [3, 6]
    assert transfers.repeated_count == 4


def test_a_coordinator_that_sends_nothing_more_is_given_up():
    transfers = polling.Transfers()
    transfers.grant(ONE, True, 0.0)
    receive(transfers, ONE, 30, (0,))
    for tick in range(60):
        list(transfers.due(tick * 0.02))
    assert not transfers.is_downloading
    assert transfers.abandoned_count == 1
    assert transfers.grant(TWO, True, 1.2) == polling.FIRST_PARTS


def test_an_answer_that_is_gone_is_asked_for_anew():
    transfers = polling.Transfers()
    receive(transfers, ONE, 30, (0,))
    transfers.on_parts_gone(ONE, 8)
    transfers.on_parts_gone(TWO, 7)
    assert transfers.is_downloading
    transfers.on_parts_gone(ONE, 7)
    assert transfers.take_deferred() == ONE


def test_a_summary_frees_its_grant_and_is_followed_by_a_poll():
    transfers = polling.Transfers()
    transfers.grant(ONE, True, 0.0)
    transfers.on_answer(ONE, is_whole=False)
    assert transfers.outstanding == 0
    assert transfers.take_deferred() == ONE
    assert transfers.take_deferred() is None


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.integers(0, 1 << 32), st.integers(2, 90), st.floats(0.0, 0.4)
)
def test_answers_arrive_whole_within_the_bound_at_any_loss(seed, count, loss):
    rng = random.Random(seed)
    transfers = polling.Transfers()
    missing = set(range(count))
    now = 0.0
    waiting = []
    while missing:
        now += 0.02
        assert now < 60.0
        assert transfers.outstanding <= polling.MAX_OUTSTANDING
        if transfers.take_deferred() or not transfers.is_downloading:
            granted = transfers.grant(ONE, True, now)
            waiting += sorted(missing)[:granted]
        for due in transfers.due(now):
            waiting += due.indexes
        for index in waiting:
            if rng.random() >= loss:
                missing.discard(index)
                transfers.on_part(ONE, 7, frozenset(missing), now)
        waiting = []
    assert not transfers.is_downloading
