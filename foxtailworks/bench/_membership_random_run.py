"""Randomised test of membership and directories, for the soak.

Runs with the same seed take the same steps and have the same result.
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


class RandomRun:
    """Takes random steps in a simulated cluster and counts the faults."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._world = _membership_world.World(
            HOSTS, ZONES, REGIONS, ADDRESSES, seed
        )
        self._cluster = self._world.cluster
        self.faults: collections.Counter[str] = collections.Counter()
        self._steps = (
            self._change_network,
            self._kill,
            self._freeze,
            self._leave,
            self._block_one_way,
            self._isolate_zone,
            self._cluster.heal,
            self._start_upstream,
            self._stop_upstream,
            self._drain_upstream,
        )

    def step(self) -> None:
        """Take one random step and advance time by a random wait.

        :raises AssertionError: an invariant is violated
        """
        self._rng.choice(self._steps)()
        self._cluster.run(self._rng.choice(WAITS_S))

    def finish(self) -> None:
        """Heal all faults and check that all hosts agree.

        :raises AssertionError: an invariant is violated
        """
        self._world.converge()

    def _choose_host(self) -> int | None:
        """Return a random running host's number, or None."""
        running = sorted(self._cluster.processes)
        return self._rng.choice(running) if running else None

    def _change_network(self) -> None:
        """Set random loss, duplication and jitter of the network."""
        self._cluster.network = _virtual_cluster.Network(
            loss=self._rng.choice((0.0, 0.1, 0.3)),
            doubled=self._rng.choice((0.0, 0.2)),
            jitter_s=self._rng.choice((0.005, 0.3)),
        )
        self.faults["weather"] += 1

    def _kill(self) -> None:
        """Kill a host; start some of those that are down."""
        number = self._choose_host()
        if number is not None:
            self._cluster.kill(number)
            self.faults["kill"] += 1
        missing = set(range(HOSTS)) - self._cluster.processes.keys()
        for other in sorted(missing):
            if self._rng.random() < 0.5:
                self._cluster.start(other)

    def _freeze(self) -> None:
        """Freeze a random host for ``FREEZE_S``."""
        number = self._choose_host()
        if number is not None:
            self._cluster.freeze(number, FREEZE_S)
            self.faults["freeze"] += 1

    def _leave(self) -> None:
        """Let a random host announce its leave."""
        number = self._choose_host()
        if number is not None:
            self._cluster.leave(number)
            self.faults["leave"] += 1

    def _choose_location(self) -> str:
        """Return the name of a random zone or host."""
        if self._rng.random() < 0.5:
            return f"zone-{self._rng.randrange(ZONES)}"
        return f"host-{self._rng.randrange(HOSTS)}"

    def _block_one_way(self) -> None:
        """Block one direction between two random locations."""
        self._cluster.block(self._choose_location(), self._choose_location())
        self.faults["one_way_cut"] += 1

    def _isolate_zone(self) -> None:
        """Isolate a random zone from all others."""
        number = self._rng.randrange(ZONES)
        for other in range(ZONES):
            if other != number:
                self._cluster.block(f"zone-{number}", f"zone-{other}")
                self._cluster.block(f"zone-{other}", f"zone-{number}")
        self.faults["zone_cut"] += 1

    def _start_upstream(self) -> None:
        """Start an upstream, possibly at the address of another one."""
        number = self._rng.randrange(ADDRESSES)
        self._world.start_upstream(number, self._rng.randrange(2))
        self.faults["upstream_start"] += 1

    def _stop_upstream(self) -> None:
        """Stop an upstream without an announcement."""
        self._world.stop_upstream(self._rng.randrange(ADDRESSES))
        self.faults["upstream_stop"] += 1

    def _drain_upstream(self) -> None:
        """Let a random upstream announce that it drains."""
        running = sorted(self._world.upstreams)
        if running:
            self._world.drain_upstream(self._rng.choice(running))
            self.faults["drain"] += 1


def run_random_steps(seed: int, steps: int) -> dict[str, int]:
    """Take ``steps`` random steps; return the number of faults by kind.

    :raises AssertionError: an invariant is violated
    """
    random_run = RandomRun(seed)
    for _ in range(steps):
        random_run.step()
    random_run.finish()
    return dict(random_run.faults)
