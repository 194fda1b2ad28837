"""Doubts of other hosts help a host that sees little, and mislead none."""

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
    directory.pending.inner.take(1_000_000)
    for item in directory.all():
        directory.pending.drop(str(item.address))
    return directory


def see(directory, number, outcome, times=1, now=NOW):
    upstream_id = directory.all()[number].id
    for _ in range(times):
        directory.record_outcome(upstream_id, outcome, 5.0, now)


def tell(source, target, now=NOW):
    """Pass on what ``source`` has to say."""
    items = source.pending.inner.take(1_000_000)
    for item in items:
        record = target.decode(item)
        list(target.merge(record, membership.GossipScope.ZONE, now))
    return len(items)


def weights(directory, now=NOW + 1):
    found = directory.candidates(CUSTOMER, SERVICE, now)
    return [item.weight for item in found]


def test_two_reporters_leave_a_silent_upstream_little():
    quiet = make_directory("host-0")
    for name in ("host-1", "host-2"):
        other = make_directory(name)
        see(other, 0, OUTCOME.SILENT, 2)
        assert tell(other, quiet) == 1
    assert weights(quiet) == [pytest.approx(1 / 16), 1.0]


def test_own_answer_ends_a_doubt():
    quiet, other = make_directory("host-0"), make_directory("host-1")
    see(other, 0, OUTCOME.SILENT, 2)
    tell(other, quiet)
    see(quiet, 0, OUTCOME.ANSWERED, now=NOW + 0.5)
    assert weights(quiet) == [1.0, 1.0]


def test_reporter_takes_its_doubt_back():
    quiet, other = make_directory("host-0"), make_directory("host-1")
    see(other, 0, OUTCOME.SILENT, 2)
    tell(other, quiet)
    see(other, 0, OUTCOME.ANSWERED, now=NOW + 1)
    assert tell(other, quiet, NOW + 1) == 1
    assert weights(quiet, NOW + 2) == [1.0, 1.0]


def test_doubt_ends_by_itself():
    quiet, other = make_directory("host-0"), make_directory("host-1")
    see(other, 0, OUTCOME.SILENT, 2)
    tell(other, quiet)
    list(quiet.on_tick(NOW + 61))
    assert weights(quiet, NOW + 61) == [1.0, 1.0]


def test_sheds_are_no_doubt():
    other = make_directory("host-1")
    see(other, 0, OUTCOME.SHED, 10)
    assert len(other.pending) == 0


def test_enough_doubts_are_not_multiplied():
    quiet = make_directory("host-0")
    for name in ("host-1", "host-2"):
        other = make_directory(name)
        see(other, 0, OUTCOME.SILENT, 2)
        tell(other, quiet)
    waiting = len(quiet.pending)
    see(quiet, 0, OUTCOME.SILENT, 4)
    assert len(quiet.pending) == waiting


def test_reporter_with_a_bad_link_is_ignored():
    quiet = make_directory("host-0", 40)
    faulty = make_directory("host-1", 40)
    for number in range(40):
        now = NOW + number
        see(faulty, number, OUTCOME.SILENT, 2, now)
        tell(faulty, quiet, now)
    assert weights(quiet, NOW + 41) == [1.0] * 40
