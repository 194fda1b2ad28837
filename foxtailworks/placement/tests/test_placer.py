"""Flows keep their upstream while hosts' views change and differ."""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from foxtailworks.bench import _fleet
from foxtailworks import ids
from foxtailworks import placement

SERVICES = (ids.ServiceId("check-in"), ids.ServiceId("photo"))
MAX_HOSTS = 5
CALLERS = 60
STEP_S = 0.1
SETTLE_S = 12.0
CFG = placement.PlacementConfig(
    flow_idle_s=1000.0, max_flows=400, max_received_flows=400
)


def host_view(i):
    return placement.HostView(
        ids.HostId(f"entry-{i}"), ids.ZoneId(f"zone-{i % 2}")
    )


def upstream_view(i, incarnation):
    # An address alternates between two services from one incarnation to
    # the next.
    return placement.UpstreamView(
        ids.UpstreamId(f"10.9.0.{i}:9000#{incarnation}"),
        SERVICES[(i + incarnation) % 2],
        ids.ZoneId(f"zone-{i % 2}"),
    )


class Flows(stateful.RuleBasedStateMachine):
    """Packets to random hosts while hosts and upstreams change.

    Planned changes never move a flow.  Of the unplanned changes, the death
    of its upstream may, and the death of a host if the flow has had no
    packet since the death before.
    """

    def __init__(self):
        super().__init__()
        self.rng = random.Random(7)
        self.fleet = _fleet.Fleet(self.rng, CFG)
        self.now = 0.0
        self.incarnation = 1
        self.hosts = {}
        self.upstreams = {}
        self.assignments = {}
        self.recently_active = set()
        for i in range(4):
            view = upstream_view(i, 1)
            self.upstreams[view.upstream] = view
        for i in range(3):
            self.hosts[host_view(i).host] = host_view(i)
            self.fleet.add_host(host_view(i), 0.0)
        self.update_views(0.0)
        self.settle()

    # Time and views.

    def wait(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.fleet.tick(self.now)

    def settle(self):
        self.wait(SETTLE_S + CFG.handover_s)

    def update_views(self, spread_s=1.0):
        """Update the views of the hosts one after the other."""
        names = list(self.hosts)
        self.rng.shuffle(names)
        for host in names:
            views = tuple(self.hosts.values())
            upstreams = tuple(self.upstreams.values())
            self.fleet.set_hosts(host, views, self.now)
            self.fleet.set_upstreams(host, upstreams, self.now)
            self.packets(4)
            self.wait(spread_s / len(names))

    # Packets.

    def packets(self, count):
        for _ in range(count):
            self.packet(self.rng.randrange(CALLERS))

    def packet(self, i):
        service = SERVICES[i % 2]
        caller = ids.Address(f"10.1.0.{i}", 4000)
        host = self.rng.choice(list(self.hosts))
        found = self.fleet.packet(host, service, caller, self.now)
        if found is None:
            return
        before = self.assignments.get(i)
        if found in self.upstreams:
            assert self.upstreams[found].service == service
        if before in self.upstreams:
            assert found == before, f"flow {i} moved"
        self.assignments[i] = found
        self.recently_active.add(i)

    @stateful.rule(count=st.integers(1, 30))
    def spray(self, count):
        self.packets(count)

    @stateful.rule(seconds=st.sampled_from((0.2, 2.0, 40.0)))
    def idle(self, seconds):
        self.wait(seconds)

    # Planned changes, which follow each other without a pause.

    @stateful.rule()
    def join(self):
        unused = [
            host_view(i)
            for i in range(MAX_HOSTS)
            if host_view(i).host not in self.hosts
        ]
        if unused:
            self.hosts[unused[0].host] = unused[0]
            self.fleet.add_host(unused[0], self.now)
            self.fleet.set_upstreams(
                unused[0].host, tuple(self.upstreams.values()), self.now
            )
            self.update_views()
            self.wait(6.0)

    @stateful.rule(pick=st.integers(0, MAX_HOSTS))
    def leave(self, pick):
        if len(self.hosts) < 3:
            return
        host = list(self.hosts)[pick % len(self.hosts)]
        self.fleet.leave(host, self.now)
        self.hosts[host] = dataclasses.replace(
            self.hosts[host], state=placement.HostState.LEAVING
        )
        self.update_views()
        for _ in range(300):
            if self.fleet.placers[host].has_handed_over:
                break
            self.wait(STEP_S)
            self.packets(1)
        assert self.fleet.placers[host].has_handed_over
        del self.hosts[host]
        self.fleet.kill(host)
        self.update_views()

    @stateful.rule(pick=st.integers(0, 9))
    def drain(self, pick):
        views = list(self.upstreams.values())
        view = views[pick % len(views)]
        same = [v for v in views if v.service == view.service and v.weight > 0]
        if len(same) > 1:
            self.upstreams[view.upstream] = dataclasses.replace(
                view, weight=0.0, accepts_new=False
            )
            self.update_views()

    @stateful.rule(i=st.integers(0, 7))
    def add(self, i):
        if any(f"0.{i}:" in name for name in self.upstreams):
            return
        self.incarnation += 1
        view = upstream_view(i, self.incarnation)
        self.upstreams[view.upstream] = view
        self.update_views()

    @stateful.rule(pick=st.integers(0, 9), weight=st.sampled_from((0.5, 3)))
    def weigh(self, pick, weight):
        views = [v for v in self.upstreams.values() if v.weight > 0]
        view = views[pick % len(views)]
        self.upstreams[view.upstream] = dataclasses.replace(
            view, weight=weight
        )
        self.update_views()

    # Unplanned changes, one at a time.

    @stateful.rule(pick=st.integers(0, 9))
    def crash_upstream(self, pick):
        view = list(self.upstreams.values())[pick % len(self.upstreams)]
        same = [
            v
            for v in self.upstreams.values()
            if v.service == view.service and v.weight > 0
        ]
        if len(same) > 1:
            del self.upstreams[view.upstream]
            self.update_views()

    @stateful.rule(pick=st.integers(0, MAX_HOSTS), back=st.booleans())
    def crash_host(self, pick, back):
        if len(self.hosts) < 3:
            return
        self.settle()
        self.assignments = {
            i: self.assignments[i] for i in self.recently_active
        }
        self.recently_active.clear()
        host = list(self.hosts)[pick % len(self.hosts)]
        view = self.hosts.pop(host)
        self.fleet.kill(host)
        self.wait(1.0)
        self.update_views()
        if back:
            self.hosts[host] = view
            self.fleet.add_host(view, self.now)
            self.fleet.set_upstreams(
                host, tuple(self.upstreams.values()), self.now
            )
            self.update_views()
        self.settle()

    @stateful.invariant()
    def is_bounded(self):
        for placer in self.fleet.placers.values():
            assert placer.flow_count <= CFG.max_flows
            assert placer.received_flows <= CFG.max_received_flows
        budget = CFG.control_bytes_per_s * self.now
        for placer in self.fleet.placers.values():
            slack = 2 * CFG.control_burst_bytes
            assert placer.control_bytes <= budget + slack

    @stateful.invariant()
    def hops_are_few(self):
        assert max(self.fleet.hops, default=0) <= placement.MAX_HOPS


def test_two_joins_at_once():
    """A host starts beside another that is still synchronizing."""
    flows = Flows()
    flows.add(i=7)
    for i in (3, 4):
        view = host_view(i)
        flows.hosts[view.host] = view
        flows.fleet.add_host(view, flows.now)
        upstreams = tuple(flows.upstreams.values())
        flows.fleet.set_upstreams(view.host, upstreams, flows.now)
        flows.update_views()
    flows.packets(200)


TestFlows = Flows.TestCase
TestFlows.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=14,
    suppress_health_check=list(hypothesis.HealthCheck),
)
