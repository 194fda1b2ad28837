"""Requests that may be repeated: retries within a budget and a deadline.

Shows: a request goes on to another upstream when the first one sheds it; in
an outage retries stay a small share of the requests and each caller is told
the truth.
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
    """Carries out actions; plays the upstreams, which answer at once."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.shedding: set[ids.UpstreamId] = set()
        self.tries: list[ids.UpstreamId] = []
        self.told: collections.Counter[str] = collections.Counter()
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
        """Return any upstream that wasn't tried."""
        left = [name for name in UPSTREAMS if name not in excluded]
        return self.rng.choice(left) if left else None

    def request(self, number: int) -> None:
        """Let a caller's GET arrive."""
        arrival = requests.IdempotentRequest(
            requests.AttemptId(number), SERVICE, 1000, handle=number
        )
        self.perform(self.core.request(self.now, arrival))

    def perform(self, actions: abc.Iterable[object]) -> None:
        """Carry out actions, with what follows from them."""
        todo = list(actions)
        while todo:
            match todo.pop(0):
                case requests.PlaceIdempotent() as place:
                    self.tries.append(place.upstream)
                    todo += self._play(place)
                case requests.Answer():
                    self.told["answer"] += 1
                case requests.Refuse():
                    self.told["refused"] += 1
                case requests.Unknown():
                    self.told["unknown"] += 1

    def _play(self, place: requests.PlaceIdempotent) -> abc.Iterable[object]:
        """Answer or shed a try, as an upstream does."""
        if place.upstream in self.shedding:
            return self.core.on_shed(self.now, place.token)
        return self.core.on_answer(place.token, b"ok")

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            self.perform(self.core.tick(self.now))


def run(seed: int) -> abc.Iterator[str]:
    """Yield what is shown."""
    adapter = Adapter(seed)
    adapter.shedding = set(UPSTREAMS[:2])
    adapter.request(1)
    adapter.run(1.0)
    assert adapter.told == {"answer": 1}
    assert adapter.tries[-1] == UPSTREAMS[2]
    yield f"two of three upstreams shed; answered after {adapter.tries}"

    adapter.shedding = set(UPSTREAMS)
    adapter.tries.clear()
    adapter.told.clear()
    for number in range(2, REQUESTS + 2):
        adapter.request(number)
        adapter.run(TICK_S)
    adapter.run(2.0)
    retries = len(adapter.tries) - REQUESTS
    assert adapter.told == {"refused": REQUESTS} and not len(adapter.core)
    # A tenth of the requests and the three that are saved at the start.
    assert 0 < retries <= REQUESTS // 10 + 3
    yield f"all shed: {REQUESTS} requests refused with {retries} retries"


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
