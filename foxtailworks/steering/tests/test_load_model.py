"""Guards the placement by the shared view at a load near capacity."""

import pytest

from foxtailworks.steering.tests import load_model

SHORT = {
    "usual": load_model.Phase(0.5, 1.0),
    "rush": load_model.Phase(1.2, 2.4),
    "slow": load_model.Phase(1.2, 2.0, 0.2),
}


@pytest.fixture(name="played", scope="module")
def play():
    return load_model.Placed(1, phases=SHORT).run()


def test_callers_are_served_in_time_in_all_zones_alike(played):
    """Guards against hosts that all choose what the view shows as free.

    The goal of docs/HARD-LOAD.md: 0.93 in time, zones within 0.03.
    """
    assert played.share_in_time() >= 0.93
    zones = played.zone_shares()
    assert max(zones) - min(zones) <= 0.03


def test_few_attempts_meet_a_full_upstream(played):
    """Guards against placement that ignores full and slow upstreams.

    Without the view 7,293 of 41,659 attempts met one; the goal is under 500
    (docs/HARD-LOAD.md).
    """
    met = sum(played.met_full.values())
    assert met / played.attempts <= 500 / 41659


def test_most_flows_stay_in_their_zone(played):
    """Guards against flows that are spread over all zones: bytes cost."""
    assert played.crossed / played.attempts <= 0.25
