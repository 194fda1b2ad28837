"""Records of the directory: conflicts, rejections and expiry."""

import itertools
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import upstreams

ADDRESS = ids.Address("10.1.0.1", 5683)
CUSTOMER = ids.CustomerId("balans")
SLOTS = ids.ServiceId("slot-desk")
LETTERS = ids.ServiceId("letter-vault")
STATES = upstreams.UpstreamState
EVERYWHERE = membership.GossipScope.EVERYWHERE


def make_directory(me="host-0", **config):
    return upstreams.Directory(
        ids.HostId(me),
        ids.ZoneId("zone-0"),
        random.Random(1),
        0.0,
        upstreams.Config(**config),
    )


def make_announcement(**changes):
    values = {
        "address": ADDRESS,
        "customer": CUSTOMER,
        "service": SLOTS,
        "zone": ids.ZoneId("zone-0"),
        "incarnation": ids.Incarnation(1),
        "lifetime_s": 30.0,
    }
    return upstreams.Announcement(**(values | changes))


def make_host(name, state=membership.HostState.ALIVE, incarnation=1):
    host = membership.Host(
        ids.HostId(name),
        ids.ZoneId("zone-1"),
        ids.RegionId("region-0"),
        ids.Address("10.9.0.1", 7000),
        ids.Incarnation(incarnation),
        state,
    )
    return membership.HostChanged(host, state)


def ids_of(directory, now, service=SLOTS):
    return [item.id for item in directory.candidates(CUSTOMER, service, now)]


def tick(directory, start, stop):
    events = []
    for step in range(int(start), int(stop) + 1):
        events += directory.on_tick(float(step))
    return events


def test_reused_address_is_another_upstream():
    directory = make_directory()
    old = make_announcement()
    new = make_announcement(service=LETTERS, incarnation=2)
    list(directory.announce(old, 1.0))
    events = list(directory.announce(new, 2.0))
    assert [(event.id, event.is_open) for event in events] == [
        (old.id, False),
        (new.id, True),
    ]
    assert directory.get(old.id) is None
    assert ids_of(directory, 2.0) == []
    assert ids_of(directory, 2.0, LETTERS) == [new.id]
    (refused,) = directory.announce(old, 3.0)
    assert refused.code is errors.Code.UPSTREAM_SUPERSEDED
    assert refused.incarnation == 2


def test_two_services_under_one_incarnation_get_no_packet():
    directory = make_directory()
    list(directory.announce(make_announcement(), 1.0))
    clash = make_announcement(service=LETTERS)
    ended, refused = directory.announce(clash, 2.0)
    assert not ended.is_open
    assert refused.incarnation == 1
    assert not ids_of(directory, 2.0) + ids_of(directory, 2.0, LETTERS)


def test_services_of_one_name_are_kept_apart_by_customer():
    directory = make_directory()
    list(directory.announce(make_announcement(), 1.0))
    other = ids.CustomerId("huaylas")
    assert directory.candidates(other, SLOTS, 1.0) == ()


def test_late_ready_announcement_does_not_undo_a_drain():
    directory = make_directory()
    ready = make_announcement()
    list(directory.announce(ready, 1.0))
    list(directory.announce(make_announcement(state=STATES.DRAINING), 2.0))
    list(directory.announce(ready, 3.0))
    assert ids_of(directory, 3.0) == []
    assert directory.get(ready.id).state is STATES.DRAINING


def test_expired_upstream_returns_only_by_its_own_announcement():
    directory = make_directory()
    announcement = make_announcement()
    list(directory.announce(announcement, 0.0))
    (before,) = directory.all()
    (event,) = tick(directory, 1, 31)
    assert not event.is_open
    assert list(directory.merge(before, EVERYWHERE, 32.0)) == []
    assert directory.get(announcement.id) is None
    list(directory.announce(announcement, 33.0))
    assert ids_of(directory, 33.0) == [announcement.id]


def test_announcement_wins_over_a_concurrent_expiry():
    holder, other = make_directory("host-1"), make_directory("host-0")
    announcement = make_announcement()
    list(holder.announce(announcement, 0.0))
    list(other.merge(holder.all()[0], EVERYWHERE, 0.0))
    tick(holder, 1, 31)
    list(other.announce(announcement, 29.0))
    expired, taken_over = holder.all()[0], other.all()[0]
    assert expired.expired and expired.sequence == taken_over.sequence
    list(holder.merge(taken_over, EVERYWHERE, 32.0))
    list(other.merge(expired, EVERYWHERE, 32.0))
    assert holder.get(announcement.id) == other.get(announcement.id)
    assert other.get(announcement.id).holder == "host-0"


def test_unchanged_announcement_is_sent_to_the_holder_only():
    holder, other = make_directory("host-1"), make_directory("host-0")
    announcement = make_announcement()
    list(holder.announce(announcement, 0.0))
    (record,) = holder.all()
    list(other.on_event(make_host("host-1"), 0.0))
    list(other.merge(record, EVERYWHERE, 0.0))
    other.pending.drop(str(ADDRESS))
    (send,) = other.announce(announcement, 20.0)
    assert len(other.pending) == 0
    tick(holder, 1, 20)
    list(holder.on_message(send.to, send.msg, 20.0))
    assert tick(holder, 21, 49) == []
    assert len(tick(holder, 50, 51)) == 1


@pytest.mark.parametrize("is_partitioned", [False, True])
def test_lost_holder_is_replaced_by_the_receiver_of_an_announcement(
    is_partitioned,
):
    directory = make_directory()
    list(directory.on_event(make_host("host-1"), 0.0))
    other = make_directory("host-1")
    list(other.announce(make_announcement(), 0.0))
    list(directory.merge(other.all()[0], EVERYWHERE, 0.0))
    lost = (
        membership.ZoneChanged(ids.ZoneId("zone-1"), False)
        if is_partitioned
        else make_host("host-1", membership.HostState.DEAD)
    )
    list(directory.on_event(lost, 1.0))
    list(directory.announce(make_announcement(), 5.0))
    assert directory.all()[0].holder == "host-0"
    assert directory.all()[0].sequence == 2


