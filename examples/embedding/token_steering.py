"""Token steering: any host forwards any packet of a flow by its token.

Three hosts have the same instances; the packets of each flow arrive at all of
them, one host restarts, one instance drains.  No packet is forwarded to an
instance that does not have its flow.
"""

from collections import abc
import random

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import steering

SERVICE = ids.ServiceId("slot-desk")
SERVICE_ADDRESS = ids.Address("198.18.0.1", 443)
REGISTRY = ids.Address("10.0.0.1", 7000)
ZONE = ids.ZoneId("sof-a")
LEASE_S = 3.0
FLOWS = 300


def make_instance(
    number: int, state: discovery.InstanceState, sequence: int
) -> discovery.Instance:
    """Return the announcement of an instance."""
    return discovery.Instance(
        discovery.InstanceId(f"i-{number}"),
        ids.Incarnation(1),
        sequence,
        SERVICE,
        ids.Address(f"10.0.1.{number}", 8080),
        ZONE,
        2,
        state,
        0,
    )


def make_host(
    registry: discovery.Registry, seed: float, now: float
) -> steering.Steering:
    """Return a host that has read the registry's instances."""
    roster = discovery.Roster()
    host = steering.Steering(roster, ZONE, random.Random(seed))
    share = steering.Share(SERVICE, 1)
    kind = steering.RequestKind.NON_IDEMPOTENT
    route = steering.Route(SERVICE_ADDRESS, (share,), kind, 600, 120, 1)
    host.put_routes(steering.RouteTable(1, (route,), 15_000))
    roster.merge(REGISTRY, registry.changes(0, 0), now)
    return host


def run(seed: int) -> abc.Iterator[str]:
    """Run the scenario and yield a line for each result."""
    rng = random.Random(seed)
    registry = discovery.Registry(seed, LEASE_S)
    for number in range(1, 8):
        ready = discovery.InstanceState.READY
        registry.announce(make_instance(number, ready, 1), 0.0)
    hosts = [make_host(registry, rng.random(), 0.0) for _ in range(3)]
    flows = {}
    for number in range(FLOWS):
        key = steering.FlowKey(number.to_bytes(12, "big"))
        syn = steering.Syn(key, SERVICE_ADDRESS, 0, b"")
        flows[key] = rng.choice(hosts).open(syn, 0.0)
    draining = discovery.InstanceState.DRAINING
    registry.announce(make_instance(1, draining, 2), 0.5)
    hosts[0] = make_host(registry, rng.random(), 0.5)
    moved = 0
    for key, placed in flows.items():
        packet = steering.Packet(key, SERVICE_ADDRESS, placed.token, False)
        for host in hosts:
            found = host.forward(packet, 0.6)
            moved += found.instance.key != placed.instance.key
    assert moved == 0, "a packet was forwarded to another instance"
    used = {placed.instance.instance for placed in flows.values()}
    yield f"{FLOWS} flows on {len(used)} instances, {moved} packets moved"


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
