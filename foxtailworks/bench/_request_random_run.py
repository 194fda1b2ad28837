"""Random walks of faults over the request cores; any seed, same verdict.

Each step draws from its own seeded generator, so that a walk can be cut
down to the steps that still show a violation.
"""

import collections
import random
import typing

from foxtailworks.bench import _request_parts
from foxtailworks.bench import _request_world
from foxtailworks import ids

KEYS = 24
HOT_KEYS = 3
SETTLE_S = 40.0
MAX_SHRINK_RUNS = 400
ZONES = (0, 0, 1, 1, 2, 2)
World = _request_world.World
Step = typing.Callable[[World, random.Random], None]


def _key(rng: random.Random) -> ids.RequestKey:
    """Return a key, often one of a few."""
    pool = HOT_KEYS if rng.random() < 0.5 else KEYS
    return ids.RequestKey(bytes([rng.randrange(pool)]) * 16)


def _host(world: World, rng: random.Random) -> ids.HostId:
    """Return any host."""
    return rng.choice(list(world.hosts))


def _ask(world: World, rng: random.Random) -> None:
    """Ask for a key, as a retry does too."""
    deadline_s = rng.choice([0.2, 2.0, 2.0, 5.0])
    world.send_request(_key(rng), _host(world, rng), deadline_s)


def _race(world: World, rng: random.Random) -> None:
    """Let several hosts coordinate one key, as when their views differ."""
    key = _key(rng)
    for host in rng.sample(list(world.hosts), rng.choice([2, 2, 3])):
        world.send_request(key, host, 2.0, is_routed=False)
        world.run(rng.choice([0.0, 0.0, 0.0005, 0.001, 0.3]))


def _lose_some(world: World, rng: random.Random) -> None:
    """Cut single links between hosts, or mend them all."""
    names = sorted(world.hosts)
    pairs = [(a, b) for a in names for b in names if a < b]
    world.failed_links = set(rng.sample(pairs, rng.choice([0, 3, 6])))


def _overload(world: World, rng: random.Random) -> None:
    """Ask where admission refuses."""
    world.send_request(_key(rng), _host(world, rng), is_admitted=False)


def _retransmit(world: World, rng: random.Random) -> None:
    """Let a datagram come again at any host."""
    if world.attempts:
        attempt = rng.choice(world.attempts[-8:])
        host = _host(world, rng)
        world.send_request(attempt.key, host, 2.0, again=attempt)


def _freeze(world: World, rng: random.Random) -> None:
    """Stop a host for a while."""
    world.freeze(_host(world, rng), rng.choice([0.3, 2.0, 30.0]))


def _strike(world: World, rng: random.Random) -> None:
    """Let the next host that places stop or die around its send."""
    world.next_send_fault = rng.choice(list(_request_parts.SendFault))


def _kill(world: World, rng: random.Random) -> None:
    """End a host."""
    world.kill(_host(world, rng))


def _restart(world: World, rng: random.Random) -> None:
    """Start a dead host, without its memory."""
    dead = [host for host in world.hosts.values() if not host.is_up]
    if dead:
        host = rng.choice(dead)
        world.start_host(host.name, host.zone, False)


def _leave(world: World, rng: random.Random) -> None:
    """Restart a host as planned."""
    host = world.hosts[_host(world, rng)]
    if host.is_up and not host.is_leaving:
        world.leave(host.name, rng.choice([0.1, 1.0]))


def _cut(world: World, rng: random.Random) -> None:
    """Cut an availability zone off, or heal."""
    zones = [frozenset[ids.ZoneId](), frozenset([ids.ZoneId("z0")])]
    world.isolated_zones = rng.choice([*zones, frozenset([ids.ZoneId("z1")])])


def _disturb(world: World, rng: random.Random) -> None:
    """Lose, double and delay datagrams, or stop doing so."""
    world.loss = rng.choice([0.0, 0.0, 0.3])
    world.doubling = rng.choice([0.0, 0.4])
    world.delay_s = rng.choice([0.001, 0.02, 0.5])


def _shed(world: World, rng: random.Random) -> None:
    """Let an upstream shed, or be slow, or neither."""
    upstream = rng.choice(list(world.upstreams.values()))
    upstream.is_shedding = rng.random() < 0.5
    upstream.run_s = rng.choice([0.02, 0.02, 3.0])


def _crash_upstream(world: World, rng: random.Random) -> None:
    """Replace an upstream by one without its memory."""
    world.crash_upstream(rng.choice(list(world.upstreams)))


def _change_view(world: World, rng: random.Random) -> None:
    """Let a host hold some others dead."""
    names = list(world.hosts)
    host = world.hosts[rng.choice(names)]
    host.coordinator.set_live_hosts(rng.sample(names, len(names) - 2))


def _change_roster(world: World, rng: random.Random) -> None:
    """Replace a host in the roster; hosts learn it one after another."""
    if len(world.hosts) < 2 * len(ZONES):
        world.replace_host(_host(world, rng), rng.choice([0.01, 1.0, 5.0]))


STEPS: tuple[tuple[float, str, Step], ...] = (
    (40, "ask", _ask),
    (14, "race", _race),
    (4, "lose_some", _lose_some),
    (6, "overload", _overload),
    (12, "retransmit", _retransmit),
    (7, "freeze", _freeze),
    (8, "strike", _strike),
    (4, "kill", _kill),
    (6, "restart", _restart),
    (6, "leave", _leave),
    (4, "cut", _cut),
    (5, "disturb", _disturb),
    (6, "shed", _shed),
    (2, "crash_upstream", _crash_upstream),
    (5, "change_view", _change_view),
    (4, "change_roster", _change_roster),
)
_WEIGHTS = [weight for weight, _, _ in STEPS]
PAUSES_S = (0.0, 0.0005, 0.002, 0.01, 0.05, 0.3, 1.0, 2.6)


def run_steps(
    seed: int, steps: typing.Iterable[int], has_disks: bool = False
) -> tuple[World, collections.Counter[str]]:
    """Play the steps with these numbers; return what came of it.

    :param has_disks: hosts that stop as planned leave their memory there
    """
    roster = _request_parts.make_roster(1, list(ZONES))
    world = _request_world.World(seed, roster)
    world.has_disks = has_disks
    faults: collections.Counter[str] = collections.Counter()
    for number in steps:
        rng = random.Random(f"{seed}:{number}")
        _, name, step = rng.choices(STEPS, _WEIGHTS)[0]
        faults[name] += 1
        step(world, rng)
        world.run(rng.choice(PAUSES_S))
    world.run(SETTLE_S)
    return world, faults


def has_violations(seed: int, steps: typing.Iterable[int]) -> bool:
    """Return whether the steps violate a promise."""
    world, _ = run_steps(seed, steps)
    return any(world.violation_counts().values())


def shrink(seed: int, count: int) -> list[int]:
    """Return fewer steps of a broken walk that still break it."""
    steps = list(range(count))
    size = count // 2
    runs = 0
    while size and runs < MAX_SHRINK_RUNS:
        for start in range(0, len(steps), size):
            fewer = steps[:start] + steps[start + size :]
            runs += 1
            if fewer and has_violations(seed, fewer):
                steps = fewer
                break
        else:
            size //= 2
    return steps


def step_names(seed: int, steps: typing.Iterable[int]) -> list[str]:
    """Return the names of steps."""
    return [
        random.Random(f"{seed}:{number}").choices(STEPS, _WEIGHTS)[0][1]
        for number in steps
    ]
