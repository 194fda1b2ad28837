"""The sum of all hosts' shares never exceeds the limit."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from foxtailworks import ids
from foxtailworks import limits

LIMIT = 600.0
HOSTS = [ids.HostId(f"h{i}") for i in range(6)]
RATE = limits.LimitId(
    ids.CustomerId("balans"),
    ids.ServiceId("slot-desk"),
    limits.Resource.REQUESTS_PER_S,
)
CODEC = limits.make_codec()


class ShareSum(stateful.RuleBasedStateMachine):
    """Demand moves while messages are lost, duplicated, late or cut off."""

    def __init__(self):
        super().__init__()
        self.now = 50.0
        self.rng = random.Random(3)
        self.limit = LIMIT
        self.largest = LIMIT
        self.pending = []
        self.demand = dict.fromkeys(HOSTS, 0.0)
        self.isolated = set()
        self.hosts = {host: self.make(host, True) for host in HOSTS}

    def make(self, host, is_first_start):
        rng = random.Random(self.rng.random())
        shares = limits.Shares(host, self.now, is_first_start, rng)
        shares.set_live_hosts(HOSTS)
        shares.set_limit(RATE, self.limit, len(HOSTS))
        return shares

    def post(self, source, sends):
        for item in sends:
            data = CODEC.encode(item.message)
            self.pending.append((source, item.host, data))

    @stateful.rule(
        host=st.sampled_from(HOSTS), demand=st.sampled_from([0, 90, 500])
    )
    def traffic_moves(self, host, demand):
        self.demand[host] = demand

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.9, 5.0]))
    def let_time_pass(self, seconds):
        self.now += seconds
        for host, shares in self.hosts.items():
            shares.set_demand(RATE, self.demand[host])
            self.post(host, shares.tick(self.now))

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(
        mode=st.sampled_from(["all", "all", "one", "twice", "lose", "last"])
    )
    def deliver(self, mode):
        if mode == "lose":
            self.pending.pop(self.rng.randrange(len(self.pending)))
            return
        size = len(self.pending) if mode == "all" else 1
        if mode == "last":
            self.pending.reverse()
        batch = self.pending[:size]
        if mode != "twice":
            del self.pending[:size]
        for source, target, data in batch:
            if (source in self.isolated) == (target in self.isolated):
                out = self.hosts[target].receive(
                    self.now, source, CODEC.decode(data)
                )
                self.post(target, out)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        self.hosts[host] = self.make(host, False)

    @stateful.rule(isolated=st.sets(st.sampled_from(HOSTS)))
    def cut_off(self, isolated):
        self.isolated = isolated

    @stateful.invariant()
    def sum_stays_below_the_limit(self):
        total = sum(s.share(self.now, RATE) for s in self.hosts.values())
        assert total <= LIMIT + 1e-6


ShareSum.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=80, stateful_step_count=50
)
TestShareSum = ShareSum.TestCase


def test_shares_move_to_the_traffic_and_back():
    world = ShareSum()
    for busy in (HOSTS[0], HOSTS[4]):
        for host in HOSTS:
            world.traffic_moves(host, 500 if host == busy else 0)
        for _ in range(200):
            world.let_time_pass(0.05)
            while world.pending:
                world.deliver("all")
            world.sum_stays_below_the_limit()
        share = world.hosts[busy].share(world.now, RATE)
        assert share >= 0.8 * 500, share


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    delays_s=st.lists(st.floats(0.0, 4.3), min_size=1, max_size=3),
    step_s=st.sampled_from([0.05, 0.21]),
)
def test_late_and_duplicate_leases_end_before_they_are_reclaimed(
    delays_s, step_s
):
    world = ShareSum()
    world.traffic_moves(HOSTS[0], 600)
    late = []
    for step in range(int(9.0 / step_s)):
        if step * step_s > 1.0:
            # The other hosts need back all that they have granted.
            world.demand.update(dict.fromkeys(HOSTS[1:], 90))
        world.let_time_pass(step_s)
        for source, target, data in world.pending:
            is_lease = isinstance(CODEC.decode(data), limits.LeaseGrant)
            for delay_s in delays_s if is_lease else [0.0]:
                late.append((world.now + delay_s, source, target, data))
        due = [item[1:] for item in late if item[0] <= world.now]
        late = [item for item in late if item[0] > world.now]
        world.pending = due
        if due:
            world.deliver("all")
        world.sum_stays_below_the_limit()
