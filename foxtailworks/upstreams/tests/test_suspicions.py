"""Suspicions of other hosts help a host with few samples of its own."""

import random

import pytest

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import upstreams

CUSTOMER = ids.CustomerId("balans")
SERVICE = ids.ServiceId("slot-desk")
OUTCOME = upstreams.Outcome
NOW = 100.0


def make_directory(name, count=2):
    directory = upstreams.Directory(
        ids.HostId(name), ids.ZoneId("zone-0"), random.Random(1), 0.0
    )
    for number in range(count):
        announcement = upstreams.Announcement(
            ids.Address("10.1.0.1", 5000 + number),
            CUSTOMER,
            SERVICE,
            ids.ZoneId("zone-0"),
            ids.Incarnation(1),
            lifetime_s=3600.0,
        )
        list(directory.announce(announcement, 0.0))
    directory.candidates(CUSTOMER, SERVICE, NOW)
    directory.pending.own_zone.take(1_000_000)
    for item in directory.all():
        directory.pending.drop(str(item.address))
    return directory


def record(directory, number, outcome, times=1, now=NOW):
    upstream_id = directory.all()[number].id
    for _ in range(times):
        directory.record_outcome(upstream_id, outcome, 5.0, now)


def send_updates(source, target, now=NOW):
    """Merge the pending updates of ``source`` in ``target``; count them."""
    items = source.pending.own_zone.take(1_000_000)
    for item in items:
        update = target.decode(item)
        list(target.merge(update, membership.GossipScope.ZONE, now))
    return len(items)


def weights(directory, now=NOW + 1):
    found = directory.candidates(CUSTOMER, SERVICE, now)
    return [item.weight for item in found]


def test_two_reporters_leave_an_unresponsive_upstream_little_weight():
    observer = make_directory("host-0")
    for name in ("host-1", "host-2"):
        other = make_directory(name)
        record(other, 0, OUTCOME.SILENT, 2)
        assert send_updates(other, observer) == 1
    assert weights(observer) == [pytest.approx(1 / 16), 1.0]


def test_own_answer_overrides_a_suspicion():
    observer, other = make_directory("host-0"), make_directory("host-1")
    record(other, 0, OUTCOME.SILENT, 2)
    send_updates(other, observer)
    record(observer, 0, OUTCOME.ANSWERED, now=NOW + 0.5)
    assert weights(observer) == [1.0, 1.0]


def test_reporter_clears_its_suspicion():
    observer, other = make_directory("host-0"), make_directory("host-1")
    record(other, 0, OUTCOME.SILENT, 2)
    send_updates(other, observer)
    record(other, 0, OUTCOME.ANSWERED, now=NOW + 1)
    assert send_updates(other, observer, NOW + 1) == 1
    assert weights(observer, NOW + 2) == [1.0, 1.0]


def test_suspicion_expires():
    observer, other = make_directory("host-0"), make_directory("host-1")
    record(other, 0, OUTCOME.SILENT, 2)
    send_updates(other, observer)
    list(observer.on_tick(NOW + 61))
    assert weights(observer, NOW + 61) == [1.0, 1.0]


def test_sheds_cause_no_suspicion():
    other = make_directory("host-1")
    record(other, 0, OUTCOME.SHED, 10)
    assert len(other.pending) == 0


def test_no_more_suspicions_are_spread_than_needed():
    observer = make_directory("host-0")
    for name in ("host-1", "host-2"):
        other = make_directory(name)
        record(other, 0, OUTCOME.SILENT, 2)
        send_updates(other, observer)
    pending = len(observer.pending)
    record(observer, 0, OUTCOME.SILENT, 4)
    assert len(observer.pending) == pending


def test_reporter_with_a_bad_link_is_ignored():
    observer = make_directory("host-0", 40)
    faulty = make_directory("host-1", 40)
    for number in range(40):
        now = NOW + number
        record(faulty, number, OUTCOME.SILENT, 2, now)
        send_updates(faulty, observer, now)
    assert weights(observer, NOW + 41) == [1.0] * 40
