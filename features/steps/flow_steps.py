"""Steps for flows through several entry hosts in virtual time."""

import dataclasses
import random

import behave

from foxtailworks.bench import _fleet
from foxtailworks import ids
from foxtailworks import placement

SERVICE = ids.ServiceId("balans/calls")
TICK_S = 0.1
GRACE_S = 3.0


def _upstream(number):
    """Return the view of an upstream that is ready."""
    return placement.UpstreamView(
        ids.UpstreamId(f"10.9.0.{number}:9000#1"),
        SERVICE,
        ids.ZoneId(f"zone-{number % 3}"),
    )


def _caller(number):
    """Return the address of a caller."""
    return ids.Address(f"10.1.{number >> 8}.{number & 255}", 4000)


def _run(context, seconds):
    """Advance the virtual time."""
    until = context.now + seconds
    while context.now < until:
        context.now += TICK_S
        context.fleet.tick(context.now)


def _update_one_after_another(context):
    """Update the upstreams host by host and send packets in between."""
    views = tuple(context.upstreams.values())
    for host in context.hosts:
        context.fleet.set_upstreams(host.host, views, context.now)
        _check_flows(context)
        _run(context, 0.5)
    _check_flows(context)


def _packet(context, number):
    """Send a packet through a random host; return its upstream."""
    host = context.rng.choice(context.hosts).host
    return context.fleet.packet(host, SERVICE, _caller(number), context.now)


def _check_flows(context):
    """Send a packet of each flow and record the flows that moved."""
    for number, assigned in context.flows.items():
        found = _packet(context, number)
        if found is not None and found != assigned:
            context.moved.add(number)


@behave.given("{hosts:d} entry hosts and {upstreams:d} upstreams")
def given_fleet(context, hosts, upstreams):
    context.rng = random.Random(7)
    context.now = 0.0
    context.fleet = _fleet.Fleet(random.Random(8))
    context.hosts = tuple(
        placement.HostView(ids.HostId(f"entry-{n}"), ids.ZoneId(f"zone-{n}"))
        for n in range(hosts)
    )
    views = [_upstream(number) for number in range(1, upstreams + 1)]
    context.upstreams = {view.upstream: view for view in views}
    for host in context.hosts:
        context.fleet.add_host(host, 0.0)
    for host in context.hosts:
        context.fleet.set_hosts(host.host, context.hosts, 0.0)
        context.fleet.set_upstreams(host.host, tuple(views), 0.0)
    _run(context, 20.0)


@behave.given("{count:d} open flows")
def given_flows(context, count):
    context.flows = {n: _packet(context, n) for n in range(count)}
    context.moved = set()


@behave.when("an upstream drains and the hosts are updated one after another")
def when_drains(context):
    context.draining = next(iter(context.upstreams))
    view = context.upstreams[context.draining]
    context.upstreams[context.draining] = dataclasses.replace(
        view, weight=0.0, accepts_new=False
    )
    _update_one_after_another(context)


@behave.when(
    "an upstream is added and the hosts are updated one after another"
)
def when_added(context):
    view = _upstream(len(context.upstreams) + 1)
    context.upstreams[view.upstream] = view
    _update_one_after_another(context)


@behave.then("no flow has moved")
def then_none_moved(context):
    assert None not in context.flows.values()
    assert not context.moved, context.moved


@behave.then("no new flow goes to the draining upstream")
def then_no_new(context):
    _run(context, GRACE_S)
    chosen = {_packet(context, 10_000 + number) for number in range(200)}
    assert chosen and context.draining not in chosen
