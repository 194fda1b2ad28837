"""How contracts spread over many entry cores, in virtual time."""

from collections import abc
import dataclasses
import heapq
import random

from foxtailworks.bench import _figure
from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks import wire

HOSTS = 690
ZONES = 9
ZONES_PER_REGION = 3
FEEDERS_PER_ZONE = 2
DEAD = 14
LOSS = 0.01
TICK_S = 0.1
LIMIT_S = 30.0
DATAGRAM_OVERHEAD_BYTES = 28 + 16
DELAYS_S = {"zone": 0.0005, "region": 0.001, "far": 0.03}

_CODEC = wire.Codec(contracts.DISTRIBUTION_MESSAGES)


@dataclasses.dataclass(frozen=True)
class Result:
    """What one edit cost."""

    seconds: float
    """Until it was in force on all hosts alive."""
    reached: int
    """Hosts alive that have it in force."""
    alive: int
    """Hosts alive."""
    bytes_per_host: float
    """Sent by a host on average, with the headers of datagrams."""
    max_bytes: int
    """Sent by the host that sent most."""


class World:
    """Entry cores in virtual time.

    :param loss: share of datagrams that are lost
    :param dead: hosts that are dead and not yet known to be
    """

    def __init__(
        self,
        pace: contracts.DistributionConfig,
        seed: int,
        hosts: int = HOSTS,
        loss: float = LOSS,
        dead: int = DEAD,
    ) -> None:
        self._rng = random.Random(seed)
        self._loss = loss
        self._serial = 0
        self._queue: list[tuple[float, int, ids.HostId, ids.HostId, object]]
        self._queue = []
        self.now = 0.0
        self.zones = {
            ids.HostId(f"host-{n}"): ids.ZoneId(f"zone-{n % ZONES}")
            for n in range(hosts)
        }
        self.cores = {
            host: contracts.Distribution(
                host,
                zone,
                contracts.View(),
                random.Random(f"{seed} {host}"),
                0.0,
                pace,
            )
            for host, zone in self.zones.items()
        }
        for core in self.cores.values():
            core.set_peers(self.zones)
        self.dead = set(self._rng.sample(sorted(self.zones), dead))
        self.sent: dict[ids.HostId, int] = dict.fromkeys(self.zones, 0)
        self.in_force_at: dict[ids.HostId, float] = {}

    def feed(self, update: contracts.Update) -> None:
        """Give an update to the hosts that are linked with keepers."""
        for host in self._feeders():
            if host not in self.dead:
                self._carry_out(
                    host, self.cores[host].on_update(update, self.now)
                )

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.now < until:
            self._deliver(self.now + TICK_S)
            self.now += TICK_S
            for host, core in self.cores.items():
                if host not in self.dead:
                    self._carry_out(host, core.on_tick(self.now))

    def alive(self) -> set[ids.HostId]:
        """Return the hosts that are alive."""
        return set(self.zones) - self.dead

    def _feeders(self) -> abc.Iterator[ids.HostId]:
        """Yield the first hosts of each zone's tree."""
        for zone in sorted(set(self.zones.values())):
            near = (h for h, z in self.zones.items() if z == zone)
            yield from contracts.tree_order(near)[:FEEDERS_PER_ZONE]

    def _deliver(self, until: float) -> None:
        """Deliver what arrives before ``until``."""
        while self._queue and self._queue[0][0] <= until:
            at, _, src, dst, msg = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if dst not in self.dead:
                actions = self.cores[dst].on_message(src, msg, at)
                self._carry_out(dst, actions)

    def _carry_out(
        self, host: ids.HostId, actions: abc.Iterable[object]
    ) -> None:
        """Send messages and note versions in force."""
        for item in actions:
            if isinstance(item, contracts.SendToHost):
                self._send(host, item)
            elif isinstance(item, contracts.PutInForce):
                self.in_force_at[host] = self.now

    def _send(self, src: ids.HostId, action: contracts.SendToHost) -> None:
        """Count a datagram and deliver it later, or lose it."""
        size = len(_CODEC.encode(action.msg)) + DATAGRAM_OVERHEAD_BYTES
        self.sent[src] += size
        if self._rng.random() < self._loss:
            return
        self._serial += 1
        at = self.now + self._delay(src, action.to)
        heapq.heappush(
            self._queue, (at, self._serial, src, action.to, action.msg)
        )

    def _delay(self, src: ids.HostId, dst: ids.HostId) -> float:
        """Return the delay between two hosts, with some jitter."""
        a, b = (int(self.zones[h].split("-")[1]) for h in (src, dst))
        kind = "far"
        if a == b:
            kind = "zone"
        elif a // ZONES_PER_REGION == b // ZONES_PER_REGION:
            kind = "region"
        return DELAYS_S[kind] * self._rng.uniform(1.0, 1.5)


def document(customer: str, serial: int) -> str:
    """Return a contract of ordinary size."""
    services = ",\n".join(
        f'    {{name: "service-{n}", kind: "request",'
        f' address: "10.{serial % 200}.{n}.1:5683",\n'
        f"     limits: {{requests_per_s: {1000 + serial}, in_flight: 2000}},\n"
        '     classes: [{name: "confirm", methods: ["POST"],'
        ' path_prefix: "/book", priority: "high"}]}'
        for n in range(4)
    )
    return f'{{customer: "{customer}", services: [\n{services}\n]}}'


def one_edit(
    pace: contracts.DistributionConfig, seed: int, **options: float
) -> Result:
    """Spread one edit and return what it cost."""
    hosts = int(options.get("hosts", HOSTS))
    loss = options.get("loss", LOSS)
    world = World(pace, seed, hosts, loss, int(options.get("dead", DEAD)))
    source = contracts.View()
    _put(source, 1)
    world.feed(source.since(ids.ZERO_VERSION))
    world.run(LIMIT_S)
    world.sent = dict.fromkeys(world.zones, 0)
    world.in_force_at.clear()
    start = world.now
    _put(source, 2)
    world.feed(source.since(ids.Version(1)))
    while world.now < start + LIMIT_S:
        world.run(world.now + TICK_S)
        if set(world.in_force_at) >= world.alive():
            break
    return _result(world, start)


def _put(view: contracts.View, serial: int) -> None:
    """Put one contract under a new version."""
    customer = ids.CustomerId("balans")
    text = document(customer, serial)
    view.put(contracts.VersionedContract(customer, ids.Version(serial), text))


def _result(world: World, start: float) -> Result:
    """Return what the last edit cost."""
    times = [world.in_force_at.get(h) for h in world.alive()]
    known = [t - start for t in times if t is not None]
    return Result(
        max(known) if len(known) == len(times) else float("inf"),
        len(known),
        len(times),
        sum(world.sent.values()) / len(times),
        max(world.sent.values()),
    )


def figures(seed: int = 1) -> abc.Iterator[_figure.Figure]:
    """Yield time and bytes of one edit, gossip alone as the baseline."""
    gossip = one_edit(
        contracts.DistributionConfig(mode=contracts.DistributionMode.GOSSIP),
        seed,
    )
    both = one_edit(contracts.DistributionConfig(), seed)
    yield _figure.Figure(
        "edit_in_force_ms_max_690",
        both.seconds * 1000,
        "ms",
        gossip.seconds * 1000,
        4000.0,
    )
    yield _figure.Figure(
        "distribution_bytes_per_host_per_edit",
        both.bytes_per_host,
        "bytes",
        gossip.bytes_per_host,
    )
