"""A suspicion needs two hosts, and expires unless it is renewed."""

from foxtailworks.coordinator import _suspicions
from foxtailworks import discovery
from foxtailworks import ids

KEY = (discovery.InstanceId("i-1"), ids.Incarnation(1))
ONE, TWO = ids.HostId("e1"), ids.HostId("e2")


def test_two_hosts_must_agree_on_a_suspicion():
    tracker = _suspicions.SuspicionTracker()
    tracker.update(ONE, (KEY,), 0.0)
    tracker.update(ONE, (KEY,), 0.1)
    assert tracker.suspected(0.2) == ()
    tracker.update(TWO, (KEY,), 0.2)
    assert tracker.suspected(0.3) == (KEY,)


def test_a_suspicion_that_is_not_renewed_expires():
    tracker = _suspicions.SuspicionTracker()
    tracker.update(ONE, (KEY,), 0.0)
    tracker.update(TWO, (KEY,), 0.5)
    assert tracker.suspected(_suspicions.VALID_S + 0.1) == ()
    assert tracker.suspected(2.0) == ()
    assert not tracker._valid_until
