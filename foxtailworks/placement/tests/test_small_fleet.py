"""Three hosts and four upstreams with full tables or odd messages."""

import dataclasses
import itertools
import random

from foxtailworks.bench import _fleet
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import placement
from foxtailworks.placement import _assignment
from foxtailworks.placement import _digest
from foxtailworks.placement import _incoming
from foxtailworks.placement import _outgoing
from foxtailworks.placement.tests import test_placer


def small_fleet(cfg=test_placer.CFG, hosts=3):
    fleet = _fleet.Fleet(random.Random(3), cfg)
    views = tuple(test_placer.host_view(i) for i in range(hosts))
    upstreams = tuple(test_placer.upstream_view(i, 1) for i in range(4))
    for view in views:
        fleet.add_host(view, 0.0)
        fleet.set_hosts(view.host, views, 0.0)
        fleet.set_upstreams(view.host, upstreams, 0.0)
    for step in range(200):
        fleet.tick(step * test_placer.STEP_S)
    return fleet, views, upstreams


def test_a_full_table_still_places_each_flow_the_same():
    cfg = dataclasses.replace(test_placer.CFG, max_flows=5)
    fleet, views, _ = small_fleet(cfg)
    assigned = {}
    for _ in range(3):
        for i in range(100):
            caller = ids.Address(f"10.1.0.{i}", 4000)
            host = views[i % 3].host
            found = fleet.packet(host, test_placer.SERVICES[0], caller, 20.0)
            assert assigned.setdefault(i, found) == found
    assert all(p.flow_count <= 5 for p in fleet.placers.values())
    assert any(p.counts.untracked for p in fleet.placers.values())


def test_ended_flows_leave_the_table():
    fleet, views, _ = small_fleet(
        dataclasses.replace(test_placer.CFG, flow_idle_s=30.0)
    )
    for i in range(50):
        caller = ids.Address(f"10.1.0.{i}", 4000)
        fleet.packet(views[0].host, test_placer.SERVICES[0], caller, 20.0)
    assert sum(p.flow_count for p in fleet.placers.values()) == 50
    for step in range(1100):
        fleet.tick(20.0 + step * test_placer.STEP_S)
    assert sum(p.flow_count for p in fleet.placers.values()) == 0


def test_no_upstream_is_a_numbered_refusal():
    fleet, views, upstreams = small_fleet()
    # The other service still accepts flows, which must not go there.
    shut = tuple(
        dataclasses.replace(
            view, accepts_new=view.service != test_placer.SERVICES[0]
        )
        for view in upstreams
    )
    for view in views:
        fleet.set_upstreams(view.host, shut, 20.0)
    caller = ids.Address("10.1.0.1", 4000)
    codes = set()
    for placer in fleet.placers.values():
        found = placer.on_packet(test_placer.SERVICES[0], caller, 20.0)
        if isinstance(found, placement.Refuse):
            codes.add(found.code)
    assert codes == {errors.Code.NO_UPSTREAM}


def test_a_draining_upstream_gets_no_new_flow():
    fleet, views, upstreams = small_fleet()
    drained = dataclasses.replace(upstreams[0], weight=0.0, accepts_new=False)
    for view in views:
        fleet.set_upstreams(view.host, (drained, *upstreams[1:]), 20.0)
    for i in range(200):
        caller = ids.Address(f"10.2.0.{i}", 4000)
        found = fleet.packet(views[i % 3].host, drained.service, caller, 23.1)
        assert found is not None and found != drained.upstream


def test_late_and_strange_messages_are_harmless():
    fleet, views, _ = small_fleet()
    placer = fleet.placers[views[0].host]
    other = views[1].host
    digest = placement.Digest(
        0, 1, 1, 5, ids.UpstreamId("x"), 0, False, b"\xff" * 900
    )
    strange = ids.HostId("nobody")
    assert placer.on_message(strange, digest, 20.0) == ()
    assert placer.on_message(other, "not a message", 20.0) == ()
    assert placer.on_message(other, digest, 20.0) == ()
    assert placer.received_flows == 0


def test_a_leaving_host_first_sends_its_assignments():
    fleet, views, upstreams = small_fleet()
    callers = [ids.Address(f"10.1.1.{i}", 4000) for i in range(90)]
    assigned = {
        caller: fleet.packet(
            views[i % 3].host, test_placer.SERVICES[0], caller, 20.0
        )
        for i, caller in enumerate(callers)
    }
    gone = views[0].host
    fleet.leave(gone, 20.0)
    leaving = dataclasses.replace(views[0], state=placement.HostState.LEAVING)
    now = 20.0
    for host in fleet.placers:
        fleet.set_hosts(host, (leaving, *views[1:]), now)
    while not fleet.placers[gone].has_handed_over and now < 50.0:
        now += test_placer.STEP_S
        fleet.tick(now)
    fleet.kill(gone)
    drained = tuple(
        dataclasses.replace(view, weight=0.0, accepts_new=False)
        if view.upstream == assigned[callers[0]]
        else view
        for view in upstreams
    )
    for view in views[1:]:
        fleet.set_hosts(view.host, views[1:], now)
        fleet.set_upstreams(view.host, drained, now)
    for caller, before in assigned.items():
        found = fleet.packet(
            views[1].host, test_placer.SERVICES[0], caller, now + 5.0
        )
        assert found == before


def test_control_messages_keep_to_the_budget():
    cfg = dataclasses.replace(
        test_placer.CFG,
        max_flows=5000,
        max_received_flows=5000,
        control_bytes_per_s=100.0,
        control_burst_bytes=500.0,
    )
    fleet, views, _ = small_fleet(cfg)
    before = {h: p.control_bytes for h, p in fleet.placers.items()}
    for i in range(9000):
        caller = ids.Address(f"10.2.{i >> 8}.{i & 255}", 4000)
        fleet.packet(views[i % 3].host, test_placer.SERVICES[0], caller, 20.0)
    for step in range(100):
        fleet.tick(20.0 + step * test_placer.STEP_S)
    for host, placer in fleet.placers.items():
        spent = placer.control_bytes - before[host]
        acks = 16 * 2 * 60
        assert spent <= 100.0 * 10 + cfg.control_burst_bytes + 1200 + acks


def test_a_late_digest_does_not_override_a_newer_one():
    incoming = _incoming.Incoming(10)
    host = ids.HostId("entry-1")
    flows = next(_digest.pack([77], 100))
    for seq, name in ((2, "new"), (1, "old")):
        message = placement.Digest(
            1, 1, 1, seq, ids.UpstreamId(name), 0, False, flows
        )
        incoming.on_digest(host, message)
    assert next(incoming.lookup(77)).assignment.upstream == "new"


def test_all_pending_flows_are_sent_once_the_batch_is_due():
    # Default assignments by two sets of upstreams need two messages.
    numbers = itertools.count(1)
    out = _outgoing.Outgoing(1, numbers)
    out.to_epoch = 1
    for fingerprint, view in ((7, 100), (8, 200), (9, 200)):
        out.add(fingerprint, _assignment.default_assignment(view))

    def sent_views(now):
        return [
            msg.upstreams_hash
            for msg in out.messages(now, ((), ()), False, False)
        ]

    assert sent_views(0.0) == []
    assert sent_views(_outgoing.BATCH_WAIT_S - 0.1) == []
    assert sent_views(_outgoing.BATCH_WAIT_S) == [100, 200]
