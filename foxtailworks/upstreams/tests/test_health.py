"""Health from a host's own observations decides an upstream's work."""

import random

from foxtailworks import ids
from foxtailworks import upstreams

CUSTOMER = ids.CustomerId("balans")
SERVICE = ids.ServiceId("slot-desk")
OUTCOME = upstreams.Outcome
STATE = upstreams.HealthState


class Harness:
    """Directory with some upstreams, which are warm by default."""

    def __init__(self, count, warm=True, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.directory = upstreams.Directory(
            ids.HostId("host-0"), ids.ZoneId("zone-0"), self.rng, 0.0
        )
        self.announcements = [
            upstreams.Announcement(
                ids.Address("10.1.0.1", 5000 + number),
                CUSTOMER,
                SERVICE,
                ids.ZoneId("zone-0"),
                ids.Incarnation(1),
                lifetime_s=3600.0,
            )
            for number in range(count)
        ]
        self.ids = [item.id for item in self.announcements]
        self.announce()
        if warm:
            self.now = 100.0
            self.weights()

    def announce(self, **loads):
        for number, item in enumerate(self.announcements):
            load = loads.get(f"load_{number}")
            report = upstreams.Announcement(
                item.address,
                CUSTOMER,
                SERVICE,
                item.zone,
                item.incarnation,
                lifetime_s=3600.0,
                load=load,
            )
            list(self.directory.announce(report, self.now))

    def weights(self):
        found = self.directory.candidates(CUSTOMER, SERVICE, self.now)
        weights = {item.id: item.weight for item in found}
        return [weights.get(key, 0.0) for key in self.ids]

    def record(self, number, outcome, times=1, latency_ms=5.0):
        for _ in range(times):
            self.directory.record_outcome(
                self.ids[number], outcome, latency_ms, self.now
            )

    def state(self, number):
        return self.directory.health_of(self.ids[number])

    def pick(self):
        """Choose an upstream by weight and count the work as placed."""
        found = self.directory.candidates(CUSTOMER, SERVICE, self.now)
        if not found:
            return None
        weights = [item.weight for item in found]
        chosen = self.rng.choices(found, weights)[0].id
        self.directory.on_placed(chosen, self.now)
        return self.ids.index(chosen)


def test_cold_upstream_ramps_up():
    harness = Harness(2, warm=False)
    seen = []
    for _ in range(25):
        seen.append(harness.weights()[0])
        harness.now += 1.0
    assert seen[0] < 0.2
    assert seen == sorted(seen)
    assert seen[-1] == 1.0


def test_timeouts_cause_suspicion_and_then_a_back_off():
    harness = Harness(3)
    harness.record(0, OUTCOME.SILENT, 2)
    assert harness.state(0) is STATE.SUSPECT
    assert 0 < harness.weights()[0] < 0.3
    harness.record(0, OUTCOME.SILENT, 2)
    assert harness.state(0) is STATE.BACKED_OFF
    assert harness.weights()[0] == 0.0


def test_one_answer_clears_a_suspicion():
    harness = Harness(3)
    harness.record(0, OUTCOME.SILENT, 3)
    harness.record(0, OUTCOME.ANSWERED)
    assert harness.state(0) is STATE.HEALTHY


def test_refused_packet_backs_off_at_once():
    harness = Harness(3)
    harness.record(0, OUTCOME.UNREACHABLE)
    assert harness.state(0) is STATE.BACKED_OFF


def run_against_dead(harness, seconds, rate):
    """Place ``rate`` requests a second while upstream 0 is dead.

    Return how many of them went to it.
    """
    placed = 0
    for _ in range(int(seconds * rate)):
        harness.now += 1 / rate
        chosen = harness.pick()
        if chosen == 0:
            placed += 1
            harness.record(0, OUTCOME.SILENT, latency_ms=0.0)
        elif chosen is not None:
            harness.record(chosen, OUTCOME.ANSWERED)
    return placed


def test_dead_upstream_costs_few_probes():
    harness = Harness(4)
    assert run_against_dead(harness, 120, 200) < 40


def test_returning_upstream_gets_work_gradually():
    harness = Harness(4)
    harness.record(0, OUTCOME.UNREACHABLE)
    first, counts = None, {}
    for _ in range(30 * 500):
        harness.now += 1 / 500
        chosen = harness.pick()
        if chosen == 0:
            first = harness.now if first is None else first
            second = int(harness.now - first)
            counts[second] = counts.get(second, 0) + 1
        harness.record(chosen, OUTCOME.ANSWERED)
    assert counts[0] < 60
    # A quarter of 500 a second would be its full share.
    assert sum(counts[second] for second in range(4)) < 250
    assert counts[1] < counts[8]
    assert harness.state(0) is STATE.HEALTHY


def test_probes_wait_for_answers():
    harness = Harness(1)
    harness.record(0, OUTCOME.UNREACHABLE)
    harness.now += 1.1
    assert [harness.pick(), harness.pick(), harness.pick()] == [0, 0, None]
    harness.now += 1.5
    assert harness.pick() == 0


def test_hosts_end_their_back_offs_at_different_times():
    returns = set()
    for seed in range(20):
        harness = Harness(1, seed=seed)
        harness.record(0, OUTCOME.UNREACHABLE)
        while harness.pick() is None:
            harness.now += 0.01
        returns.add(round(harness.now, 2))
    assert len(returns) > 10


def test_timeout_of_work_sent_before_the_half_open_state_is_ignored():
    harness = Harness(2)
    harness.record(0, OUTCOME.UNREACHABLE)
    harness.now += 1.1
    harness.weights()
    assert harness.state(0) is STATE.HALF_OPEN
    harness.record(0, OUTCOME.SILENT, latency_ms=5_000.0)
    assert harness.state(0) is STATE.HALF_OPEN


def test_full_upstream_gets_less_and_recovers():
    harness = Harness(3)
    harness.record(0, OUTCOME.SHED, 3)
    harness.now += 0.3
    assert harness.weights()[0] < 0.6
    assert harness.state(0) is STATE.HEALTHY
    harness.record(0, OUTCOME.SHED, 3)
    assert harness.state(0) is STATE.BACKED_OFF
    harness.now += 0.3
    harness.weights()
    harness.record(0, OUTCOME.ANSWERED, 20)
    harness.now += 15
    harness.weights()
    harness.now += 0.3
    assert harness.weights()[0] == 1.0


def share_of_slow_upstream(harness, seconds, report):
    """Return the share of work that upstream 0 gets, ten times as slow.

    :param report: whether it reports no load and the others a high one
    """
    placed = [0, 0, 0, 0]
    for step in range(int(seconds * 50)):
        if report and step % 50 == 0:
            harness.announce(load_0=0.0, load_1=0.9, load_2=0.9, load_3=0.9)
        harness.now += 1 / 50
        chosen = harness.pick()
        placed[chosen] += 1
        slow = 50.0 if chosen == 0 else 5.0
        harness.record(chosen, OUTCOME.ANSWERED, latency_ms=slow)
    return placed[0] / sum(placed)


def test_slow_upstream_that_reports_no_load_attracts_no_work():
    without_reports = share_of_slow_upstream(Harness(4), 60, report=False)
    with_reports = share_of_slow_upstream(Harness(4), 60, report=True)
    assert with_reports < 0.12
    assert with_reports < without_reports + 0.03


def test_reported_load_counts_without_own_samples():
    harness = Harness(2)
    harness.announce(load_0=1.0)
    harness.now += 0.3
    assert harness.weights() == [0.5, 1.0]
    harness.now += 11
    assert harness.weights() == [1.0, 1.0]
