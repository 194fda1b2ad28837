"""What a host sees itself decides how much work an upstream gets."""

import random

from foxtailworks import ids
from foxtailworks import upstreams

CUSTOMER = ids.CustomerId("balans")
SERVICE = ids.ServiceId("slot-desk")
OUTCOME = upstreams.Outcome
STATE = upstreams.HealthState


class Desk:
    """A directory with some upstreams, warm unless told otherwise."""

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

    def see(self, number, outcome, times=1, latency_ms=5.0):
        for _ in range(times):
            self.directory.record_outcome(
                self.ids[number], outcome, latency_ms, self.now
            )

    def state(self, number):
        return self.directory.health_of(self.ids[number])

    def pick(self):
        """Power of two choices by weight, as a placer would."""
        found = self.directory.candidates(CUSTOMER, SERVICE, self.now)
        if not found:
            return None
        weights = [item.weight for item in found]
        chosen = self.rng.choices(found, weights)[0].id
        self.directory.on_placed(chosen, self.now)
        return self.ids.index(chosen)


def test_cold_upstream_ramps_up():
    desk = Desk(2, warm=False)
    seen = []
    for _ in range(25):
        seen.append(desk.weights()[0])
        desk.now += 1.0
    assert seen[0] < 0.2
    assert seen == sorted(seen)
    assert seen[-1] == 1.0


def test_silence_makes_suspect_then_backs_off():
    desk = Desk(3)
    desk.see(0, OUTCOME.SILENT, 2)
    assert desk.state(0) is STATE.SUSPECT
    assert 0 < desk.weights()[0] < 0.3
    desk.see(0, OUTCOME.SILENT, 2)
    assert desk.state(0) is STATE.BACKED_OFF
    assert desk.weights()[0] == 0.0


def test_one_answer_clears_a_suspicion():
    desk = Desk(3)
    desk.see(0, OUTCOME.SILENT, 3)
    desk.see(0, OUTCOME.ANSWERED)
    assert desk.state(0) is STATE.HEALTHY


def test_refused_packet_backs_off_at_once():
    desk = Desk(3)
    desk.see(0, OUTCOME.UNREACHABLE)
    assert desk.state(0) is STATE.BACKED_OFF


def run_against_dead(desk, seconds, rate):
    """Place ``rate`` requests a second; upstream 0 answers nothing."""
    placed = 0
    for _ in range(int(seconds * rate)):
        desk.now += 1 / rate
        chosen = desk.pick()
        if chosen == 0:
            placed += 1
            desk.see(0, OUTCOME.SILENT, latency_ms=0.0)
        elif chosen is not None:
            desk.see(chosen, OUTCOME.ANSWERED)
    return placed


def test_dead_upstream_costs_few_probes():
    desk = Desk(4)
    assert run_against_dead(desk, 120, 200) < 40


def test_return_is_no_stampede():
    desk = Desk(4)
    desk.see(0, OUTCOME.UNREACHABLE)
    first, counts = None, {}
    for _ in range(30 * 500):
        desk.now += 1 / 500
        chosen = desk.pick()
        if chosen == 0:
            first = desk.now if first is None else first
            second = int(desk.now - first)
            counts[second] = counts.get(second, 0) + 1
        desk.see(chosen, OUTCOME.ANSWERED)
    assert counts[0] < 60
    # A quarter of 500 a second would be its full share.
    assert sum(counts[second] for second in range(4)) < 250
    assert counts[1] < counts[8]
    assert desk.state(0) is STATE.HEALTHY


def test_probes_wait_for_answers():
    desk = Desk(1)
    desk.see(0, OUTCOME.UNREACHABLE)
    desk.now += 1.1
    assert [desk.pick(), desk.pick(), desk.pick()] == [0, 0, None]
    desk.now += 1.5
    assert desk.pick() == 0


def test_hosts_do_not_return_together():
    returns = set()
    for seed in range(20):
        desk = Desk(1, seed=seed)
        desk.see(0, OUTCOME.UNREACHABLE)
        while desk.pick() is None:
            desk.now += 0.01
        returns.add(round(desk.now, 2))
    assert len(returns) > 10


def test_silence_from_before_the_return_does_not_count():
    desk = Desk(2)
    desk.see(0, OUTCOME.UNREACHABLE)
    desk.now += 1.1
    desk.weights()
    assert desk.state(0) is STATE.HALF_OPEN
    desk.see(0, OUTCOME.SILENT, latency_ms=5_000.0)
    assert desk.state(0) is STATE.HALF_OPEN


def test_full_upstream_gets_less_and_recovers():
    desk = Desk(3)
    desk.see(0, OUTCOME.SHED, 3)
    desk.now += 0.3
    assert desk.weights()[0] < 0.6
    assert desk.state(0) is STATE.HEALTHY
    desk.see(0, OUTCOME.SHED, 3)
    assert desk.state(0) is STATE.BACKED_OFF
    desk.now += 0.3
    desk.weights()
    desk.see(0, OUTCOME.ANSWERED, 20)
    desk.now += 15
    desk.weights()
    desk.now += 0.3
    assert desk.weights()[0] == 1.0


def work_of_liar(desk, seconds, report):
    """Return the share of work of upstream 0, ten times as slow."""
    placed = [0, 0, 0, 0]
    for step in range(int(seconds * 50)):
        if report and step % 50 == 0:
            desk.announce(load_0=0.0, load_1=0.9, load_2=0.9, load_3=0.9)
        desk.now += 1 / 50
        chosen = desk.pick()
        placed[chosen] += 1
        slow = 50.0 if chosen == 0 else 5.0
        desk.see(chosen, OUTCOME.ANSWERED, latency_ms=slow)
    return placed[0] / sum(placed)


def test_slow_upstream_that_reports_no_load_attracts_no_work():
    honest = work_of_liar(Desk(4), 60, report=False)
    lying = work_of_liar(Desk(4), 60, report=True)
    assert lying < 0.12
    assert lying < honest + 0.03


def test_report_counts_while_nothing_was_seen():
    desk = Desk(2)
    desk.announce(load_0=1.0)
    desk.now += 0.3
    assert desk.weights() == [0.5, 1.0]
    desk.now += 11
    assert desk.weights() == [1.0, 1.0]
