"""Bytes and processor time of the shared view of load, by size.

Run as ``python -m foxtailworks.bench._load_cost``.  Messages are the real
ones; each figure is a mean over many calls on one thread.
"""

from collections import abc
import dataclasses
import random
import time

from foxtailworks import coordinator
from foxtailworks.coordinator import _load
from foxtailworks.coordinator import _messages
from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import steering
from foxtailworks.steering import _config
from foxtailworks.steering import _flows
from foxtailworks.steering import _load_view
from foxtailworks.steering import _tokens

HEADER_BYTES = 28
CALLS = 200
SLOTS = 2


@dataclasses.dataclass(frozen=True)
class Size:
    """Dimensions of a deployment."""

    hosts: int
    coordinators: int
    upstreams: int
    services: int
    flows_per_s: float
    """New flows a second of all hosts."""
    in_progress: int
    """Requests in progress of all hosts."""


SIZES = (
    Size(72, 6, 75, 1, 1872.0, 112),
    Size(690, 7, 3900, 360, 45000.0, 2700),
)
"""The election desk at 2.4 times its usual load, and letter 1."""


def _seconds(call: abc.Callable[[], object]) -> float:
    """Return the mean processor time of a call in seconds."""
    start = time.process_time()
    for _ in range(CALLS):
        call()
    return (time.process_time() - start) / CALLS


def _size_of(msg: object) -> int:
    """Return the bytes of a message on the wire."""
    parts = datagram.split(1, coordinator.CODEC.encode(msg))
    return sum(len(item) + HEADER_BYTES for item in parts)


def _draw_loads(rng: random.Random, count: int, upstreams: int) -> bytes:
    """Return packed loads of a number of requests drawn at random."""
    loads: dict[int, int] = {}
    for _ in range(count):
        token = rng.randrange(upstreams) + 1
        loads[token] = loads.get(token, 0) + 1
    return polling.pack_loads(loads, _messages.MAX_SUMMED)


def _address(number: int) -> ids.Address:
    """Return an address that differs by number."""
    return ids.Address(f"10.0.{number // 250}.{number % 250 + 1}", 7000)


def _known(size: Size) -> discovery.Roster:
    """Return a roster with all upstreams."""
    registry = discovery.Registry(1, 1000.0)
    for number in range(size.upstreams):
        registry.announce(
            discovery.Instance(
                discovery.InstanceId(f"i-{number}"),
                ids.Incarnation(1),
                1,
                ids.ServiceId(f"service-{number % size.services}"),
                _address(number),
                ids.ZoneId("abc"[number // size.services % 3]),
                SLOTS,
                discovery.InstanceState.READY,
                0,
            ),
            0.0,
        )
    roster = discovery.Roster()
    roster.merge(_address(0), registry.changes(0, 0), 0.0)
    return roster


def _report_host(size: Size, rng: random.Random) -> None:
    """Print the cost of one edge host."""
    roster = _known(size)
    flows = _flows.Flows(_config.Config())
    index = _tokens.TokenIndex(roster)
    view = _load_view.LoadView(
        flows, index, ids.ZoneId("a"), rng, _config.Config()
    )
    known = list(roster.all())
    mine = max(1, round(size.in_progress / size.hosts))
    for number in range(mine):
        key = rng.choice(known).instance.key
        flows.on_placed(_flows.FlowKey(b"%d" % number), key, 0.0)
    counts: dict[int, int] = {}
    for item in rng.choices(known, k=size.in_progress):
        token = steering.token_of(*item.instance.key)
        counts[token] = counts.get(token, 0) + 1
    data = polling.CODEC.encode(polling.LoadView(polling.pack_loads(counts)))

    def report() -> bytes:
        packed = polling.pack_loads(view.take_report())
        return polling.CODEC.encode(polling.LoadReport(packed))

    def take() -> None:
        msg = polling.CODEC.decode(data)
        view.put(polling.unpack_loads(msg.loads), 0.0)

    take()
    candidates = roster.of_service(ids.ServiceId("service-0"), 0.0)
    chooser = steering.Chooser(
        flows.load, ids.ZoneId("a"), rng, _config.Config(), view
    )
    new = _seconds(lambda: chooser.choose(candidates, lambda _: 0.0, 0.5))
    old = _seconds(lambda: chooser.choose(candidates, lambda _: 0.0, 99.0))
    rate = 1 / polling.LOAD_INTERVAL_S
    placed = size.flows_per_s / size.hosts
    exchange = rate * (_seconds(report) + _seconds(take))
    sent = rate * _size_of(polling.CODEC.decode(report()))
    received = rate * _size_of(polling.CODEC.decode(data))
    print(
        f"host: sends {sent:.0f} B/s, receives {received:.0f} B/s; "
        f"reports and views {100 * exchange:.3f} % of a core; "
        f"choice {1e6 * new:.0f} us ({1e6 * old:.0f} us without a view), "
        f"{100 * placed * (new - old):.3f} % of a core more"
    )


def _report_coordinator(size: Size, rng: random.Random) -> None:
    """Print the cost of one coordinator."""
    hosts = [_address(number) for number in range(size.hosts)]
    core = [_address(60000 + number) for number in range(size.coordinators)]
    mine = hosts[:: size.coordinators]
    exchange = _load.LoadExchange(
        core[0], True, set(hosts).__contains__, lambda: tuple(core[1:])
    )
    per_host = max(1, round(size.in_progress / size.hosts))
    reports = [
        coordinator.CODEC.encode(
            polling.LoadReport(_draw_loads(rng, per_host, size.upstreams))
        )
        for _ in mine
    ]
    of_peer = round(size.in_progress / size.coordinators)
    load_sum = coordinator.CODEC.encode(
        _messages.LoadSum(_draw_loads(rng, of_peer, size.upstreams))
    )
    sizes: dict[type, int] = {}
    now = 0.0

    def interval() -> None:
        nonlocal now
        now += polling.LOAD_INTERVAL_S
        for data, host in zip(reports, mine, strict=True):
            exchange.on_message(coordinator.CODEC.decode(data), host, now)
        for peer in core[1:]:
            exchange.on_message(coordinator.CODEC.decode(load_sum), peer, now)
        for later in (0.0, _load.VIEW_DELAY_S):
            for due in exchange.due(now + later):
                sizes[type(due.msg)] = _size_of(due.msg)

    rate = 1 / polling.LOAD_INTERVAL_S
    used = rate * _seconds(interval)
    peers = size.coordinators - 1
    sums = rate * sizes[_messages.LoadSum] * peers
    views = rate * sizes[polling.LoadView] * len(mine)
    print(
        f"coordinator, {len(mine)} hosts: {100 * used:.2f} % of a core "
        f"without sending; sums {sums / 1000:.1f} KB/s sent and received; "
        f"views {views / 1000:.1f} KB/s"
    )


def main() -> None:
    """Print the figures of both sizes."""
    for size in SIZES:
        print(f"{size.hosts} hosts, {size.upstreams} upstreams")
        _report_host(size, random.Random(1))
        _report_coordinator(size, random.Random(1))


if __name__ == "__main__":
    main()
