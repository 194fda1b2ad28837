"""Benchmarks of the cores for keyed and idempotent requests."""

from collections import abc
import gc
import random
import time
import tracemalloc

from foxtailworks.bench import _figure
from foxtailworks.bench import _request_parts
from foxtailworks.bench import _request_world
from foxtailworks import ids
from foxtailworks import requests

REQUESTS = 2000
COST_RUNS = 3
KEPT_KEYS = 20_000
OUTAGE_REQUESTS = 1000
PARTITION_REQUESTS = 600
SERVICE = ids.ServiceId("check-ins")
UPSTREAMS = tuple(ids.UpstreamId(f"u{i}") for i in range(7))
LAYOUTS = {"6_hosts_3_zones": [0, 0, 1, 1, 2, 2]}
LAYOUTS["7_hosts_4_zones"] = [0, 0, 1, 1, 2, 2, 3]


def make_key(number: int) -> ids.RequestKey:
    """Return the key of request ``number``."""
    return ids.RequestKey(number.to_bytes(16, "big"))


class _ThreeHosts:
    """Three hosts that deliver messages to one another at once."""

    def __init__(self, has_codec: bool) -> None:
        roster = _request_parts.make_roster(1, [0, 1, 2])
        self.hosts: dict[ids.HostId, requests.Coordinator] = {}
        self._codec = requests.make_codec() if has_codec else None
        for name, _ in roster.hosts:
            groups = requests.KeyGroups(roster, 300.0)
            recovery = requests.Recovery(0.0, 300.0, True)
            store = requests.ClaimStore(name, groups, recovery)
            self.hosts[name] = requests.Coordinator(
                name,
                ids.Incarnation(1),
                groups,
                store,
                lambda service, excluded: UPSTREAMS[0],
                random.Random(1),
            )

    def perform(
        self, host: ids.HostId, actions: tuple[requests.Action, ...]
    ) -> int:
        """Carry out actions; return the number of answered callers."""
        answered = 0
        for item in actions:
            if isinstance(item, requests.Send):
                message = item.message
                if self._codec is not None:
                    message = self._codec.decode(self._codec.encode(message))
                target = self.hosts[item.host]
                answered += self.perform(
                    item.host, target.receive(1.0, host, message)
                )
            elif isinstance(item, requests.Place):
                core = self.hosts[host]
                answered += self.perform(
                    host, core.on_answer(1.0, item.key, item.claim, b"2.04")
                )
            elif isinstance(item, requests.Answer):
                answered += 1
        return answered


def measure_cost(has_codec: bool) -> float:
    """Return the processor time of one keyed request, in microseconds.

    It is the time of all three hosts together.
    """
    three_hosts = _ThreeHosts(has_codec)
    first = next(iter(three_hosts.hosts))
    answered = 0
    started_at = time.process_time()
    for number in range(REQUESTS):
        req = requests.KeyedRequest(
            make_key(number),
            requests.AttemptId(number),
            SERVICE,
            2000,
            None,
        )
        core = three_hosts.hosts[first]
        answered += three_hosts.perform(first, core.request(1.0, req))
    spent_s = time.process_time() - started_at
    assert answered == REQUESTS
    return spent_s / REQUESTS * 1e6


def measure_traffic() -> tuple[float, float]:
    """Return the control bytes and messages of one keyed request."""
    roster = _request_parts.make_roster(1, LAYOUTS["6_hosts_3_zones"])
    world = _request_world.World(1, roster)
    rng = random.Random(1)
    for number in range(REQUESTS):
        world.send_request(make_key(number), rng.choice(list(world.hosts)))
        world.run(0.005)
    world.run(3.0)
    assert world.counts["Answer"] == REQUESTS
    return world.sent_bytes / REQUESTS, world.sent_messages / REQUESTS


def measure_state() -> float:
    """Return the bytes of memory that a member keeps per outcome."""
    roster = _request_parts.make_roster(1, [0, 1, 2])
    groups = requests.KeyGroups(roster, 300.0)
    recovery = requests.Recovery(0.0, 300.0, True)
    store = requests.ClaimStore(ids.HostId("h0"), groups, recovery)
    gc.collect()
    tracemalloc.start()
    for number in range(KEPT_KEYS):
        outcome = requests.Outcome(
            requests.ClaimId(2**60 + number), bytes(40), ids.HostId("h1")
        )
        message = requests.RecordOutcome(make_key(number), outcome, 360_000)
        store.receive(message, number / 1000, ids.HostId("h1"))
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(store) == KEPT_KEYS
    return kept / KEPT_KEYS


