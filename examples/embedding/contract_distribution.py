"""Distribution: entry hosts pass the contracts in force on to each other.

Shows: a version given to one host of each zone is in force on all hosts
within 4 s although a tenth of the messages is lost; a restarted host never
puts an older version in force than the one that its neighbours have.
"""

from collections import abc
import heapq
import itertools
import random

from foxtailworks import contracts
from foxtailworks import ids

TICK_S = 0.1
DELAY_S = 0.01
LOSS = 0.1
LIMIT_S = 4.0
ZONES = {
    ids.HostId(f"host-{n}"): ids.ZoneId(f"zone-{n % 3}") for n in range(12)
}
CUSTOMER = ids.CustomerId("balans")


class Adapter:
    """Carries out actions: a queue that loses messages, and a clock."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.cores: dict[ids.HostId, contracts.Distribution] = {}
        self.put_in_force: dict[ids.HostId, list[ids.Version]] = {}
        self._serial = itertools.count()
        self._queue: list[
            tuple[float, int, ids.HostId, ids.HostId, object]
        ] = []
        for host in ZONES:
            self.start(host)

    def start(self, host: ids.HostId) -> None:
        """Start a host, with nothing in force."""
        rng = random.Random(self.rng.random())
        core = contracts.Distribution(
            host, ZONES[host], contracts.View(), rng, self.now
        )
        core.set_peers(ZONES)
        self.cores[host] = core
        self.put_in_force[host] = []

    def perform(self, host: ids.HostId, actions: abc.Iterable[object]) -> None:
        """Send messages and note versions put in force."""
        for item in actions:
            match item:
                case contracts.SendToHost(to, msg):
                    self._send(host, to, msg)
                case contracts.PutInForce(update):
                    self.put_in_force[host].append(update.version)

    def _send(self, src: ids.HostId, to: ids.HostId, msg: object) -> None:
        """Deliver a message later, or lose it."""
        if self.rng.random() >= LOSS:
            at = self.now + DELAY_S
            order = next(self._serial)
            heapq.heappush(self._queue, (at, order, src, to, msg))

    def feed(self, host: ids.HostId, update: contracts.Update) -> None:
        """Give one host what a keeper's link would bring."""
        actions = self.cores[host].on_update(update, self.now)
        self.perform(host, actions)

    def feed_zones(self, update: contracts.Update) -> None:
        """Feed the first host in the tree of each zone."""
        for zone in sorted(set(ZONES.values())):
            near = (host for host, z in ZONES.items() if z == zone)
            self.feed(contracts.tree_order(near)[0], update)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            while self._queue and self._queue[0][0] <= self.now + TICK_S:
                at, _, src, to, msg = heapq.heappop(self._queue)
                self.perform(to, self.cores[to].on_message(src, msg, at))
            self.now += TICK_S
            for host, core in self.cores.items():
                self.perform(host, core.on_tick(self.now))

    def versions(self) -> set[ids.Version]:
        """Return the versions in force anywhere."""
        return {core.version for core in self.cores.values()}


def put(source: contracts.View, version: int) -> contracts.Update:
    """Put a version into the keepers' view; return what is new."""
    before = source.version
    text = f'{{customer: "balans", services: []}} // {version}'
    source.put(
        contracts.VersionedContract(CUSTOMER, ids.Version(version), text)
    )
    return source.since(before)


def run(seed: int) -> abc.Iterator[str]:
    """Yield what is shown."""
    adapter = Adapter(seed)
    source = contracts.View()
    adapter.run(2.0)
    updates = [put(source, version) for version in (1, 2)]
    for version, update in enumerate(updates, start=1):
        adapter.feed_zones(update)
        adapter.run(LIMIT_S)
        assert adapter.versions() == {ids.Version(version)}
        yield f"version {version} is in force on {len(ZONES)} hosts"

    host = ids.HostId("host-7")
    adapter.start(host)
    # A keeper that lags brings an old version first.
    adapter.feed(host, updates[0])
    adapter.run(LIMIT_S)
    assert adapter.put_in_force[host] == [ids.Version(2)]
    yield f"{host} restarted and was fed version 1; it put only 2 in force"


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
