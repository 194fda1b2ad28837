"""Distribution of contracts to many entry cores in virtual time."""

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
TREE_ROOTS_PER_ZONE = 2
DEAD_HOSTS = 14
LOSS = 0.01
TICK_S = 0.1
TIME_LIMIT_S = 30.0
DATAGRAM_OVERHEAD_BYTES = 28 + 16
DELAYS_S = {"zone": 0.0005, "region": 0.001, "far": 0.03}

_CODEC = wire.Codec(contracts.DISTRIBUTION_MESSAGES)


@dataclasses.dataclass(frozen=True)
class EditCost:
    """Time and traffic of the distribution of one edit."""

    in_force_s: float
    """Seconds until it was in force on all live hosts."""
    hosts_in_force: int
    """Number of live hosts that have it in force."""
    live_hosts: int
    """Number of live hosts."""
    bytes_per_host: float
    """Mean bytes sent by a host, including datagram headers."""
    max_bytes: int
    """Bytes sent by the host that sent most."""


class Simulation:
    """Entry cores exchanging datagrams in virtual time.

    :param loss: share of datagrams that are lost
    :param dead_hosts: number of dead hosts that the others take for live
    """

    def __init__(
        self,
        cfg: contracts.DistributionConfig,
        seed: int,
        hosts: int = HOSTS,
        loss: float = LOSS,
        dead_hosts: int = DEAD_HOSTS,
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
                cfg,
            )
            for host, zone in self.zones.items()
        }
        for core in self.cores.values():
            core.set_peers(self.zones)
        self.dead_hosts = set(self._rng.sample(sorted(self.zones), dead_hosts))
        self.sent: dict[ids.HostId, int] = dict.fromkeys(self.zones, 0)
        self.in_force_at: dict[ids.HostId, float] = {}

    def inject_update(self, update: contracts.Update) -> None:
        """Pass an update to the hosts that are linked with keepers."""
        for host in self._tree_roots():
            if host not in self.dead_hosts:
                self._perform(
                    host, self.cores[host].on_update(update, self.now)
                )

    def run(self, until: float) -> None:
        """Advance virtual time to ``until`` seconds."""
        while self.now < until:
            self._deliver(self.now + TICK_S)
            self.now += TICK_S
            for host, core in self.cores.items():
                if host not in self.dead_hosts:
                    self._perform(host, core.on_tick(self.now))

    def live_hosts(self) -> set[ids.HostId]:
        """Return the ids of all live hosts."""
        return set(self.zones) - self.dead_hosts

    def _tree_roots(self) -> abc.Iterator[ids.HostId]:
        """Yield the first hosts of each zone's distribution tree."""
        for zone in sorted(set(self.zones.values())):
            zone_hosts = (h for h, z in self.zones.items() if z == zone)
            yield from contracts.tree_order(zone_hosts)[:TREE_ROOTS_PER_ZONE]

    def _deliver(self, until: float) -> None:
        """Deliver messages that arrive by ``until``."""
        while self._queue and self._queue[0][0] <= until:
            at, _, src, dst, msg = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if dst not in self.dead_hosts:
                actions = self.cores[dst].on_message(src, msg, at)
                self._perform(dst, actions)

    def _perform(
        self, host: ids.HostId, actions: abc.Iterable[object]
    ) -> None:
        """Send messages and record when versions come into force."""
        for item in actions:
            if isinstance(item, contracts.SendToHost):
                self._send(host, item)
            elif isinstance(item, contracts.PutInForce):
                self.in_force_at[host] = self.now

    def _send(self, src: ids.HostId, action: contracts.SendToHost) -> None:
        """Count the bytes of a datagram and queue it unless it is lost."""
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
        """Return the delay in seconds between two hosts, with jitter."""
        a, b = (int(self.zones[h].split("-")[1]) for h in (src, dst))
        kind = "far"
        if a == b:
            kind = "zone"
        elif a // ZONES_PER_REGION == b // ZONES_PER_REGION:
            kind = "region"
        return DELAYS_S[kind] * self._rng.uniform(1.0, 1.5)


def contract_text(customer: str, serial: int) -> str:
    """Return a contract of typical size, with four services."""
    services = ",\n".join(
        f'    {{name: "service-{n}", kind: "request",'
        f' address: "10.{serial % 200}.{n}.1:5683",\n'
        f"     limits: {{requests_per_s: {1000 + serial}, in_flight: 2000}},\n"
        '     classes: [{name: "confirm", methods: ["POST"],'
        ' path_prefix: "/book", priority: "high"}]}'
        for n in range(4)
    )
    return f'{{customer: "{customer}", services: [\n{services}\n]}}'


def distribute_edit(
    cfg: contracts.DistributionConfig, seed: int, **options: float
) -> EditCost:
    """Distribute one edit and return its cost.

    :param options: ``hosts``, ``loss`` and ``dead`` of the simulation
    """
    hosts = int(options.get("hosts", HOSTS))
    loss = options.get("loss", LOSS)
    simulation = Simulation(
        cfg, seed, hosts, loss, int(options.get("dead", DEAD_HOSTS))
    )
    source = contracts.View()
    _put_contract(source, 1)
    simulation.inject_update(source.since(ids.ZERO_VERSION))
    simulation.run(TIME_LIMIT_S)
    simulation.sent = dict.fromkeys(simulation.zones, 0)
    simulation.in_force_at.clear()
    start = simulation.now
    _put_contract(source, 2)
    simulation.inject_update(source.since(ids.Version(1)))
    while simulation.now < start + TIME_LIMIT_S:
        simulation.run(simulation.now + TICK_S)
        if set(simulation.in_force_at) >= simulation.live_hosts():
            break
    return _edit_cost(simulation, start)


def _put_contract(view: contracts.View, serial: int) -> None:
    """Store a contract with its serial number as the version."""
    customer = ids.CustomerId("balans")
    text = contract_text(customer, serial)
    view.put(contracts.VersionedContract(customer, ids.Version(serial), text))


def _edit_cost(simulation: Simulation, start: float) -> EditCost:
    """Return the cost of the edit distributed since ``start``."""
    times = [simulation.in_force_at.get(h) for h in simulation.live_hosts()]
    elapsed_s = [t - start for t in times if t is not None]
    return EditCost(
        max(elapsed_s) if len(elapsed_s) == len(times) else float("inf"),
        len(elapsed_s),
        len(times),
        sum(simulation.sent.values()) / len(times),
        max(simulation.sent.values()),
    )


def figures(seed: int = 1) -> abc.Iterator[_figure.Figure]:
    """Yield time and bytes of one edit; the baseline is gossip alone."""
    gossip = distribute_edit(
        contracts.DistributionConfig(mode=contracts.DistributionMode.GOSSIP),
        seed,
    )
    both = distribute_edit(contracts.DistributionConfig(), seed)
    yield _figure.Figure(
        "edit_in_force_ms_max_690",
        both.in_force_s * 1000,
        "ms",
        gossip.in_force_s * 1000,
        4000.0,
    )
    yield _figure.Figure(
        "distribution_bytes_per_host_per_edit",
        both.bytes_per_host,
        "bytes",
        gossip.bytes_per_host,
    )