def measure_outage(has_budget: bool) -> float:
    """Return the placements per request while all upstreams shed."""
    core = requests.IdempotentRequests(
        ids.HostId("h0"),
        ids.Incarnation(1),
        lambda service, excluded: next(
            (item for item in UPSTREAMS if item not in excluded), None
        ),
        random.Random(1),
    )
    if not has_budget:
        core.budgets[SERVICE] = requests.RetryBudget(share=100.0)
    placements = 0
    now = 0.0
    for number in range(OUTAGE_REQUESTS):
        now += 0.01
        req = requests.IdempotentRequest(
            requests.AttemptId(number), SERVICE, 2000, None
        )
        todo = [*core.request(now, req), *core.tick(now)]
        while todo:
            item = todo.pop()
            if isinstance(item, requests.PlaceIdempotent):
                placements += 1
                todo += core.on_shed(now, item.token)
    return placements / OUTAGE_REQUESTS


def measure_isolated_zone(
    layout: str,
) -> tuple[dict[tuple[str, str], float], float]:
    """Return the replies to keyed requests during a network partition.

    The first availability zone is isolated. Callers of each side reach only
    hosts of their side; hosts have detected the partition.

    :return: percent of requests by side and reply, and the 99th percentile
        of the seconds to the final reply on the isolated side
    """
    roster = _request_parts.make_roster(1, LAYOUTS[layout])
    world = _request_world.World(1, roster, upstreams=len(LAYOUTS[layout]))
    isolated = ids.ZoneId("z0")
    world.isolated_zones = frozenset([isolated])
    world.avoids_isolated = True
    sides: dict[str, list[ids.HostId]] = {"cut_off": [], "rest": []}
    for name, zone in roster.hosts:
        sides["cut_off" if zone == isolated else "rest"].append(name)
    for names in sides.values():
        for name in names:
            world.hosts[name].coordinator.set_live_hosts(names)
    attempts_by_side = _send_from_both_sides(world, sides)
    shares = {}
    for side, attempts in attempts_by_side.items():
        for reply in ("Answer", "Refuse", "Unknown"):
            count = sum(item.reply == reply for item in attempts)
            shares[side, reply] = 100.0 * count / len(attempts)
    assert not any(world.violation_counts().values())
    latencies_s = sorted(
        a.replied_at - a.sent_at for a in attempts_by_side["cut_off"]
    )
    return shares, latencies_s[int(0.99 * len(latencies_s))]


def _send_from_both_sides(
    world: _request_world.World, sides: dict[str, list[ids.HostId]]
) -> dict[str, list[_request_parts.Attempt]]:
    """Send new keys on both sides of a partition; wait for replies."""
    rng = random.Random(2)
    attempts_by_side: dict[str, list[_request_parts.Attempt]] = {}
    for number in range(PARTITION_REQUESTS):
        for index, (side, hosts) in enumerate(sides.items()):
            key = make_key(number * 2 + index)
            attempt = world.send_request(key, rng.choice(hosts))
            attempts_by_side.setdefault(side, []).append(attempt)
        world.run(0.01)
    world.run(5.0)
    return attempts_by_side


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield all figures of the request cores."""
    for name, has_codec in (
        ("claim_core_us", False),
        ("claim_core_and_codec_us", True),
    ):
        best_us = min(measure_cost(has_codec) for _ in range(COST_RUNS))
        yield _figure.Figure(name, best_us, "us")
    sent_bytes, sent = measure_traffic()
    yield _figure.Figure("control_bytes_per_keyed_request", sent_bytes, "B")
    yield _figure.Figure("messages_per_keyed_request", sent, "messages")
    yield _figure.Figure("state_bytes_per_kept_key", measure_state(), "B")
    yield _figure.Figure(
        "retry_amplification_in_outage",
        measure_outage(True),
        "tries per request",
        baseline=measure_outage(False),
        target=1.1,
    )
    for layout in LAYOUTS:
        shares, final_s = measure_isolated_zone(layout)
        for (side, reply), share in shares.items():
            name = f"keyed_{reply.lower()}_{side}_{layout}"
            yield _figure.Figure(name, share, "percent")
        yield _figure.Figure(
            f"keyed_final_s_p99_cut_off_{layout}", final_s, "s"
        )
