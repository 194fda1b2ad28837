"""Single failures around a keyed request, each at the worst moment."""

import pytest

from foxtailworks.bench import _request_parts
from foxtailworks.bench import _request_random_run
from foxtailworks.bench import _request_world
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import requests
from foxtailworks.requests import _fences

KEY = ids.RequestKey(b"k" * 16)
SendFault = _request_parts.SendFault


def make(zones=_request_random_run.ZONES):
    roster = _request_parts.make_roster(1, list(zones))
    world = _request_world.World(1, roster, upstreams=1)
    group = requests.choose_group(roster, KEY)
    return world, group.members


def mark_dead(world, dead):
    for host in world.hosts.values():
        alive = [name for name in world.hosts if name != dead]
        host.coordinator.set_live_hosts(alive)


def check(world, runs):
    assert len(world.runs.get(KEY, [])) == runs
    assert not any(world.violation_counts().values())


@pytest.mark.parametrize("strike", SendFault)
def test_retry_after_the_coordinator_fails_around_its_send(strike):
    world, (first, second, _) = make()
    world.next_send_fault = strike
    world.send_request(KEY, first, 30.0)
    world.run(0.2)
    mark_dead(world, first)
    retry = world.send_request(KEY, second)
    world.run(1.0)
    assert retry.reply == "Answer"
    world.run(40.0)
    check(world, 1)


def test_late_grants_place_nothing():
    world, (first, *_) = make()
    world.delay_s = 1.2
    attempt = world.send_request(KEY, first, 30.0)
    world.run(40.0)
    assert attempt.reply == "Unknown"
    check(world, 0)


def test_grants_read_after_a_freeze_place_nothing():
    world, (first, *_) = make()
    world.send_request(KEY, first, 30.0)
    world.freeze(first, 5.0)
    world.run(40.0)
    check(world, 0)


def test_an_isolated_host_reports_unknown_and_the_outcome_later():
    world, (first, second, _) = make()
    zones = {world.hosts[first].zone}
    world.isolated_zones = frozenset(zones)
    inside = world.send_request(KEY, first, is_routed=False)
    outside = world.send_request(KEY, second, is_routed=False)
    world.run(3.0)
    reports = {inside.reply, outside.reply}
    assert "Unknown" in reports and "Refuse" not in reports
    world.isolated_zones = frozenset()
    world.run(3.0)
    again = world.send_request(KEY, first)
    world.run(1.0)
    assert again.reply == "Answer"
    check(world, 1)


def test_a_replaced_member_does_not_open_a_second_majority():
    world, (first, second, third) = make()
    world.failed_links = {
        tuple(sorted((name, third))) for name in (first, second)
    }
    world.send_request(KEY, first, is_routed=False)
    world.run(1.0)
    world.failed_links = set()
    world.replace_host(first, 0.1)
    world.run(0.2)
    (new,) = set(world.hosts) - {f"h{i}" for i in range(6)}
    world.start_host(new, world.hosts[new].zone, True)
    assert world.hosts[new].groups.share_divisor(new) == 0
    assert world.hosts[third].groups.share_divisor(third) == 7
    world.freeze(second, 30.0)
    for name in (third, new):
        world.send_request(KEY, name, is_routed=False)
    world.run(10.0)
    check(world, 1)


def test_a_leaving_member_hands_its_records_over():
    world, (first, second, third) = make()
    world.failed_links = {
        tuple(sorted((name, third))) for name in (first, second)
    }
    world.send_request(KEY, first, is_routed=False)
    world.run(1.0)
    world.failed_links = set()
    world.leave(second, 99.0)
    world.run(5.0)
    assert not world.hosts[second].is_up
    world.kill(first)
    again = world.send_request(KEY, third, is_routed=False)
    world.run(1.0)
    assert again.reply == "Answer"
    check(world, 1)


def test_a_rolling_restart_costs_no_request():
    world, _ = make()
    sent = []
    for name in list(world.hosts):
        world.leave(name, 0.5)
        mark_dead(world, name)
        for step in range(100):
            if step == 60:
                mark_dead(world, None)
            key = ids.RequestKey(len(sent).to_bytes(16, "big"))
            others = [host for host in world.hosts if host != name]
            sent.append(world.send_request(key, others[step % len(others)]))
            world.run(0.1)
    assert {item.reply for item in sent} == {"Answer"}
    retries = [world.send_request(item.key, "h0") for item in sent[-300:]]
    world.run(1.0)
    assert {item.reply for item in retries} == {"Answer"}
    assert world.reported_runs == {item.key: 1 for item in sent}
    assert not any(world.violation_counts().values())


def send_requests(world, sent, absent_hosts, steps):
    """Send ten requests a second, to each present host in turn."""
    for step in range(steps):
        key = ids.RequestKey(len(sent).to_bytes(16, "big"))
        hosts = [host for host in world.hosts if host not in absent_hosts]
        sent.append(world.send_request(key, hosts[step % len(hosts)]))
        world.run(0.1)


def check_all_ran_once(world, sent):
    assert {item.reply for item in sent} == {"Answer"}
    retries = [world.send_request(item.key, "h0") for item in sent[-300:]]
    world.run(1.0)
    assert {item.reply for item in retries} == {"Answer"}
    assert world.reported_runs == {item.key: 1 for item in sent}
    assert not any(world.violation_counts().values())


def test_hosts_restarted_five_seconds_apart_cost_no_request():
    # Too fast to read the keys that the others have recorded: each host
    # restores its own saved state.
    world, _ = make()
    world.has_disks = True
    sent = []
    for _ in range(2):
        for name in list(world.hosts):
            world.leave(name, 0.5)
            mark_dead(world, name)
            send_requests(world, sent, {name}, 30)
            mark_dead(world, None)
            send_requests(world, sent, (), 20)
    check_all_ran_once(world, sent)


