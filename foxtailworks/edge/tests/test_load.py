"""When a host reports its load, and what it does without views."""

import pytest

from foxtailworks.edge import _load
from foxtailworks import ids
from foxtailworks import polling

FIRST = ids.Address("10.0.0.1", 7000)
SECOND = ids.Address("10.0.0.2", 7000)
VALID_S = 1.0


class FakeView:
    """A view that remembers when it was put."""

    listed_count = sent_away_count = 0

    def __init__(self):
        self.has_own_load = True
        self.put_at = float("-inf")
        self.loads = None

    def age_s(self, now):
        return now - self.put_at

    def is_valid(self, now):
        return self.age_s(now) < VALID_S

    def take_report(self):
        return {1: 1} if self.has_own_load else {}

    def put(self, loads, now):
        self.loads, self.put_at = loads, now


class Reporting:
    """A reporter with the views of the coordinators that run."""

    def __init__(self, is_enabled=True):
        self.view = FakeView()
        self.reporter = _load.LoadReporter(is_enabled, self.view)
        self.running = {FIRST, SECOND}
        self.followed = (FIRST, SECOND)
        self.sent = []
        self.ages = []

    def run(self, start, end):
        """Tick every 20 ms; a coordinator answers each report at once."""
        for step in range(round(start * 50), round(end * 50)):
            now = step / 50
            due = self.reporter.due(lambda: self.followed, now)
            self.ages.append(self.view.age_s(now))
            if due is None:
                continue
            self.sent.append((now, due.target, due.msg.loads))
            if due.target in self.running:
                self.answer(due.target, now)

    def answer(self, source, now, loads=b""):
        self.reporter.on_view(polling.LoadView(loads), source, now)

    def targets(self, since=0.0):
        return [target for at, target, _ in self.sent if at >= since]


@pytest.fixture(name="reporting")
def make_reporting():
    return Reporting()


def test_the_first_followed_coordinator_gets_the_reports(reporting):
    reporting.run(0.0, 2.0)
    assert set(reporting.targets()) == {FIRST}
    assert len(reporting.sent) >= 2.0 / polling.LOAD_INTERVAL_S


def test_after_the_loss_of_a_coordinator_the_next_is_used_in_time(reporting):
    """Guards against a fall back to own counts when one coordinator dies."""
    reporting.run(0.0, 1.0)
    reporting.running = {SECOND}
    reporting.ages.clear()
    reporting.run(1.0, 4.0)
    assert max(reporting.ages) < VALID_S
    assert set(reporting.targets(since=2.0)) == {SECOND}


def test_a_coordinator_that_is_not_followed_any_more_is_left(reporting):
    reporting.run(0.0, 1.0)
    reporting.followed = (SECOND,)
    reporting.run(1.0, 2.0)
    assert set(reporting.targets(since=1.3)) == {SECOND}


def test_reports_become_rare_while_no_coordinator_sends_views(reporting):
    """Guards against a flood of log lines at those of the last release."""
    reporting.running = set()
    reporting.run(0.0, 10.0)
    assert len(reporting.targets(since=2.0)) <= 8.0 / _load.RETRY_S + 1
    reporting.running = {FIRST, SECOND}
    reporting.run(10.0, 14.0)
    assert reporting.view.is_valid(14.0)


def test_a_host_without_flows_reports_that_and_then_stops(reporting):
    """Guards against counts of flows that have ended, and idle traffic."""
    reporting.run(0.0, 1.0)
    reporting.view.has_own_load = False
    reporting.run(1.0, 5.0)
    assert reporting.sent[-1][2] == b""
    assert reporting.sent[-1][0] <= 1.0 + _load.ACTIVE_S
    reporting.view.has_own_load = True
    reporting.run(5.0, 5.1)
    assert reporting.targets(since=5.0) == [FIRST]


@pytest.mark.parametrize("data", [b"\1\2\3", polling.pack_loads({5: 1}) * 2])
def test_a_malformed_view_is_counted_and_dropped(reporting, data):
    reporting.run(0.0, 0.1)
    reporting.view.loads = None
    reporting.answer(FIRST, 0.1, data)
    assert reporting.view.loads is None
    assert reporting.reporter.dropped_count == 1


def test_a_view_of_another_coordinator_is_ignored(reporting):
    """Guards against an older view, after a change of the coordinator."""
    reporting.run(0.0, 0.1)
    reporting.view.loads = None
    reporting.answer(SECOND, 0.1)
    assert reporting.view.loads is None


def test_a_lost_view_is_logged_once_and_so_is_its_return(
    reporting, monkeypatch
):
    logged = []
    for level in ("info", "warning"):
        monkeypatch.setattr(
            _load._EVENTS, level, lambda event, **_: logged.append(event)
        )
    reporting.run(0.0, 1.0)
    reporting.running = set()
    reporting.run(1.0, 5.0)
    reporting.running = {FIRST, SECOND}
    reporting.run(5.0, 9.0)
    assert logged == ["load_view_used", "own_load_used", "load_view_used"]


def test_nothing_is_reported_or_used_when_disabled():
    reporting = Reporting(is_enabled=False)
    reporting.run(0.0, 1.0)
    reporting.answer(FIRST, 1.0)
    assert reporting.sent == [] and reporting.view.loads is None
    assert reporting.reporter.gauges(1.0) == {}
