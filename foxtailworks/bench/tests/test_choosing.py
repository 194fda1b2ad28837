"""Tests of the model of upstream choice: bounds, shedding and seeds."""

import pytest

from foxtailworks.bench import _choosing
from foxtailworks.bench import _workloads

ARRIVALS = 3000


def run(sheet, load, name):
    policy = _choosing.POLICIES.get(name)
    return _choosing.Model(sheet, load, policy, 1).run(ARRIVALS)


@pytest.mark.parametrize(
    "sheet", _workloads.WORKLOADS[:2], ids=lambda s: s.name
)
@pytest.mark.parametrize("load", [0.5, 0.8, 0.95])
def test_own_view_lies_between_random_and_one_queue(sheet, load):
    ideal, own, random_policy = (
        run(sheet, load, name) for name in ("ideal", "own", "random")
    )
    assert (
        ideal.share_in_target()
        >= own.share_in_target()
        >= random_policy.share_in_target()
    )
    assert ideal.p99_ms() <= own.p99_ms() <= random_policy.p99_ms()


@pytest.mark.parametrize("name", ["two", "subset"])
def test_a_view_of_half_a_percent_is_worse_than_a_wider_one(name):
    sheet = _workloads.WORKLOADS[2]
    own, wider = run(sheet, 0.95, "own"), run(sheet, 0.95, name)
    assert wider.share_in_target() > own.share_in_target()
    assert wider.shed_while_free < own.shed_while_free
    assert wider.p99_ms() < own.p99_ms()


def test_every_request_is_answered_or_shed():
    sheet = _workloads.WORKLOADS[0]
    light_load = run(sheet, 0.5, "own")
    assert len(light_load.latencies_s) == ARRIVALS
    overload = run(sheet, 2.0, "own")
    assert len(overload.latencies_s) < ARRIVALS


def test_a_seed_repeats_itself():
    sheet = _workloads.WORKLOADS[1]
    one, two = (run(sheet, 0.95, "two") for _ in range(2))
    assert one.latencies_s == two.latencies_s
