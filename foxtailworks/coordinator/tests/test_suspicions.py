"""One host's word is not enough, and no word lasts."""

from foxtailworks.coordinator import _suspicions
from foxtailworks import discovery
from foxtailworks import ids

KEY = (discovery.InstanceId("i-1"), ids.Incarnation(1))
ONE, TWO = ids.HostId("e1"), ids.HostId("e2")


def test_two_hosts_must_agree():
    made = _suspicions.Doubts()
    made.take(ONE, (KEY,), 0.0)
    made.take(ONE, (KEY,), 0.1)
    assert made.doubted(0.2) == ()
    made.take(TWO, (KEY,), 0.2)
    assert made.doubted(0.3) == (KEY,)


def test_a_doubt_that_is_not_repeated_ends():
    made = _suspicions.Doubts()
    made.take(ONE, (KEY,), 0.0)
    made.take(TWO, (KEY,), 0.5)
    assert made.doubted(_suspicions.HOLD_S + 0.1) == ()
    assert made.doubted(2.0) == ()
    assert not made._until
