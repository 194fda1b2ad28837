"""State machine test: coordinators under faults in any order.

The names of rules and of their arguments decide in which order Hypothesis
draws them.
"""

import errno

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from foxtailworks.coordinator.tests import test_promises as promises
from foxtailworks.coordinator.tests import world

HOSTS = (1, 2, 3)
numbers = st.sampled_from(HOSTS)


class Coordinators(stateful.RuleBasedStateMachine):
    """Three replicas, of which at most one has lost its disk at a time.

    The guarantee holds at every step, not only after all faults have ended: a
    read never returns a document older than one that was acknowledged, read
    or passed to an edge host before.
    """

    def __init__(self):
        super().__init__()
        self.world = promises.start_cluster(seed=1)
        self.revision = 0
        self.newest_known = 0
        """Newest revision acknowledged, read or passed to an edge host."""
        self.texts = {}

    # Requests of operators.

    @stateful.rule(step=st.integers(1, 3), number=numbers)
    def put(self, step, number):
        self.revision += step
        self.texts[self.revision] = b"document %d" % self.revision
        program = self.world.hosts[world.address(number)].program
        for target in (program, self.world.leader()):
            if target is None or self.is_frozen_program(target):
                continue
            if promises.put(self.world, self.revision, target) is True:
                self.newest_known = self.revision
                return

    @stateful.precondition(lambda self: self.newest_known > 1)
    @stateful.rule(distance=st.integers(0, 2))
    def put_again_with_other_content(self, distance):
        leader = self.world.leader()
        if leader is None or leader.documents is None:
            return
        revision = max(1, self.newest_known - distance)
        documents = leader.documents
        promises.asyncio.run(
            self.world.run_coroutine(lambda: documents.put(revision, b"other"))
        )

    @stateful.rule(number=numbers)
    def read(self, number):
        host = self.world.hosts[world.address(number)]
        if host.program is None or host.is_frozen:
            return
        self.check(promises.read(self.world, host.program))

    def check(self, result):
        if not hasattr(result, "revision"):
            return
        assert result.revision >= self.newest_known, (
            "an older document was read"
        )
        self.newest_known = result.revision
        if result.revision:
            assert result.text() == self.texts[result.revision]

    def is_frozen_program(self, program):
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
        for number in HOSTS:
            self.world.power_off(number)

    @stateful.rule(number=numbers)
    def start(self, number):
        if self.world.hosts[world.address(number)].program is None:
            self.world.start(number)

    @stateful.precondition(lambda self: self.has_full_redundancy())
    @stateful.rule(number=numbers)
    def lose_disk(self, number):
        self.world.wipe(number)
        self.world.start(number)
        self.world.run(promises.CATCH_UP_S)

    def has_full_redundancy(self):
        return (
            not self.world.blocked
            and not self.world.loss_rate
            and len(self.world.running()) == len(HOSTS)
            and all(p.files.fail_with is None for p in self.world.running())
            and all(p.program.node is not None for p in self.world.running())
            and promises.all_voters_live(self.world)
        )

    @stateful.rule(
        number=numbers, to_block=st.sampled_from(("from", "to", "both"))
    )
    def cut_off(self, number, to_block):
        others = set(HOSTS) - {number}
        self.world.partition({number}, others)
        one = world.address(number)
        if to_block == "from":
            self.world.blocked = {c for c in self.world.blocked if c[0] == one}
        elif to_block == "to":
            self.world.blocked = {c for c in self.world.blocked if c[1] == one}

    @stateful.rule(loss_rate=st.sampled_from((0.0, 0.05, 0.2)))
    def heal(self, loss_rate):
        self.world.heal()
        self.world.loss_rate = loss_rate

    @stateful.rule(number=numbers, to_freeze=st.booleans())
    def freeze_or_wake(self, number, to_freeze):
        self.world.hosts[world.address(number)].is_frozen = to_freeze

    @stateful.rule(number=numbers, to_fill=st.booleans())
    def fill_or_clear_disk(self, number, to_fill):
        files = self.world.hosts[world.address(number)].files
        files.fail_with = errno.ENOSPC if to_fill else None

    # Guarantees.

    @stateful.invariant()
    def routes_are_of_committed_documents(self):
        for host in self.world.running():
            revision = world.routes_revision(host.program)
            assert revision in {0, *self.texts}
            # An edge host may use this revision, so no later read may return
            # an older one.
            self.newest_known = max(self.newest_known, revision)

    def teardown(self):
        self.world.heal()
        self.world.loss_rate = 0.0
        for host in self.world.hosts.values():
            host.is_frozen = False
            host.files.fail_with = None
            if host.program is None:
                self.world.start(host.number)
        self.world.run(2 * promises.SETTLE_S)
        result = promises.read(self.world)
        assert hasattr(result, "revision"), (
            "no service after all faults have ended"
        )
        self.check(result)


Coordinators.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestCoordinators = pytest.mark.filterwarnings("error")(Coordinators.TestCase)
