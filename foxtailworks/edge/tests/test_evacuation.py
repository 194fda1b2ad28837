"""An edge host applies the highest evacuation that any message carries."""

import pytest

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks.edge.tests import test_host
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import steering

ZONE = ids.ZoneId("a")
EVACUATED = polling.Evacuation(4, (ZONE,))
CHANGES = discovery.Registry(1, 3.0).changes(0, 0)
MESSAGES = (
    polling.PollAnswer(CHANGES, 1, b"", (), evacuation=EVACUATED),
    polling.Summary(1, 0, 1, (), (), True, EVACUATED),
    polling.Notice(1, 0, 1, EVACUATED),
)


def zones(driven):
    return driven.host.steering.eligibility.zones


@pytest.mark.parametrize("msg", MESSAGES, ids=lambda m: type(m).__name__)
def test_each_message_of_a_coordinator_puts_an_evacuation_in_force(msg):
    driven = test_host.DrivenHost()
    driven.host.receive(msg, test_host.OTHER)
    assert zones(driven) == frozenset(), "the sender is no coordinator"
    driven.host.receive(msg, test_host.SEED)
    assert zones(driven) == {ZONE}


def test_a_coordinator_that_lags_does_not_undo_an_order():
    driven = test_host.DrivenHost()
    driven.host.receive(MESSAGES[2], test_host.SEED)
    for evacuation in (
        polling.Evacuation(),
        polling.Evacuation(3, ()),
        polling.Evacuation(4, ()),
    ):
        notice = polling.Notice(1, 0, 1, evacuation)
        driven.host.receive(notice, test_host.SEED)
        assert zones(driven) == {ZONE}


def test_a_notice_closes_the_zone_to_the_next_syn():
    driven = test_host.DrivenHost()
    registry = discovery.Registry(1, 3.0)
    registry.announce(making.instance(zone=ZONE), 0.0)
    driven.host.receive(test_host.make_answer(registry), test_host.SEED)
    driven.host.receive(MESSAGES[2], test_host.SEED)
    flow = steering.FlowKey(bytes(12))
    found = driven.host.steering.open(
        steering.Syn(flow, test_host.DESTINATION, 0, b"syn"), 0.0
    )
    assert found == steering.Reset(steering.Reason.NO_UPSTREAM)


def test_the_metrics_show_number_and_zones():
    driven = test_host.DrivenHost()
    driven.host.receive(MESSAGES[2], test_host.SEED)
    lines = driven.host.metrics().decode().splitlines()
    assert "foxtail_evacuated_zones 1.0" in lines
    assert "foxtail_evacuation_number 4.0" in lines
