"""Ways to choose an upstream that docs/design/load-view.md compares.

Run as a program, it plays them and prints the rows of that page's table::

    python -m foxtailworks.steering.tests.load_tries 4
"""

import contextlib
import dataclasses
import sys

from foxtailworks import polling
from foxtailworks.steering import _load_view
from foxtailworks.steering.tests import load_model


def load_per_slot(view, pair):
    return view.load(pair[0].instance.key) / pair[0].instance.slots


class Drawn(_load_view.LoadView):
    """The less loaded of some candidates that are drawn at random."""

    COUNT = 2

    def _pick(self, usable):
        drawn = self._rng.sample(usable, min(self.COUNT, len(usable)))
        return min(drawn, key=lambda pair: load_per_slot(self, pair))[0]


class ThreeDrawn(Drawn):
    COUNT = 3


class ByPower(_load_view.LoadView):
    """Weights by a power of the free capacity."""

    POWER = 1

    def _pick(self, usable):
        weights = [room**self.POWER for _, room in usable]
        return self._rng.choices(usable, weights)[0][0]


class BySquare(ByPower):
    POWER = 2


class Cut(_load_view.LoadView):
    """Weights by free capacity, upstreams with 7 or more requests last."""

    def _pick(self, usable):
        weights = [room if room > 3 else 0.02 for _, room in usable]
        return self._rng.choices(usable, weights)[0][0]


class Least(_load_view.LoadView):
    """The least loaded in the view, at random among equals."""

    def _pick(self, usable):
        least = min(load_per_slot(self, pair) for pair in usable)
        return self._rng.choice(
            [
                item
                for item, _ in usable
                if load_per_slot(self, (item, 0)) <= least
            ]
        )


class WithoutOwn(ByPower):
    """By the view alone, without own flows since."""

    def load(self, key):
        return self._seen.get(key, 0)


class StaysInZone(ByPower):
    def _draw_zone(self, usable, candidates):
        return self._zone


class AnyZone(ByPower):
    def _draw_zone(self, usable, candidates):
        return None


def with_config(base=ByPower, **changes):
    """Return a view with other settings."""

    def make(flows, tokens, zone, rng, config):
        return base(
            flows, tokens, zone, rng, dataclasses.replace(config, **changes)
        )

    return make


@contextlib.contextmanager
def exchange_of(interval_s, report_after_s):
    """Use other intervals of reports and views."""
    before = polling.LOAD_INTERVAL_S, polling.REPORT_AFTER_S
    polling.LOAD_INTERVAL_S, polling.REPORT_AFTER_S = (
        interval_s,
        report_after_s,
    )
    yield
    polling.LOAD_INTERVAL_S, polling.REPORT_AFTER_S = before


TRIES = {
    "own counts": None,
    "fewest own, room from 0.2 to 1": _load_view.LoadView,
    "room": ByPower,
    "two drawn": Drawn,
    "three drawn": ThreeDrawn,
    "square of room": BySquare,
    "room, cut at 7": Cut,
    "least loaded": Least,
    "room, without own": WithoutOwn,
    "room, stays in zone": StaysInZone,
    "room, any zone": AnyZone,
    "room, step 0.1": with_config(zone_share_step=0.1),
    "room, excess 0.1": with_config(kept_zone_excess=0.1),
    "room, views of 0.1 s": ByPower,
    "taken, views of 0.1 s": _load_view.LoadView,
}


def row_of(played):
    """Return the figures of one play."""
    zones = played.zone_shares()
    return [
        played.share_in_time(),
        played.share_in_time(phase="rush"),
        played.share_in_time(phase="slow"),
        *zones,
        max(zones) - min(zones),
        played.share_in_time(kind=load_model.FEED),
        played.share_in_time(kind=load_model.VOTE),
        played.met_full["rush"],
        played.met_full["slow"],
        sum(played.met_full.values()),
        played.crossed / played.attempts,
    ]


def play(name, seed):
    """Play one way to choose, or the limit."""
    if name == "limit":
        return load_model.Limit(seed).run()
    is_fast = name.endswith("0.1 s")
    with exchange_of(0.1, 0.03) if is_fast else contextlib.nullcontext():
        return load_model.Placed(seed, TRIES[name]).run()


def main():
    seeds = range(int(sys.argv[1]))
    for name in sys.argv[2:] or ["limit", *TRIES]:
        rows = [row_of(play(name, seed)) for seed in seeds]
        means = [sum(column) / len(rows) for column in zip(*rows)]
        shown = " | ".join(
            f"{value:.0f}" if value > 1 else f"{value:.3f}" for value in means
        )
        least = min(row[0] for row in rows)
        print(f"| {name} | {shown} | {least:.3f} |", flush=True)


if __name__ == "__main__":
    main()