def test_upstream_of_an_unreachable_zone_lapses_and_returns():
    holder, directory = make_directory("host-1"), make_directory()
    announcement = make_announcement()
    list(holder.announce(announcement, 0.0))
    list(directory.on_event(make_host("host-1"), 0.0))
    list(directory.merge(holder.all()[0], EVERYWHERE, 0.0))
    zone = ids.ZoneId("zone-1")
    list(directory.on_event(membership.ZoneChanged(zone, False), 1.0))
    (event,) = tick(directory, 1, 40)
    assert (event.takes_work, event.is_open) == (False, True)
    assert ids_of(directory, 40.0) == []
    assert directory.all() == holder.all()
    list(directory.on_event(membership.ZoneChanged(zone, True), 41.0))
    assert ids_of(directory, 41.0) == [announcement.id]


def test_upstream_of_an_unreachable_zone_is_used_once_announced():
    directory = make_directory()
    zone = ids.ZoneId("zone-1")
    near = make_announcement(address=ids.Address("10.1.0.2", 5683))
    far = make_announcement(zone=zone)
    list(directory.announce(near, 0.0))
    list(directory.announce(far, 0.0))
    list(directory.on_event(membership.ZoneChanged(zone, False), 1.0))
    assert ids_of(directory, 1.0) == [near.id]
    (before,) = (item for item in directory.all() if item.zone == zone)
    list(directory.announce(far, 2.0))
    assert set(ids_of(directory, 2.0)) == {near.id, far.id}
    (after,) = (item for item in directory.all() if item.zone == zone)
    assert after.sequence == before.sequence + 1
    list(directory.announce(far, 3.0))
    assert directory.all()[0].sequence == after.sequence


def test_upstream_does_not_stay_lapsed_for_good():
    holder, directory = make_directory("host-1"), make_directory(lapse_s=60)
    list(holder.announce(make_announcement(), 0.0))
    list(directory.on_event(make_host("host-1"), 0.0))
    list(directory.merge(holder.all()[0], EVERYWHERE, 0.0))
    zone = ids.ZoneId("zone-1")
    list(directory.on_event(membership.ZoneChanged(zone, False), 1.0))
    lapsed, expired = tick(directory, 1, 100)
    assert (lapsed.is_open, expired.is_open) == (True, False)


def test_lapsed_upstream_expires_once_its_holder_is_dead():
    holder, directory = make_directory("host-1"), make_directory()
    list(holder.announce(make_announcement(), 0.0))
    list(directory.on_event(make_host("host-1"), 0.0))
    list(directory.merge(holder.all()[0], EVERYWHERE, 0.0))
    zone = ids.ZoneId("zone-1")
    list(directory.on_event(membership.ZoneChanged(zone, False), 1.0))
    tick(directory, 1, 40)
    dead = make_host("host-1", membership.HostState.DEAD)
    list(directory.on_event(dead, 41.0))
    (expired,) = tick(directory, 41, 80)
    assert not expired.is_open


def test_frozen_holder_expires_no_upstream_for_the_time_it_was_frozen():
    directory = make_directory()
    list(directory.announce(make_announcement(), 0.0))
    tick(directory, 1, 5)
    assert list(directory.on_tick(45.0)) == []
    assert ids_of(directory, 45.0)


def test_full_table_rejects_upstreams_until_one_has_ended():
    directory = make_directory(max_upstreams=2)
    addresses = [ids.Address("10.1.0.1", port) for port in (1, 2, 3)]
    for address in addresses[:2]:
        list(directory.announce(make_announcement(address=address), 1.0))
    last = make_announcement(address=addresses[2])
    (refused,) = directory.announce(last, 2.0)
    assert refused.code is errors.Code.TABLE_FULL
    first = make_announcement(address=addresses[0])
    list(directory.deregister(first.id, 3.0))
    list(directory.announce(last, 4.0))
    assert {item.address for item in directory.all()} == set(addresses[1:])


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": 0},
        {"weight": float("nan")},
        {"weight": 0.0},
        {"lifetime_s": 1e9},
        {"service": ids.ServiceId("")},
        {"zone": ids.ZoneId("z" * 65)},
        {"incarnation": ids.Incarnation(-1)},
    ],
)
def test_announcement_out_of_bounds_gets_a_numbered_error(changes):
    with pytest.raises(errors.FoxtailError) as info:
        make_announcement(**changes)
    assert info.value.code == errors.Code.ANNOUNCEMENT_INVALID


records = st.builds(
    upstreams.Upstream,
    address=st.just(ADDRESS),
    customer=st.just(CUSTOMER),
    service=st.sampled_from([SLOTS, LETTERS]),
    zone=st.just(ids.ZoneId("zone-0")),
    incarnation=st.integers(1, 2),
    slots=st.just(1),
    weight=st.just(1.0),
    lifetime_s=st.just(30.0),
    state=st.sampled_from(STATES),
    expired=st.booleans(),
    sequence=st.integers(1, 2),
    holder=st.sampled_from(["host-0", "host-1"]),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(st.lists(records, min_size=2, max_size=3))
def test_records_stand_the_same_in_any_order(items):
    stand = set()
    for order in itertools.permutations(items):
        directory = make_directory("host-9")
        for item in order + order[:1]:
            list(directory.merge(item, EVERYWHERE, 0.0))
        (record,) = directory.all()
        stand.add(record.order())
    assert len(stand) == 1, stand
