"""Randomised test: hosts agree on hosts and upstreams after any faults.

Records of hosts and upstreams never go back to an older state meanwhile.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from foxtailworks.bench import _membership_random_run
from foxtailworks.bench import _membership_world
from foxtailworks.bench import _virtual_cluster

HOSTS = 7
ZONES = 3
REGIONS = 2
ADDRESSES = 4
# Raise it for a longer run; see docs/DESIGN.md.
EXAMPLES = int(os.environ.get("FOXTAIL_EXAMPLES", "6"))

hosts = st.integers(0, HOSTS - 1)
zones = st.integers(0, ZONES - 1).map("zone-{}".format)
places = st.one_of(zones, hosts.map("host-{}".format))
addresses = st.integers(0, ADDRESSES - 1)


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Faults, restarts and announcements in any order."""

    @stateful.initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed):
        self.world = _membership_world.World(
            HOSTS, ZONES, REGIONS, ADDRESSES, seed
        )
        self.cluster = self.world.cluster
        self.cluster.run(5)

    @stateful.rule(seconds=st.sampled_from([0.3, 2, 8, 25]))
    def wait(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(
        loss=st.sampled_from([0, 0.1, 0.3]),
        doubled=st.sampled_from([0, 0.2]),
        jitter=st.sampled_from([0.005, 0.3]),
    )
    def weather(self, loss, doubled, jitter):
        self.cluster.network = _virtual_cluster.Network(
            loss=loss, doubled=doubled, jitter_s=jitter
        )

    @stateful.rule(number=hosts, back=st.booleans())
    def kill(self, number, back):
        if number in self.cluster.processes:
            self.cluster.kill(number)
        if back:
            self.cluster.run(1)
            self.cluster.start(number)

    @stateful.rule(number=hosts)
    def freeze(self, number):
        if number in self.cluster.processes:
            self.cluster.freeze(number, 30)

    @stateful.rule(number=hosts)
    def leave(self, number):
        if number in self.cluster.processes:
            self.cluster.leave(number)

    @stateful.rule(one=places, other=places, both=st.booleans())
    def cut(self, one, other, both):
        self.cluster.block(one, other)
        if both:
            self.cluster.block(other, one)

    @stateful.rule(zone=zones)
    def cut_zone(self, zone):
        for other in range(ZONES):
            if zone != f"zone-{other}":
                self.cluster.block(zone, f"zone-{other}")
                self.cluster.block(f"zone-{other}", zone)

    @stateful.rule()
    def heal(self):
        self.cluster.heal()

    @stateful.rule(number=addresses, service=st.integers(0, 1))
    def start_upstream(self, number, service):
        self.world.start_upstream(number, service)

    @stateful.rule(number=addresses)
    def stop_upstream(self, number):
        self.world.stop_upstream(number)

    @stateful.rule(number=addresses)
    def drain_upstream(self, number):
        if number in self.world.upstreams:
            self.world.drain_upstream(number)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.converge()


ClusterMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    stateful_step_count=20,
    # Each step takes seconds of virtual time, so shrinking takes too long.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestCluster = ClusterMachine.TestCase


def test_random_run_that_loses_a_zone_with_a_holder():
    _membership_random_run.run_random_steps(72, 30)
