"""Distribution: entry hosts distribute contracts among each other.

Shows: a version that one host of each zone receives is in force on all hosts
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
LOSS_RATE = 0.1
IN_FORCE_LIMIT_S = 4.0
ZONES = {
    ids.HostId(f"host-{n}"): ids.ZoneId(f"zone-{n % 3}") for n in range(12)
}
CUSTOMER = ids.CustomerId("balans")


class Adapter:
    """Executes actions with a lossy message queue and a virtual clock."""

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
        """Start a host with no contract in force."""
        rng = random.Random(self.rng.random())
        core = contracts.Distribution(
            host, ZONES[host], contracts.View(), rng, self.now
        )
        core.set_peers(ZONES)
        self.cores[host] = core
        self.put_in_force[host] = []

    def perform(self, host: ids.HostId, actions: abc.Iterable[object]) -> None:
        """Send messages and record the versions put in force."""
        for item in actions:
            match item:
                case contracts.SendToHost(to, msg):
                    self._send(host, to, msg)
                case contracts.PutInForce(update):
                    self.put_in_force[host].append(update.version)

    def _send(self, src: ids.HostId, to: ids.HostId, msg: object) -> None:
        """Queue a message for delivery, or drop it at random."""
        if self.rng.random() >= LOSS_RATE:
            at = self.now + DELAY_S
            order = next(self._serial)
            heapq.heappush(self._queue, (at, order, src, to, msg))

    def update_host(self, host: ids.HostId, update: contracts.Update) -> None:
        """Pass an update to one host, as a link to a keeper would."""
        actions = self.cores[host].on_update(update, self.now)
        self.perform(host, actions)

    def update_zones(self, update: contracts.Update) -> None:
        """Pass an update to the root of each zone's distribution tree."""
        for zone in sorted(set(ZONES.values())):
            hosts = (host for host, z in ZONES.items() if z == zone)
            self.update_host(contracts.tree_order(hosts)[0], update)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        until = self.now + seconds
        while self.now < until:
            while self._queue and self._queue[0][0] <= self.now + TICK_S:
                at, _, src, to, msg = heapq.heappop(self._queue)
                self.perform(to, self.cores[to].on_message(src, msg, at))
            self.now += TICK_S
            for host, core in self.cores.items():
                self.perform(host, core.on_tick(self.now))

    def versions(self) -> set[ids.Version]:
        """Return the versions in force on any host."""
        return {core.version for core in self.cores.values()}


def put(source: contracts.View, version: int) -> contracts.Update:
    """Add a version to the keepers' view; return the update."""
    before = source.version
    text = f'{{customer: "balans", services: []}} // {version}'
    source.put(
        contracts.VersionedContract(CUSTOMER, ids.Version(version), text)
    )
    return source.since(before)


def run(seed: int) -> abc.Iterator[str]:
    """Run the scenario and yield a line for each result."""
    adapter = Adapter(seed)
    source = contracts.View()
    adapter.run(2.0)
    updates = [put(source, version) for version in (1, 2)]
    for version, update in enumerate(updates, start=1):
        adapter.update_zones(update)
        adapter.run(IN_FORCE_LIMIT_S)
        assert adapter.versions() == {ids.Version(version)}
        yield f"version {version} is in force on {len(ZONES)} hosts"

    host = ids.HostId("host-7")
    adapter.start(host)
    # A lagging keeper sends an old version first.
    adapter.update_host(host, updates[0])
    adapter.run(IN_FORCE_LIMIT_S)
    assert adapter.put_in_force[host] == [ids.Version(2)]
    yield f"{host} restarted and received version 1; it put only 2 in force"


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
