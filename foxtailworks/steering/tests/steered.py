"""A registry, and hosts that steer by it, for tests."""

import random

from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import steering

DESTINATION = ids.Address("198.18.0.1", 443)
PEER = ids.Address("10.0.0.1", 1)
SERVICE = ids.ServiceId("desk")
CONFIG = steering.Config()


def make_route(destination=DESTINATION, service=SERVICE):
    return steering.Route(
        destination,
        (steering.Share(service, 1),),
        steering.RequestKind.IDEMPOTENT,
        500,
        100,
        1,
    )


def make_table(revision=1, routes=None):
    return steering.RouteTable(revision, routes or (make_route(),), 15_000)


class Fleet:
    """A registry, and hosts whose rosters follow it."""

    def __init__(self, *instances, hosts=1, seed=1):
        self.registry = discovery.Registry(1, 3.0)
        self.rosters = [discovery.Roster() for _ in range(hosts)]
        self.hosts = [
            steering.Steering(roster, ids.ZoneId("a"), random.Random(seed))
            for roster in self.rosters
        ]
        for host in self.hosts:
            host.put_routes(make_table())
        for item in instances:
            self.announce(item)

    def announce(self, item, now=0.0):
        self.registry.announce(item, now)
        self.sync(now)

    def sync(self, now):
        for roster in self.rosters:
            changes = self.registry.changes(*roster.position(PEER))
            roster.merge(PEER, changes, now)


def make_instance(number, **changes):
    return making.instance(
        f"i-{number}", address=ids.Address(f"10.0.1.{number}", 80), **changes
    )


def make_syn(number=1, retransmission=0, destination=DESTINATION):
    flow = steering.FlowKey(number.to_bytes(12, "big"))
    return steering.Syn(flow, destination, retransmission, b"syn%d" % number)


def make_packet(item, token, has_ended=False):
    return steering.Packet(item.flow, item.destination, token, has_ended)
