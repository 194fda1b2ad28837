"""Benchmarks of the request cores."""

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
CUT_REQUESTS = 600
SERVICE = ids.ServiceId("check-ins")
UPSTREAMS = tuple(ids.UpstreamId(f"u{i}") for i in range(7))
LAYOUTS = {"6_hosts_3_zones": [0, 0, 1, 1, 2, 2]}
LAYOUTS["7_hosts_4_zones"] = [0, 0, 1, 1, 2, 2, 3]


def make_key(number: int) -> ids.RequestKey:
    """Return the key of request ``number``."""
    return ids.RequestKey(number.to_bytes(16, "big"))


class _Trio:
    """Three hosts that hand their messages to one another at once."""

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
        """Carry out actions; return how many callers were answered."""
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
    """Return microseconds of all three hosts for one keyed request."""
    trio = _Trio(has_codec)
    first = next(iter(trio.hosts))
    answered = 0
    began = time.process_time()
    for number in range(REQUESTS):
        arrival = requests.KeyedRequest(
            make_key(number),
            requests.AttemptId(number),
            SERVICE,
            2000,
            None,
        )
        core = trio.hosts[first]
        answered += trio.perform(first, core.request(1.0, arrival))
    spent_s = time.process_time() - began
    assert answered == REQUESTS
    return spent_s / REQUESTS * 1e6


def measure_traffic() -> tuple[float, float]:
    """Return control bytes and messages for one keyed request."""
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
    """Return the bytes that a member keeps for one outcome."""
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
    """Return tries for each fresh request while all upstreams shed."""
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
    tries = 0
    now = 0.0
    for number in range(OUTAGE_REQUESTS):
        now += 0.01
        arrival = requests.IdempotentRequest(
            requests.AttemptId(number), SERVICE, 2000, None
        )
        todo = [*core.request(now, arrival), *core.tick(now)]
        while todo:
            item = todo.pop()
            if isinstance(item, requests.PlaceIdempotent):
                tries += 1
                todo += core.on_shed(now, item.token)
    return tries / OUTAGE_REQUESTS


def measure_cut(layout: str) -> tuple[dict[tuple[str, str], float], float]:
    """Return percent of keyed requests by side of a cut and by answer.

    The second value is the p99 of seconds to the final answer on the
    side that is cut off.

    The smaller side is the first availability zone.  Callers of each side
    reach only hosts of their side; hosts know who is cut off by then.
    """
    roster = _request_parts.make_roster(1, LAYOUTS[layout])
    world = _request_world.World(1, roster, upstreams=len(LAYOUTS[layout]))
    away = ids.ZoneId("z0")
    world.isolated_zones = frozenset([away])
    world.avoids_cut = True
    sides: dict[str, list[ids.HostId]] = {"cut_off": [], "rest": []}
    for name, zone in roster.hosts:
        sides["cut_off" if zone == away else "rest"].append(name)
    for names in sides.values():
        for name in names:
            world.hosts[name].coordinator.set_live_hosts(names)
    asked = _ask_sides(world, sides)
    shares = {}
    for side, attempts in asked.items():
        for told in ("Answer", "Refuse", "Unknown"):
            count = sum(item.reply == told for item in attempts)
            shares[side, told] = 100.0 * count / len(attempts)
    assert not any(world.violation_counts().values())
    waits = sorted(a.told_at - a.sent_at for a in asked["cut_off"])
    return shares, waits[int(0.99 * len(waits))]


def _ask_sides(
    world: _request_world.World, sides: dict[str, list[ids.HostId]]
) -> dict[str, list[_request_parts.Attempt]]:
    """Ask new keys on both sides of a cut and wait for the answers."""
    rng = random.Random(2)
    asked: dict[str, list[_request_parts.Attempt]] = {}
    for number in range(CUT_REQUESTS):
        for index, (side, hosts) in enumerate(sides.items()):
            key = make_key(number * 2 + index)
            attempt = world.send_request(key, rng.choice(hosts))
            asked.setdefault(side, []).append(attempt)
        world.run(0.01)
    world.run(5.0)
    return asked


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield every figure of the request cores."""
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
        shares, wait_s = measure_cut(layout)
        for (side, told), share in shares.items():
            name = f"keyed_{told.lower()}_{side}_{layout}"
            yield _figure.Figure(name, share, "percent")
        yield _figure.Figure(
            f"keyed_final_s_p99_cut_off_{layout}", wait_s, "s"
        )
