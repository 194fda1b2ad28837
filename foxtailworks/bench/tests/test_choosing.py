"""The model of choosing: its ideal is the best, random the worst."""

import pytest

from foxtailworks.bench import _choosing

ARRIVALS = 3000


def run(sheet, load, name):
    policy = _choosing.POLICIES.get(name)
    return _choosing.Model(sheet, load, policy, 1).run(ARRIVALS)


@pytest.mark.parametrize("sheet", _choosing.WORKLOADS, ids=lambda s: s.name)
@pytest.mark.parametrize("load", [0.5, 0.8, 0.95])
def test_own_view_lies_between_random_and_one_queue(sheet, load):
    ideal, own, chance = (
        run(sheet, load, name) for name in ("ideal", "own", "random")
    )
    assert (
        ideal.share_in_target()
        >= own.share_in_target()
        >= chance.share_in_target()
    )
    assert ideal.p99_ms() <= own.p99_ms() <= chance.p99_ms()


def test_every_request_is_answered_or_shed():
    sheet = _choosing.WORKLOADS[0]
    calm = run(sheet, 0.5, "own")
    assert len(calm.latencies_s) == ARRIVALS
    full = run(sheet, 2.0, "own")
    assert len(full.latencies_s) < ARRIVALS


def test_a_seed_repeats_itself():
    sheet = _choosing.WORKLOADS[1]
    one, two = (run(sheet, 0.95, "two") for _ in range(2))
    assert one.latencies_s == two.latencies_s
