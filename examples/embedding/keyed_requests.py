"""Keyed requests: run at most once, whichever hosts receive them.

Shows: two hosts receive the same request at once and it runs once, both
callers get the answer; the host that placed a request dies, and the caller's
retry at another host gets the answer of the first run.
"""

import collections
from collections import abc
import heapq
import itertools
import random

from foxtailworks import ids
from foxtailworks import requests

TICK_S = 0.05
DELAY_S = 0.005
RUN_S = 0.1
RETENTION_S = 60.0
SERVICE = ids.ServiceId("check-ins")
UPSTREAM = ids.UpstreamId("10.0.9.1:5683#1")
ROSTER = requests.Roster(
    1,
    tuple(
        (ids.HostId(f"host-{n}"), ids.ZoneId(f"zone-{n}")) for n in range(3)
    ),
)


def choose(
    service: ids.ServiceId, excluded: abc.Collection[ids.UpstreamId]
) -> ids.UpstreamId | None:
    """Return the only upstream."""
    return None if UPSTREAM in excluded else UPSTREAM


def make_coordinator(
    host: ids.HostId, rng: random.Random, now: float
) -> requests.Coordinator:
    """Return the core of a host that starts for the first time."""
    groups = requests.KeyGroups(ROSTER, RETENTION_S)
    recovery = requests.Recovery(now, RETENTION_S, is_first_start=True)
    store = requests.ClaimStore(host, groups, recovery)
    return requests.Coordinator(
        host, ids.Incarnation(1), groups, store, choose, rng
    )


class Adapter:
    """Executes actions and simulates an upstream that runs each request."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.runs: collections.Counter[ids.RequestKey] = collections.Counter()
        self.replies: dict[object, str] = {}
        self.placed_by: dict[ids.RequestKey, ids.HostId] = {}
        self._serial = itertools.count(1)
        self._queue: list[tuple[float, int, abc.Callable[[], None]]] = []
        rng = random.Random(seed)
        self.hosts = {
            host: make_coordinator(host, random.Random(rng.random()), 0.0)
            for host, _ in ROSTER.hosts
        }

    def request(self, host: ids.HostId, key: bytes, handle: str) -> None:
        """Pass a caller's request to a host."""
        request = requests.KeyedRequest(
            ids.RequestKey(key),
            requests.AttemptId(next(self._serial)),
            SERVICE,
            2000,
            handle,
        )
        self.perform(host, self.hosts[host].request(self.now, request))

    def perform(
        self, host: ids.HostId, actions: tuple[requests.Action, ...]
    ) -> None:
        """Execute a host's actions in order."""
        for item in actions:
            match item:
                case requests.Send(to, message):
                    self._schedule(DELAY_S, self._receive, to, host, message)
                case requests.Place():
                    self.placed_by[item.key] = host
                    self._schedule(DELAY_S, self._run, host, item)
                case requests.Answer():
                    self.replies[item.handle] = item.answer.decode()
                case requests.Refuse() | requests.Unknown():
                    self.replies[item.handle] = type(item).__name__
                case _:
                    raise AssertionError(f"unexpected action: {item}")

    def _receive(
        self, to: ids.HostId, src: ids.HostId, message: requests.Message
    ) -> None:
        """Deliver a message unless the host has stopped."""
        if to in self.hosts:
            actions = self.hosts[to].receive(self.now, src, message)
            self.perform(to, actions)

    def _run(self, host: ids.HostId, place: requests.Place) -> None:
        """Run a request on the upstream and schedule its answer."""
        self.runs[place.key] += 1
        answer = f"run {self.runs[place.key]}".encode()
        self._schedule(RUN_S, self._answer, host, place, answer)

    def _answer(
        self, host: ids.HostId, place: requests.Place, answer: bytes
    ) -> None:
        """Pass the upstream's answer to the host that placed the request."""
        if host in self.hosts:
            actions = self.hosts[host].on_answer(
                self.now, place.key, place.claim, answer
            )
            self.perform(host, actions)

    def _schedule(
        self, delay_s: float, call: abc.Callable[..., None], *args: object
    ) -> None:
        """Schedule a call after ``delay_s`` seconds."""
        item = (
            self.now + delay_s,
            next(self._serial),
            lambda: call(*args),
        )
        heapq.heappush(self._queue, item)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        until = self.now + seconds
        next_tick = self.now + TICK_S
        while self.now < until:
            while self._queue and self._queue[0][0] <= next_tick:
                self.now, _, call = heapq.heappop(self._queue)
                call()
            self.now, next_tick = next_tick, next_tick + TICK_S
            for host, core in self.hosts.items():
                self.perform(host, core.tick(self.now))

    def stop(self, host: ids.HostId) -> None:
        """Stop a host and update the others' lists of live hosts."""
        del self.hosts[host]
        for core in self.hosts.values():
            core.set_live_hosts(self.hosts)


def run(seed: int) -> abc.Iterator[str]:
    """Run the scenario and yield a line for each result."""
    adapter = Adapter(seed)
    hosts = list(adapter.hosts)
    key = ids.RequestKey(b"booking-00000001")
    adapter.request(hosts[0], key, "caller")
    adapter.request(hosts[1], key, "caller again")
    adapter.run(3.0)
    assert adapter.runs[key] == 1
    assert adapter.replies == {"caller": "run 1", "caller again": "run 1"}
    yield f"two hosts, one key: {adapter.runs[key]} run, {adapter.replies}"

    key = ids.RequestKey(b"booking-00000002")
    adapter.request(hosts[0], key, "second")
    adapter.run(0.1)
    host = adapter.placed_by[key]
    adapter.run(0.5)
    adapter.stop(host)
    adapter.request(next(iter(adapter.hosts)), key, "retry")
    adapter.run(3.0)
    assert adapter.runs[key] == 1 and adapter.replies["retry"] == "run 1"
    yield f"{host} placed it and died; the retry has the answer of run 1"


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
