"""Single failures around one keyed request, each at its worst moment."""

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


def hold_dead(world, dead):
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
    hold_dead(world, first)
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


def test_a_cut_off_host_says_unknown_and_learns_the_outcome_later():
    world, (first, second, _) = make()
    zones = {world.hosts[first].zone}
    world.isolated_zones = frozenset(zones)
    inside = world.send_request(KEY, first, is_routed=False)
    outside = world.send_request(KEY, second, is_routed=False)
    world.run(3.0)
    told = {inside.reply, outside.reply}
    assert "Unknown" in told and "Refuse" not in told
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
    assert world.hosts[new].groups.divisor(new) == 0
    assert world.hosts[third].groups.divisor(third) == 7
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
    asked = []
    for name in list(world.hosts):
        world.leave(name, 0.5)
        hold_dead(world, name)
        for step in range(100):
            if step == 60:
                hold_dead(world, None)
            key = ids.RequestKey(len(asked).to_bytes(16, "big"))
            others = [host for host in world.hosts if host != name]
            asked.append(world.send_request(key, others[step % len(others)]))
            world.run(0.1)
    assert {item.reply for item in asked} == {"Answer"}
    retries = [world.send_request(item.key, "h0") for item in asked[-300:]]
    world.run(1.0)
    assert {item.reply for item in retries} == {"Answer"}
    assert world.reported_runs == {item.key: 1 for item in asked}
    assert not any(world.violation_counts().values())


def ask_around(world, asked, absent, steps):
    """Ask ten times a second, wherever the fabric would."""
    for step in range(steps):
        key = ids.RequestKey(len(asked).to_bytes(16, "big"))
        hosts = [host for host in world.hosts if host not in absent]
        asked.append(world.send_request(key, hosts[step % len(hosts)]))
        world.run(0.1)


def check_all_ran_once(world, asked):
    assert {item.reply for item in asked} == {"Answer"}
    retries = [world.send_request(item.key, "h0") for item in asked[-300:]]
    world.run(1.0)
    assert {item.reply for item in retries} == {"Answer"}
    assert world.reported_runs == {item.key: 1 for item in asked}
    assert not any(world.violation_counts().values())


def test_hosts_restarted_five_seconds_apart_cost_no_request():
    # Too fast for what the others remember to be read: each host reads its
    # own memory back.
    world, _ = make()
    world.has_disks = True
    asked = []
    for _ in range(2):
        for name in list(world.hosts):
            world.leave(name, 0.5)
            hold_dead(world, name)
            ask_around(world, asked, {name}, 30)
            hold_dead(world, None)
            ask_around(world, asked, (), 20)
    check_all_ran_once(world, asked)


def test_all_hosts_restarted_at_once_cost_no_request_afterwards():
    world, _ = make()
    world.has_disks = True
    asked = []
    ask_around(world, asked, (), 50)
    for name in list(world.hosts):
        world.leave(name, 0.5)
    world.run(5.0)
    ask_around(world, asked, (), 50)
    check_all_ran_once(world, asked)


def test_a_memory_is_of_one_host_and_one_use():
    world, (first, second, _) = make()
    world.send_request(KEY, first)
    world.run(1.0)
    host = world.hosts[first]
    host.coordinator.leave()
    host.coordinator.hand_over(world.now)
    memory = host.coordinator.saved_state(world.now)
    assert memory.host == first
    assert (
        requests.decode_saved_state(requests.encode_saved_state(memory))
        == memory
    )
    other = world.hosts[second].coordinator
    with pytest.raises(errors.FoxtailError):
        other.restore(memory, world.now)


def test_what_has_lost_its_memory_has_none_to_leave():
    world, (first, *_) = make()
    world.kill(first)
    world.start_host(first, world.hosts[first].zone, False)
    host = world.hosts[first]
    host.coordinator.hand_over(world.now)
    assert host.coordinator.saved_state(world.now) is None


def test_no_mark_is_lost_though_they_come_into_one_generation():
    # A mark that were lost might let an attempt run that was told "not run".
    world, (first, *_) = make()
    marks = tuple(
        requests.HandOver(
            ids.RequestKey(number.to_bytes(16, "big")),
            None,
            None,
            0,
            (requests.AttemptId(number),),
        )
        for number in range(2 * _fences.MAX_MARKS)
    )
    world.start_host(
        first,
        world.hosts[first].zone,
        False,
        requests.SavedState(first, 1, marks, ()),
    )
    coordinator = world.hosts[first].coordinator
    coordinator.hand_over(world.now)
    assert len(coordinator.saved_state(world.now).records) == len(marks)


def test_what_still_grants_has_no_memory_to_leave():
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


def test_the_largest_messages_fit_and_hostile_ones_are_refused():
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


def test_only_the_next_start_counts_on_a_whole_hand_over():
    roster = _request_parts.make_roster(1, [0, 1, 2])
    groups = requests.KeyGroups(roster, 60.0)
    recovery = requests.Recovery(0.0, 60.0, True)
    store = requests.ClaimStore(ids.HostId("h0"), groups, recovery)
    left = ids.HostId("h1")
    claim = largest_claim(KEY, 1)
    handed = requests.HandOver(KEY, claim, None, 9000)

    def is_heir(incarnation):
        request = requests.PageRequest(0, 1, ids.Incarnation(incarnation))
        return store.receive(request, 1.0, left).is_heir

    assert not is_heir(8)
    gone = requests.Left(ids.Incarnation(7), 1)
    assert store.receive(gone, 1.0, left) is None
    assert not is_heir(8)
    store.receive(handed, 1.0, left)
    assert store.receive(gone, 1.0, left) is not None
    assert is_heir(8) and is_heir(8)
    assert store.receive(gone, 1.0, left) is not None
    assert not is_heir(9)
    other = requests.ClaimStore(
        ids.HostId("h2"), groups, requests.Recovery(0.0, 60.0, False)
    )
    other.receive(handed, 1.0, left)
    assert len(other) == 0
