"""Voters that are removed for good or restarted as planned."""

import pytest

from foxtailworks.coordinator.tests import test_promises as promises
from foxtailworks.coordinator.tests import world


@pytest.mark.parametrize("is_leader", [False, True])
@pytest.mark.parametrize("is_planned", [False, True])
def test_a_disk_is_lost_after_a_voter_with_a_successor_is_removed(
    is_planned, is_leader
):
    # Guards against a group that a removed voter and the next loss leave
    # without a majority for good, although a successor has joined.
    cluster = promises.start_cluster()
    cluster.add(4, is_first_start=False)
    cluster.run(promises.CATCH_UP_S)
    assert (
        promises.voter_count(cluster) == 4 and promises.put(cluster, 7) is True
    )
    leader = world.number_of(cluster.leader())
    removed = leader if is_leader else next(n for n in (1, 2) if n != leader)
    if is_planned:
        cluster.leave(removed)
        cluster.run(0.5)
    else:
        cluster.stop(removed)
        cluster.run(promises.CATCH_UP_S)
    wiped = next(n for n in (1, 2, 3) if n != removed)
    cluster.wipe(wiped)
    cluster.run(1.0)
    cluster.start(wiped)
    cluster.run(promises.CATCH_UP_S)
    assert promises.read(cluster).revision == 7
    assert (
        promises.put(cluster, 9) is True and promises.voter_count(cluster) == 3
    )


def test_a_voter_that_restarts_as_planned_is_a_voter_again():
    # Guards against a group that stays smaller after a series of restarts.
    cluster = promises.start_cluster(4)
    for number in (1, 2, 3, 4):
        cluster.leave(number)
        cluster.run(0.5)
        assert promises.put(cluster, number) is True
        cluster.start(number)
        cluster.run(promises.CATCH_UP_S)
        assert promises.voter_count(cluster) == 4
