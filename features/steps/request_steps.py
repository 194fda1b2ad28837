"""Steps for keyed requests on several hosts in virtual time."""

import behave

from foxtailworks.bench import _request_parts
from foxtailworks.bench import _request_world
from foxtailworks import ids

SETTLE_S = 20.0


def _key(number):
    """Return the request key with a number."""
    return ids.RequestKey(bytes([number]) * 16)


def _host(number):
    """Return the id of a host."""
    return ids.HostId(f"h{number}")


@behave.given("{hosts:d} entry hosts in {zones:d} availability zones")
def given_world(context, hosts, zones):
    places = [number % zones for number in range(hosts)]
    roster = _request_parts.make_roster(1, places)
    context.world = _request_world.World(1, roster)


@behave.when(
    "key {number:d} is requested at host {one:d} and again at host {two:d}"
)
def when_requested_twice(context, number, one, two):
    context.world.send_request(_key(number), _host(one), 2.0)
    context.world.send_request(_key(number), _host(two), 2.0)
    context.world.run(SETTLE_S)


@behave.when(
    "key {number:d} is requested at every host while the first one dies"
)
def when_first_dies(context, number):
    world = context.world
    world.next_send_fault = _request_parts.SendFault.KILL_AFTER
    for host in list(world.hosts):
        world.send_request(_key(number), host, 2.0)
        world.run(0.01)
    world.run(SETTLE_S)


@behave.then("key {number:d} has run once")
def then_once(context, number):
    assert len(context.world.runs[_key(number)]) == 1


@behave.then("key {number:d} has run at most once")
def then_at_most_once(context, number):
    assert len(context.world.runs.get(_key(number), [])) <= 1
    assert context.world.violation_counts()["run_twice"] == 0


@behave.then("no caller received a false answer that it did not run")
def then_truthful(context):
    assert context.world.violation_counts()["false_not_run"] == 0
