"""Distribution of versions to all hosts under loss and restarts."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import wire

CODEC = wire.Codec(contracts.DISTRIBUTION_MESSAGES, limit=1400)
HOSTS = [ids.HostId(f"h{n}") for n in range(6)]
ZONES = {h: ids.ZoneId(f"z{n % 2}") for n, h in enumerate(HOSTS)}
PLACES = st.sampled_from(HOSTS)


class Hosts:
    """Simulated entry hosts, a source of versions and a lossy network."""

    def __init__(self):
        self.now, self.serial = 0.0, 0
        self.source = contracts.View()
        self.views, self.cores, self.queue = {}, {}, []
        for host in HOSTS:
            self.start(host)

    def start(self, host):
        self.views[host] = contracts.View()
        self.serial += 1
        self.cores[host] = contracts.Distribution(
            host,
            ZONES[host],
            self.views[host],
            random.Random(self.serial),
            self.now,
        )
        self.cores[host].set_peers(ZONES)

    def edit(self, size=10):
        version = ids.Version(self.source.version + 3)
        customer = ids.CustomerId(f"c{version % 5}")
        text = random.Random(version).randbytes(size).hex()
        self.source.put(contracts.VersionedContract(customer, version, text))

    def feed(self, host, since=None):
        since = self.views[host].version if since is None else since
        update = self.source.since(since)
        self.carry_out(host, self.cores[host].on_update(update, self.now))

    def tick(self, rounds=1, rng=None, loss=0.0):
        for _ in range(rounds):
            self.now += 0.1
            for host, core in self.cores.items():
                self.carry_out(host, core.on_tick(self.now))
            self.deliver(rng or random.Random(1), loss)

    def deliver(self, rng, loss):
        for _ in range(3):
            batch, self.queue = self.queue, []
            rng.shuffle(batch)
            for item in batch:
                if rng.random() >= loss:
                    self.take(item)
                    if rng.random() < loss:
                        self.take(item)

    def take(self, item):
        src, dst, data = item
        if dst in self.cores:
            core = self.cores[dst]
            actions = core.on_message(src, CODEC.decode(data), self.now)
            self.carry_out(dst, actions)

    def carry_out(self, host, actions):
        for action in actions:
            if isinstance(action, contracts.SendToHost):
                data = CODEC.encode(action.msg)
                self.queue.append((host, action.to, data))


class Spreading(stateful.RuleBasedStateMachine):
    """Edits, restarts and losses in any order."""

    def __init__(self):
        super().__init__()
        self.hosts = Hosts()
        self.reached = {}

    @stateful.rule(size=st.sampled_from([10, 3000]))
    def edit(self, size):
        self.hosts.edit(size)

    @stateful.rule(host=PLACES)
    def keeper_feeds(self, host):
        self.hosts.feed(host)

    @stateful.rule(host=PLACES)
    def keeper_repeats_an_old_update(self, host):
        self.hosts.feed(host, ids.ZERO_VERSION)

    @stateful.rule(seed=st.integers(0, 999), rounds=st.integers(1, 9))
    def storm(self, seed, rounds):
        self.hosts.tick(rounds, random.Random(seed), 0.3)

    @stateful.rule(host=PLACES)
    def restart(self, host):
        self.hosts.start(host)
        self.reached.pop(host, None)

    @stateful.invariant()
    def versions_grow_and_match_the_source(self):
        for host, view in self.hosts.views.items():
            assert view.version >= self.reached.get(host, 0)
            self.reached[host] = view.version
            for item in view.contracts:
                known = self.hosts.source.find(item.customer)
                assert item.version <= known.version

    def teardown(self):
        self.hosts.edit()
        self.hosts.feed(HOSTS[0])
        self.hosts.tick(80)
        for view in self.hosts.views.values():
            assert view.contracts == self.hosts.source.contracts


Spreading.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=20
)
TestSpreading = Spreading.TestCase


def versions_in_force(hosts):
    """Return the set of versions in force on all hosts."""
    return {view.version for view in hosts.views.values()}


def test_a_restarted_host_receives_the_newest_version_from_peers():
    hosts = Hosts()
    hosts.edit()
    hosts.feed(HOSTS[0])
    hosts.tick(30)
    old = hosts.source.version
    lagging = hosts.cores.pop(HOSTS[1])
    hosts.edit()
    hosts.feed(HOSTS[0])
    hosts.tick(30)
    hosts.cores[HOSTS[1]] = lagging
    hosts.start(HOSTS[5])
    # The lagging host's version and its complete state arrive first.
    stale = hosts.views[HOSTS[1]].since(ids.ZERO_VERSION)
    hosts.cores[HOSTS[5]].on_update(stale, hosts.now)
    seen = {hosts.views[HOSTS[5]].version}
    for _ in range(30):
        hosts.tick()
        seen.add(hosts.views[HOSTS[5]].version)
    assert old not in seen
    assert hosts.views[HOSTS[5]].version == hosts.source.version


def test_a_state_in_parts_is_deferred_until_complete():
    hosts = Hosts()
    for _ in range(5):
        hosts.edit(100)
    for part in hosts.source.parts(ids.ZERO_VERSION, 150):
        hosts.cores[HOSTS[0]].on_update(part, hosts.now)
    assert hosts.views[HOSTS[0]].version == ids.ZERO_VERSION
    hosts.cores[HOSTS[0]].on_tick(hosts.now + 2.0)
    assert hosts.views[HOSTS[0]].contracts == hosts.source.contracts


def test_lagging_hosts_receive_one_snapshot():
    hosts = Hosts()
    for _ in range(300):
        hosts.edit(2000)
    hosts.feed(HOSTS[0])
    hosts.tick(60)
    assert versions_in_force(hosts) == {hosts.source.version}
    assert len(hosts.views[HOSTS[3]].contracts) == 5


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    st.builds(
        contracts.UpdateChunk,
        st.integers(-1, 1),
        st.integers(-1, 9),
        st.integers(0, 3),
        st.integers(-2, 3),
        st.integers(-2, 3),
        st.binary(max_size=30),
    )
)
def test_invalid_chunks_change_nothing(chunk):
    hosts = Hosts()
    hosts.tick(15)
    core = hosts.cores[HOSTS[0]]
    try:
        core.on_message(HOSTS[1], chunk, hosts.now)
    except errors.FoxtailError as exc:
        assert exc.code == errors.Code.MESSAGE_MALFORMED
    assert core.version == ids.ZERO_VERSION


def test_data_sent_to_lagging_hosts_is_bounded():
    hosts = Hosts()
    for _ in range(30):
        hosts.edit(200_000)
    hosts.feed(HOSTS[0])
    hosts.tick(15)
    hosts.queue.clear()
    core = hosts.cores[HOSTS[0]]
    sent = 0
    for _ in range(50):
        for item in core.on_message(
            HOSTS[1], contracts.VersionDigest(ids.ZERO_VERSION), hosts.now
        ):
            sent += len(item.msg.data)
    assert sent <= contracts.DistributionConfig().serve_burst_bytes


def test_a_snapshot_larger_than_the_budget_arrives_in_time():
    hosts = Hosts()
    for _ in range(5):
        hosts.edit(60_000)
    for host in HOSTS[:5]:
        hosts.feed(host)
    hosts.tick(20)
    hosts.start(HOSTS[5])
    hosts.tick(150)
    assert hosts.views[HOSTS[5]].version == hosts.source.version


def test_a_message_of_another_kind_is_refused():
    with pytest.raises(errors.FoxtailError):
        Hosts().cores[HOSTS[0]].on_message(HOSTS[1], object(), 0.0)
