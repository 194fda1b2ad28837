"""Heartbeats whose service isn't in use affect no other instance."""

import pytest

from foxtailworks import discovery
from foxtailworks.discovery import _admission
from foxtailworks.discovery.tests import making
from foxtailworks import ids

LEASE_S = 3.0
DESK = making.instance().service
OTHER = ids.ServiceId("in-no-document")


class Fixture:
    """A registry and the services in use."""

    def __init__(self):
        self.services = {DESK}
        self.registry = discovery.Registry(
            1, LEASE_S, self.services.__contains__
        )

    def states(self):
        return {
            item.instance.key: item.instance.state
            for item in self.registry.listed()
            if item.is_live
        }

    def relay(self, instance, now):
        heartbeat = discovery.RelayedHeartbeat(instance, 0)
        self.registry.merge((heartbeat,), now)


@pytest.fixture(name="made")
def fixture_made():
    return Fixture()


def foreign(name="i-2", born=200, **changes):
    return making.instance(name, born, 9, service=OTHER, **changes)


@pytest.mark.parametrize(
    "other",
    [foreign(), foreign("i-1"), foreign("i-1", 100)],
    ids=["address", "id", "id and incarnation"],
)
@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("is_first", [False, True])
def test_a_heartbeat_for_an_unused_service_ends_no_instance(
    made, other, is_relayed, is_first
):
    # Guards against the end of a live instance by another writer's heartbeat
    # with its address, its id or its whole identity.
    send = made.relay if is_relayed else made.registry.announce
    if is_first:
        send(other, 0.0)
    made.registry.announce(making.instance(sequence=1), 1.0)
    send(other, 1.1)
    made.registry.announce(making.instance(sequence=2), 2.0)
    made.registry.on_tick(1.0 + LEASE_S + 0.5)
    assert made.states() == {("i-1", 100): making.READY}
    (row,) = made.registry.listed()
    assert row.instance.service == DESK


def test_an_instance_counts_once_its_service_is_in_use(made):
    # Guards against upstreams that start before the document that names their
    # service, and then get no flows until their next heartbeat.
    made.services.clear()
    made.registry.announce(making.instance(), 0.0)
    made.registry.on_tick(0.5)
    assert not made.states()
    made.services.add(DESK)
    made.registry.on_tick(0.6)
    assert made.states() == {("i-1", 100): making.READY}
    unshared = made.registry.take_unshared(0.6).changes
    assert [item.age_ms for item in unshared] == [600]


def test_an_instance_ends_its_predecessor_once_its_service_is_in_use(made):
    # Guards against two owners of an address that was used again.
    made.registry.announce(making.instance(), 0.0)
    made.registry.announce(foreign(), 0.1)
    made.services.add(OTHER)
    made.registry.on_tick(0.2)
    assert made.states() == {
        ("i-1", 100): making.GONE,
        ("i-2", 200): making.READY,
    }


def test_an_instance_keeps_its_service_when_another_comes_into_use(made):
    # Guards against another writer's heartbeat that is set aside.
    made.registry.announce(foreign("i-1", 100), 0.0)
    made.registry.announce(making.instance(), 0.1)
    made.services.add(OTHER)
    made.registry.on_tick(0.2)
    (row,) = made.registry.listed()
    assert row.instance.service == DESK


def test_an_instance_that_was_withdrawn_does_not_count_later(made):
    # Guards against flows to an upstream that has left.
    made.registry.announce(foreign(), 0.0)
    assert made.registry.withdraw(foreign().instance, 0.1)
    made.services.add(OTHER)
    made.registry.on_tick(0.2)
    assert not made.states()


def test_an_expired_heartbeat_does_not_count_any_more(made):
    made.registry.announce(foreign(), 0.0)
    made.registry.on_tick(LEASE_S + 0.1)
    made.services.add(OTHER)
    made.registry.on_tick(LEASE_S + 0.2)
    assert not made.states()


def test_an_instance_stays_when_its_service_is_not_in_use_any_more(made):
    # Guards against the loss of flows that a new document leaves open.
    made.registry.announce(making.instance(sequence=1), 0.0)
    made.services.clear()
    made.registry.announce(making.instance(sequence=2), 2.0)
    made.registry.on_tick(LEASE_S + 1.0)
    assert made.states() == {("i-1", 100): making.READY}


def test_the_number_of_heartbeats_set_aside_is_limited(made):
    count = _admission.MAX_SET_ASIDE + 1
    for number in range(count):
        made.registry.announce(foreign(f"i-{number}"), 0.0)
    made.services.add(OTHER)
    admitted = made.registry.admission.take_admitted(0.0)
    names = {instance.instance for instance, _ in admitted}
    assert names == {f"i-{number}" for number in range(1, count)}