def test_all_hosts_restarted_at_once_cost_no_request_afterwards():
    world, _ = make()
    world.has_disks = True
    sent = []
    send_requests(world, sent, (), 50)
    for name in list(world.hosts):
        world.leave(name, 0.5)
    world.run(5.0)
    send_requests(world, sent, (), 50)
    check_all_ran_once(world, sent)


def test_a_saved_state_belongs_to_one_host():
    world, (first, second, _) = make()
    world.send_request(KEY, first)
    world.run(1.0)
    host = world.hosts[first]
    host.coordinator.leave()
    host.coordinator.hand_over(world.now)
    saved_state = host.coordinator.saved_state(world.now)
    assert saved_state.host == first
    assert (
        requests.decode_saved_state(requests.encode_saved_state(saved_state))
        == saved_state
    )
    other = world.hosts[second].coordinator
    with pytest.raises(errors.FoxtailError):
        other.restore(saved_state, world.now)


def test_a_host_without_its_state_saves_none():
    world, (first, *_) = make()
    world.kill(first)
    world.start_host(first, world.hosts[first].zone, False)
    host = world.hosts[first]
    host.coordinator.hand_over(world.now)
    assert host.coordinator.saved_state(world.now) is None


def test_restored_fences_may_exceed_one_generation():
    # A lost fence might let an attempt run that was refused as not run.
    world, (first, *_) = make()
    hand_overs = tuple(
        requests.HandOver(
            ids.RequestKey(number.to_bytes(16, "big")),
            None,
            None,
            0,
            (requests.AttemptId(number),),
        )
        for number in range(2 * _fences.MAX_FENCED_ATTEMPTS)
    )
    world.start_host(
        first,
        world.hosts[first].zone,
        False,
        requests.SavedState(first, 1, hand_overs, ()),
    )
    coordinator = world.hosts[first].coordinator
    coordinator.hand_over(world.now)
    assert len(coordinator.saved_state(world.now).records) == len(hand_overs)


def test_a_granting_member_has_no_saved_state():
    world, (first, *_) = make()
    with pytest.raises(errors.FoxtailError):
        world.hosts[first].coordinator.saved_state(world.now)


def test_a_full_store_grants_nothing_new():
    roster = _request_parts.make_roster(1, [0, 1, 2])
    groups = requests.KeyGroups(roster, 60.0)
    recovery = requests.Recovery(0.0, 60.0, True)
    store = requests.ClaimStore(ids.HostId("h0"), groups, recovery, 2)
    verdicts = []
    for number in range(3):
        key = ids.RequestKey(bytes([number]) * 16)
        claim = largest_claim(key, number)
        verdicts.append(store.receive(claim, 1.0, ids.HostId("h1")).verdict)
    assert [v.name for v in verdicts] == ["GRANTED", "GRANTED", "FULL"]
    store.tick(200.0)
    assert len(store) == 0


def largest_claim(key, number):
    placements = tuple(
        requests.Placement(requests.ClaimId(2**64 - 1), f"u{i}" * 16)
        for i in range(4)
    )
    ids_of_claims = (requests.ClaimId(2**64 - 1),) * 12
    return requests.Claim(
        key,
        requests.ClaimId(number),
        requests.AttemptId(2**64 - 1),
        ids.HostId("h" * 64),
        ids.Incarnation(2**63),
        2**32,
        ids.UpstreamId("u" * 64),
        100_000,
        100_000,
        ids_of_claims,
        placements,
        ids_of_claims[:1],
    )


def test_the_largest_messages_fit_and_truncated_ones_are_rejected():
    codec = requests.make_codec()
    answer = requests.Outcome(
        requests.ClaimId(2**64 - 1), b"a" * 1024, "h" * 64
    )
    for message in (
        largest_claim(KEY, 1),
        requests.RecordOutcome(KEY, answer, 10**6),
    ):
        data = codec.encode(message)
        assert len(data) <= 1200
        assert codec.decode(data) == message
        with pytest.raises(errors.FoxtailError):
            codec.decode(data[:-1])


def test_only_the_next_start_relies_on_a_complete_hand_over():
    roster = _request_parts.make_roster(1, [0, 1, 2])
    groups = requests.KeyGroups(roster, 60.0)
    recovery = requests.Recovery(0.0, 60.0, True)
    store = requests.ClaimStore(ids.HostId("h0"), groups, recovery)
    leaving_host = ids.HostId("h1")
    claim = largest_claim(KEY, 1)
    hand_over = requests.HandOver(KEY, claim, None, 9000)

    def has_hand_over(incarnation):
        request = requests.KeyPageRequest(0, 1, ids.Incarnation(incarnation))
        return store.receive(request, 1.0, leaving_host).has_hand_over

    assert not has_hand_over(8)
    complete = requests.HandOverComplete(ids.Incarnation(7), 1)
    assert store.receive(complete, 1.0, leaving_host) is None
    assert not has_hand_over(8)
    store.receive(hand_over, 1.0, leaving_host)
    assert store.receive(complete, 1.0, leaving_host) is not None
    assert has_hand_over(8) and has_hand_over(8)
    assert store.receive(complete, 1.0, leaving_host) is not None
    assert not has_hand_over(9)
    other = requests.ClaimStore(
        ids.HostId("h2"), groups, requests.Recovery(0.0, 60.0, False)
    )
    other.receive(hand_over, 1.0, leaving_host)
    assert len(other) == 0
