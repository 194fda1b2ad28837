"""Builds instances for tests."""

from foxtailworks import discovery
from foxtailworks import ids

READY = discovery.InstanceState.READY
DRAINING = discovery.InstanceState.DRAINING
GONE = discovery.InstanceState.GONE


def instance(name="i-1", born=100, sequence=1, **changes):
    values = {
        "service": ids.ServiceId("desk"),
        "address": ids.Address("10.0.0.9", 8080),
        "zone": ids.ZoneId("a"),
        "slots": 2,
        "state": READY,
        "cold_ms": 0,
    }
    values.update(changes)
    return discovery.Instance(
        discovery.InstanceId(name),
        ids.Incarnation(born),
        sequence,
        **values,
    )
