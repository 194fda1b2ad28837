"""Tests of flows whose upstream starts again under its id."""

import pytest

from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import steering
from foxtailworks.steering.tests import steered


def test_a_restart_under_the_same_id_has_another_token():
    fleet = steered.Fleet(steered.make_instance(1, born=100))
    item = steered.make_syn()
    old = fleet.hosts[0].open(item, 0.0)
    fleet.announce(steered.make_instance(1, born=200), 1.0)
    new = fleet.hosts[0].open(steered.make_syn(2), 1.0)
    assert old.token != new.token


def assert_reset_after_exit(fleet, item, token, gone_at):
    early = fleet.hosts[0].forward(
        steered.make_packet(item, token), gone_at + 0.1
    )
    assert early == steering.Drop(steering.Reason.UPSTREAM_GONE)
    late = gone_at + steered.CONFIG.exit_grace_s
    found = fleet.hosts[0].forward(steered.make_packet(item, token), late)
    assert found == steering.Reset(steering.Reason.UPSTREAM_GONE)


@pytest.mark.parametrize(
    "changes",
    [
        {"address": ids.Address("10.0.1.7", 80)},
        {"service": ids.ServiceId("vault")},
    ],
    ids=["address", "service"],
)
def test_a_restart_elsewhere_ends_the_flows_of_the_earlier_start(changes):
    fleet = steered.Fleet(steered.make_instance(1, born=100))
    item = steered.make_syn()
    old = fleet.hosts[0].open(item, 0.0)
    fields = {"address": ids.Address("10.0.1.1", 80), **changes}
    fleet.announce(making.instance("i-1", 200, **fields), 1.0)
    assert_reset_after_exit(fleet, item, old.token, 1.0)


def test_another_id_at_its_address_ends_the_flows_of_an_upstream():
    fleet = steered.Fleet(steered.make_instance(1, born=100))
    item = steered.make_syn()
    old = fleet.hosts[0].open(item, 0.0)
    address = ids.Address("10.0.1.1", 80)
    fleet.announce(making.instance("i-2", 200, address=address), 1.0)
    assert_reset_after_exit(fleet, item, old.token, 1.0)


# A SYN placed before the first heartbeat of an upstream's next start opens
# the flow there (review/5): the host reset it at the caller's next request.
@pytest.mark.parametrize(
    "after_s", [0.1, 0.9, steered.CONFIG.exit_grace_s, 30.0]
)
def test_a_flow_opened_at_the_next_start_of_an_upstream_is_kept(after_s):
    fleet = steered.Fleet(steered.make_instance(1, born=100), hosts=2)
    item = steered.make_syn()
    old = fleet.hosts[0].open(item, 0.0)
    fleet.announce(steered.make_instance(1, born=200), 1.0)
    for host in fleet.hosts:
        found = host.forward(
            steered.make_packet(item, old.token), 1.0 + after_s
        )
        assert found.instance.key == ("i-1", 200)
        again = host.forward(steered.make_packet(item, found.token), 31.1)
        assert again == found


def test_the_latest_of_several_starts_gets_the_packets_of_earlier_ones():
    fleet = steered.Fleet(steered.make_instance(1, born=100))
    item = steered.make_syn()
    first = fleet.hosts[0].open(item, 0.0)
    fleet.announce(steered.make_instance(1, born=300), 1.0)
    fleet.announce(steered.make_instance(1, born=200), 1.1)
    found = fleet.hosts[0].forward(steered.make_packet(item, first.token), 1.2)
    assert found.instance.incarnation == 300


def test_a_flow_ends_with_the_latest_start_of_its_upstream():
    fleet = steered.Fleet(steered.make_instance(1, born=100))
    item = steered.make_syn()
    old = fleet.hosts[0].open(item, 0.0)
    fleet.announce(steered.make_instance(1, born=200), 1.0)
    gone = steered.make_instance(1, born=200, sequence=2, state=making.GONE)
    fleet.announce(gone, 5.0)
    assert_reset_after_exit(fleet, item, old.token, 5.0)


def test_a_next_start_whose_token_collides_keeps_the_token_of_the_flow(
    monkeypatch,
):
    from foxtailworks.steering import _tokens

    real = _tokens.token_of

    def same_for_two(instance, incarnation):
        if (instance, incarnation) in (("i-1", 200), ("i-2", 100)):
            return steering.Token(42)
        return real(instance, incarnation)

    monkeypatch.setattr(_tokens, "token_of", same_for_two)
    fleet = steered.Fleet(steered.make_instance(1, born=100))
    item = steered.make_syn()
    old = fleet.hosts[0].open(item, 0.0)
    fleet.announce(steered.make_instance(2, born=100), 0.5)
    fleet.announce(steered.make_instance(1, born=200), 1.0)
    found = fleet.hosts[0].forward(steered.make_packet(item, old.token), 1.1)
    assert found.instance.key == ("i-1", 200)
    assert found.token == old.token
