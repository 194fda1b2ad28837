"""Random runs of keyed requests under faults, checked by the run log."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from foxtailworks.bench import _request_parts
from foxtailworks.bench import _request_random_run
from foxtailworks.bench import _request_world

STEPS = {name: step for _, name, step in _request_random_run.STEPS}


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Callers retry at any host while hosts, links and upstreams fail."""

    has_disks = False

    @stateful.initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        roster = _request_parts.make_roster(1, list(_request_random_run.ZONES))
        self.world = _request_world.World(seed, roster)
        self.world.has_disks = self.has_disks

    @stateful.rule(
        name=st.sampled_from(["ask", *STEPS]),
        seed=st.integers(0, 1000),
        pause_s=st.sampled_from(_request_random_run.PAUSES_S),
    )
    def step(self, name, seed, pause_s):
        STEPS[name](self.world, random.Random(seed))
        self.world.run(pause_s)

    @stateful.invariant()
    def promises_hold(self):
        if hasattr(self, "world"):
            assert not any(self.world.violation_counts().values())

    def teardown(self):
        if hasattr(self, "world"):
            self.world.run(_request_random_run.SETTLE_S)
            self.promises_hold()


class AtMostOnceWithDisks(AtMostOnce):
    """The same with state that a planned stop saves for the next start."""

    has_disks = True


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
AtMostOnce.TestCase.settings = SETTINGS
AtMostOnceWithDisks.TestCase.settings = SETTINGS
TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnceWithDisks = AtMostOnceWithDisks.TestCase


@pytest.mark.parametrize("has_disks", [False, True])
def test_random_runs_keep_the_guarantees(has_disks):
    runs = 0
    for seed in range(14):
        world, _ = _request_random_run.run_steps(seed, range(80), has_disks)
        runs += world.counts["run"]
        assert not any(world.violation_counts().values()), seed
    assert runs > 30


def test_a_run_in_which_a_request_waited_in_a_frozen_host():
    # Another attempt of its key had meanwhile been refused as not run.
    for steps in ((9, 15, 21, 43), range(120)):
        world, _ = _request_random_run.run_steps(466, steps)
        assert not any(world.violation_counts().values())


def test_a_run_in_which_a_host_without_its_state_left():
    world, _ = _request_random_run.run_steps(259, range(120), True)
    assert not any(world.violation_counts().values())
