"""Idempotent requests: retries within a budget and a deadline.

Shows: a request is retried on another upstream when the first one sheds it;
in an outage retries stay a small share of the requests and each caller gets
a correct refusal.
"""

import collections
from collections import abc
import random

from foxtailworks import ids
from foxtailworks import requests

TICK_S = 0.01
SERVICE = ids.ServiceId("status")
UPSTREAMS = tuple(ids.UpstreamId(f"10.0.9.{n + 1}:5683#1") for n in range(3))
REQUESTS = 200


class Adapter:
    """Executes actions and simulates upstreams that answer immediately."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.shedding: set[ids.UpstreamId] = set()
        self.attempts: list[ids.UpstreamId] = []
        self.replies: collections.Counter[str] = collections.Counter()
        self.core = requests.IdempotentRequests(
            ids.HostId("host-0"),
            ids.Incarnation(1),
            self._choose,
            random.Random(self.rng.random()),
        )

    def _choose(
        self,
        service: ids.ServiceId,
        excluded: abc.Collection[ids.UpstreamId],
    ) -> ids.UpstreamId | None:
        """Return a random upstream that is not excluded."""
        remaining = [name for name in UPSTREAMS if name not in excluded]
        return self.rng.choice(remaining) if remaining else None

    def request(self, number: int) -> None:
        """Pass a caller's GET request to the core."""
        request = requests.IdempotentRequest(
            requests.AttemptId(number), SERVICE, 1000, handle=number
        )
        self.perform(self.core.request(self.now, request))

    def perform(self, actions: abc.Iterable[object]) -> None:
        """Execute actions, including those that result from them."""
        pending = list(actions)
        while pending:
            match pending.pop(0):
                case requests.PlaceIdempotent() as place:
                    self.attempts.append(place.upstream)
                    pending += self._respond(place)
                case requests.Answer():
                    self.replies["answer"] += 1
                case requests.Refuse():
                    self.replies["refused"] += 1
                case requests.Unknown():
                    self.replies["unknown"] += 1

    def _respond(
        self, place: requests.PlaceIdempotent
    ) -> abc.Iterable[object]:
        """Answer or shed an attempt, as an upstream does."""
        if place.upstream in self.shedding:
            return self.core.on_shed(self.now, place.token)
        return self.core.on_answer(place.token, b"ok")

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            self.perform(self.core.tick(self.now))


def run(seed: int) -> abc.Iterator[str]:
    """Run the scenario and yield a line for each result."""
    adapter = Adapter(seed)
    adapter.shedding = set(UPSTREAMS[:2])
    adapter.request(1)
    adapter.run(1.0)
    assert adapter.replies == {"answer": 1}
    assert adapter.attempts[-1] == UPSTREAMS[2]
    yield f"two of three upstreams shed; answered after {adapter.attempts}"

    adapter.shedding = set(UPSTREAMS)
    adapter.attempts.clear()
    adapter.replies.clear()
    for number in range(2, REQUESTS + 2):
        adapter.request(number)
        adapter.run(TICK_S)
    adapter.run(2.0)
    retries = len(adapter.attempts) - REQUESTS
    assert adapter.replies == {"refused": REQUESTS} and not len(adapter.core)
    # A tenth of the requests, and the initial budget of three.
    assert 0 < retries <= REQUESTS // 10 + 3
    yield f"all shed: {REQUESTS} requests refused with {retries} retries"


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
