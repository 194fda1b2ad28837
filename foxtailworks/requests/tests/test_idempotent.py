"""Idempotent requests: tokens, bounded retries and block routing."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from foxtailworks import ids
from foxtailworks import requests

SERVICE = ids.ServiceId("slot-desk")
UPSTREAMS = [ids.UpstreamId(f"u{i}") for i in range(4)]


def choose(service, excluded):
    return next((item for item in UPSTREAMS if item not in excluded), None)


class Idempotent(stateful.RuleBasedStateMachine):
    """Upstreams answer late, twice, out of order or never."""

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.core = requests.IdempotentRequests(
            ids.HostId("h0"),
            ids.Incarnation(1),
            choose,
            random.Random(1),
            max_requests=8,
        )
        self.placements = {}
        self.cancelled = set()
        self.reports = {}
        self.deadlines = {}

    def perform(self, actions):
        for action in actions:
            if isinstance(action, requests.PlaceIdempotent):
                assert action.remaining_ms > 0
                assert action.token not in self.placements
                self.placements[action.token] = (
                    action.handle,
                    action.upstream,
                )
            elif isinstance(action, requests.CancelIdempotent):
                self.cancelled.add(action.token)
            else:
                assert action.attempt not in self.reports, "reported twice"
                self.reports[action.attempt] = action
                if isinstance(action, requests.Answer):
                    assert action.answer == b"%d" % action.handle

    @stateful.rule(remaining_ms=st.sampled_from([10, 300, 2000]))
    def request(self, remaining_ms):
        number = requests.AttemptId(len(self.deadlines))
        self.deadlines[number] = self.now + remaining_ms / 1000
        arrival = requests.IdempotentRequest(
            number, SERVICE, remaining_ms, number
        )
        self.perform(self.core.request(self.now, arrival))
        if number not in self.reports:
            assert self.core.request(self.now, arrival) == ()

    @stateful.precondition(lambda self: self.placements)
    @stateful.rule(data=st.data(), shed=st.booleans())
    def upstream_replies(self, data, shed):
        token = data.draw(st.sampled_from(sorted(self.placements)))
        handle, _ = self.placements[token]
        if shed:
            self.perform(self.core.on_shed(self.now, token))
        else:
            self.perform(self.core.on_answer(token, b"%d" % handle))

    @stateful.rule(upstream=st.sampled_from(UPSTREAMS))
    def upstream_goes(self, upstream):
        self.perform(self.core.on_upstream_lost(self.now, upstream))

    @stateful.rule(seconds=st.sampled_from([0.02, 0.1, 0.6]))
    def let_time_pass(self, seconds):
        self.now += seconds
        self.perform(self.core.tick(self.now))

    @stateful.invariant()
    def all_are_told_in_time(self):
        late = [a for a, at in self.deadlines.items() if at <= self.now]
        self.perform(self.core.tick(self.now))
        assert all(attempt in self.reports for attempt in late)

    @stateful.invariant()
    def retries_keep_to_their_budget(self):
        fresh = len(self.deadlines)
        assert len(self.placements) <= fresh + 3 + fresh * 0.1


Idempotent.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestIdempotent = Idempotent.TestCase


def test_an_outage_causes_no_retry_storm():
    core = requests.IdempotentRequests(
        ids.HostId("h0"), ids.Incarnation(1), choose, random.Random(1)
    )
    now, placements, refused = 0.0, 0, 0
    todo = []
    for number in range(300):
        now += 0.05
        arrival = requests.IdempotentRequest(
            requests.AttemptId(number), SERVICE, 2000, number
        )
        todo += core.request(now, arrival)
        todo += core.tick(now)
        while todo:
            action = todo.pop()
            if isinstance(action, requests.PlaceIdempotent):
                placements += 1
                todo += core.on_shed(now, action.token)
            else:
                refused += isinstance(action, requests.Refuse)
    assert 300 < placements <= 300 * 1.1 + 3
    assert refused >= 290


def test_blocks_that_enter_anywhere_reach_one_upstream():
    hosts = [ids.HostId(f"h{i}") for i in range(6)]
    cores = {host: requests.BodyRouter(host) for host in hosts}
    bound = []
    dead = set()

    def perform(host, actions):
        for action in actions:
            if isinstance(action, requests.BlockRoute):
                bound.append(action.upstream)
            elif action.host not in dead:
                core = cores[action.host]
                message = action.message
                if isinstance(message, requests.BodyBindRequest):
                    perform(
                        action.host, core.on_bind_request(0.0, host, message)
                    )
                else:
                    perform(action.host, core.on_binding(0.0, message))

    for core in cores.values():
        core.set_live_hosts(hosts)
    body = requests.body_id(SERVICE, "127.0.0.1:9", "/photos/7")
    perform(hosts[0], cores[hosts[0]].route_block(0.0, body, 0, UPSTREAMS[1]))
    perform(hosts[1], cores[hosts[1]].route_block(0.0, body, 1, UPSTREAMS[2]))
    first = cores[hosts[5]]._owners(body)[0]
    dead.add(first)
    for host in hosts:
        if host != first:
            perform(host, cores[host].route_block(0.0, body, 2, None))
            perform(host, cores[host].tick(0.1))
    assert bound == [UPSTREAMS[1]] * (2 + len(hosts) - 1)
    other = requests.body_id(SERVICE, "127.0.0.1:9", "/photos/8")
    perform(hosts[2], cores[hosts[2]].route_block(0.0, other, 3, None))
    perform(hosts[2], cores[hosts[2]].tick(0.1))
    assert bound[-1] is None
