"""A random walk over membership and directories, for the soak.

The same seed takes the same steps and comes to the same verdict.
"""

import collections
import random

from foxtailworks.bench import _membership_world
from foxtailworks.bench import _virtual_cluster

HOSTS = 7
ZONES = 3
REGIONS = 2
ADDRESSES = 4
WAITS_S = (0.3, 2.0, 8.0, 25.0)
FREEZE_S = 30.0


class Walk:
    """Takes random steps in a world and counts the faults."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._world = _membership_world.World(
            HOSTS, ZONES, REGIONS, ADDRESSES, seed
        )
        self._cluster = self._world.cluster
        self.faults: collections.Counter[str] = collections.Counter()
        self._steps = (
            self._weather,
            self._kill,
            self._freeze,
            self._leave,
            self._cut,
            self._cut_zone,
            self._cluster.heal,
            self._start_upstream,
            self._stop_upstream,
            self._drain_upstream,
        )

    def step(self) -> None:
        """Do one random thing and let some time pass.

        :raises AssertionError: a promise is broken
        """
        self._rng.choice(self._steps)()
        self._cluster.run(self._rng.choice(WAITS_S))

    def finish(self) -> None:
        """Heal everything and check that all agree.

        :raises AssertionError: a promise is broken
        """
        self._world.converge()

    def _host(self) -> int | None:
        """Return a running host, if there is one."""
        running = sorted(self._cluster.processes)
        return self._rng.choice(running) if running else None

    def _weather(self) -> None:
        """Let the network get better or worse."""
        self._cluster.network = _virtual_cluster.Network(
            loss=self._rng.choice((0.0, 0.1, 0.3)),
            doubled=self._rng.choice((0.0, 0.2)),
            jitter_s=self._rng.choice((0.005, 0.3)),
        )
        self.faults["weather"] += 1

    def _kill(self) -> None:
        """Kill a host; start it, or another one, again."""
        number = self._host()
        if number is not None:
            self._cluster.kill(number)
            self.faults["kill"] += 1
        missing = set(range(HOSTS)) - self._cluster.processes.keys()
        for other in sorted(missing):
            if self._rng.random() < 0.5:
                self._cluster.start(other)

    def _freeze(self) -> None:
        """Stop a host for a while."""
        number = self._host()
        if number is not None:
            self._cluster.freeze(number, FREEZE_S)
            self.faults["freeze"] += 1

    def _leave(self) -> None:
        """Let a host leave."""
        number = self._host()
        if number is not None:
            self._cluster.leave(number)
            self.faults["leave"] += 1

    def _place(self) -> str:
        """Return the name of a zone or a host."""
        if self._rng.random() < 0.5:
            return f"zone-{self._rng.randrange(ZONES)}"
        return f"host-{self._rng.randrange(HOSTS)}"

    def _cut(self) -> None:
        """Cut one direction."""
        self._cluster.block(self._place(), self._place())
        self.faults["one_way_cut"] += 1

    def _cut_zone(self) -> None:
        """Cut a zone off."""
        number = self._rng.randrange(ZONES)
        for other in range(ZONES):
            if other != number:
                self._cluster.block(f"zone-{number}", f"zone-{other}")
                self._cluster.block(f"zone-{other}", f"zone-{number}")
        self.faults["zone_cut"] += 1

    def _start_upstream(self) -> None:
        """Start an upstream, perhaps at the address of another one."""
        number = self._rng.randrange(ADDRESSES)
        self._world.start_upstream(number, self._rng.randrange(2))
        self.faults["upstream_start"] += 1

    def _stop_upstream(self) -> None:
        """End an upstream without a word."""
        self._world.stop_upstream(self._rng.randrange(ADDRESSES))
        self.faults["upstream_stop"] += 1

    def _drain_upstream(self) -> None:
        """Drain an upstream."""
        running = sorted(self._world.upstreams)
        if running:
            self._world.drain_upstream(self._rng.choice(running))
            self.faults["drain"] += 1


def run_random_steps(seed: int, steps: int) -> dict[str, int]:
    """Take ``steps`` random steps; return the faults by kind.

    :raises AssertionError: a promise is broken
    """
    taken = Walk(seed)
    for _ in range(steps):
        taken.step()
    taken.finish()
    return dict(taken.faults)
