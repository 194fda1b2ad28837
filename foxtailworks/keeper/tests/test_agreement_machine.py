"""Keepers under message loss, partitions, freezes, crashes, disk faults."""

import errno

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks.keeper.tests import cluster

PLACES = st.integers(0, 2)
SEEDS = st.integers(0, 1 << 16)


class Keepers(stateful.RuleBasedStateMachine):
    """Three keepers; any accepted edit must survive."""

    def __init__(self):
        super().__init__()
        self.cluster = cluster.Cluster(3)
        self.cluster.calm(2.0)
        self.serial = 0

    @stateful.rule(seed=SEEDS, steps=st.integers(5, 80))
    def storm(self, seed, steps):
        self.cluster.storm(seed, steps)

    @stateful.rule()
    def calm(self):
        self.cluster.calm(1.5)

    @stateful.rule(places=st.lists(PLACES, min_size=1, max_size=3), c=PLACES)
    def operators_race(self, places, c):
        """Several operators edit the same version at several keepers."""
        customer = ids.CustomerId(f"c{c}")
        for place in places:
            self.serial += 1
            node = self.cluster.nodes.get(place)
            known = node and node.catalogue.view.find(customer)
            edit = contracts.Edit(
                ids.EditId(f"e{self.serial}"),
                customer,
                known.version if known else ids.ZERO_VERSION,
                cluster.document(customer, 7000 + c),
            )
            self.cluster.put(place, edit)

    @stateful.rule(place=PLACES, victim=PLACES, count=st.integers(1, 9))
    def fall_behind(self, place, victim, count):
        """One keeper misses edits; then another is lost at once."""
        others = {0, 1, 2} - {place}
        for other in others:
            self.cluster.cut(place, other)
        self.cluster.calm(1.5)
        for _ in range(count):
            self.operators_race(list(others), place)
            self.cluster.deliver_all()
        self.cluster.cuts.clear()
        self.cluster.kill(victim)

    @stateful.rule(place=PLACES, nth=st.integers(0, 50))
    def operator_resends(self, place, nth):
        if self.cluster.edits:
            edits = list(self.cluster.edits.values())
            self.cluster.put(place, edits[nth % len(edits)])

    @stateful.rule(place=PLACES)
    def read(self, place):
        self.cluster.read(place)

    @stateful.rule(place=PLACES)
    def kill(self, place):
        self.cluster.kill(place)

    @stateful.rule(place=PLACES)
    def lose_disk(self, place):
        self.cluster.lose_disk(place)

    @stateful.rule(victim=PLACES)
    def repair_and_lose_another(self, victim):
        """Right after a repair another keeper is killed."""
        self.cluster.repair()
        self.cluster.kill(victim)

    @stateful.rule(host=st.sampled_from(cluster.HOSTS), place=PLACES)
    def feed_host(self, host, place):
        self.cluster.feed_host(host, place)

    @stateful.rule(host=st.sampled_from(cluster.HOSTS))
    def restart_host(self, host):
        self.cluster.start_host(host)

    @stateful.rule(place=PLACES)
    def start(self, place):
        if place not in self.cluster.nodes:
            self.cluster.start(place)

    @stateful.rule(place=PLACES)
    def freeze_or_thaw(self, place):
        if place in self.cluster.nodes:
            self.cluster.frozen ^= {place}

    @stateful.rule(a=PLACES, b=PLACES, both=st.booleans())
    def cut(self, a, b, both):
        self.cluster.cut(a, b, both)

    @stateful.rule()
    def mend_links(self):
        self.cluster.cuts.clear()

    @stateful.rule(
        place=PLACES,
        fault=st.sampled_from([errno.EIO, errno.ENOSPC, errno.EROFS]),
    )
    def disk_fails(self, place, fault):
        self.cluster.fail_disk(place, fault)

    def teardown(self):
        self.cluster.heal()


Keepers.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    stateful_step_count=30,
)
TestKeepers = Keepers.TestCase
