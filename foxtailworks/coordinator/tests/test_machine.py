"""Coordinators under any order of faults, checked after each step."""

import errno

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from foxtailworks.coordinator.tests import test_promises as promises
from foxtailworks.coordinator.tests import world

FIRST = (1, 2, 3)
LEARN_S = 4.0
"""A lost disk counts as lost until its successor has had so long."""
numbers = st.sampled_from(FIRST)


class Coordinators(stateful.RuleBasedStateMachine):
    """Three replicas of which one may lose its disk at a time.

    What is promised holds at every moment, not only once all is well: an
    answered read is never older than what was acknowledged, read or handed
    to an edge host before.
    """

    def __init__(self):
        super().__init__()
        self.world = promises.started(seed=1)
        self.revision = 0
        self.known = 0
        """Newest revision that was acknowledged, read or obeyed."""
        self.texts = {}

    # Operators.

    @stateful.rule(step=st.integers(1, 3), number=numbers)
    def put(self, step, number):
        self.revision += step
        self.texts[self.revision] = b"document %d" % self.revision
        program = self.world.hosts[world.address(number)].program
        for target in (program, self.world.leader()):
            if target is None or self.frozen(target):
                continue
            if promises.put(self.world, self.revision, target) is True:
                self.known = self.revision
                return

    @stateful.precondition(lambda self: self.known > 1)
    @stateful.rule(back=st.integers(0, 2))
    def put_again_with_other_content(self, back):
        leader = self.world.leader()
        if leader is None or leader.documents is None:
            return
        revision = max(1, self.known - back)
        documents = leader.documents
        promises.asyncio.run(
            self.world.ask(lambda: documents.put(revision, b"other"))
        )

    @stateful.rule(number=numbers)
    def read(self, number):
        place = self.world.hosts[world.address(number)]
        if place.program is None or place.is_frozen:
            return
        self.check(promises.read(self.world, place.program))

    def check(self, found):
        if not hasattr(found, "revision"):
            return
        assert found.revision >= self.known, "an older document was read"
        self.known = found.revision
        if found.revision:
            assert found.text() == self.texts[found.revision]

    def frozen(self, program):
        return self.world.hosts[program._cfg.listen_address].is_frozen

    # Faults.

    @stateful.rule(seconds=st.sampled_from((0.1, 0.7, 3.0)))
    def wait(self, seconds):
        self.world.run(seconds)

    @stateful.rule(number=numbers, loses_power=st.booleans())
    def end(self, number, loses_power):
        if loses_power:
            self.world.power_off(number)
        else:
            self.world.stop(number)

    @stateful.rule()
    def all_lose_power(self):
        for number in FIRST:
            self.world.power_off(number)

    @stateful.rule(number=numbers)
    def start(self, number):
        if self.world.hosts[world.address(number)].program is None:
            self.world.start(number)

    @stateful.precondition(lambda self: self.is_whole())
    @stateful.rule(number=numbers)
    def lose_disk(self, number):
        self.world.wipe(number)
        self.world.start(number)
        self.world.run(LEARN_S)

    def is_whole(self):
        return (
            not self.world.cuts
            and not self.world.loss
            and len(self.world.running()) == len(FIRST)
            and all(p.files.fail_with is None for p in self.world.running())
            and all(p.program.node is not None for p in self.world.running())
            and promises.all_voters_live(self.world)
        )

    @stateful.rule(number=numbers, way=st.sampled_from(("from", "to", "both")))
    def cut_off(self, number, way):
        others = set(FIRST) - {number}
        self.world.cut({number}, others)
        one = world.address(number)
        if way == "from":
            self.world.cuts = {c for c in self.world.cuts if c[0] == one}
        elif way == "to":
            self.world.cuts = {c for c in self.world.cuts if c[1] == one}

    @stateful.rule(share=st.sampled_from((0.0, 0.05, 0.2)))
    def heal(self, share):
        self.world.heal()
        self.world.loss = share

    @stateful.rule(number=numbers, stands=st.booleans())
    def freeze_or_wake(self, number, stands):
        self.world.hosts[world.address(number)].is_frozen = stands

    @stateful.rule(number=numbers, refuses=st.booleans())
    def fill_or_clear_disk(self, number, refuses):
        files = self.world.hosts[world.address(number)].files
        files.fail_with = errno.ENOSPC if refuses else None

    # Promises.

    @stateful.invariant()
    def routes_are_of_committed_documents(self):
        for place in self.world.running():
            revision, _ = place.program._compiled()
            assert revision in {0, *self.texts}
            # Who obeys it will be contradicted by no later read.
            self.known = max(self.known, revision)

    def teardown(self):
        self.world.heal()
        self.world.loss = 0.0
        for place in self.world.hosts.values():
            place.is_frozen = False
            place.files.fail_with = None
            if place.program is None:
                self.world.start(place.number)
        self.world.run(2 * promises.SETTLE_S)
        found = promises.read(self.world)
        assert hasattr(found, "revision"), "no service though all is well"
        self.check(found)


Coordinators.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestCoordinators = pytest.mark.filterwarnings("error")(Coordinators.TestCase)
