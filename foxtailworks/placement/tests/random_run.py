"""Walks the state machine of test_placer.py by seed, without Hypothesis.

Example::

    python -m foxtailworks.placement.tests.random_run 0 100
"""

import random
import sys

from foxtailworks.placement.tests import test_placer

STEPS = 14


def steps_of(rng):
    """Return what may be done, with arguments as the rules draw them."""
    many = test_placer.MAX_HOSTS
    return (
        ("spray", lambda m: m.spray(rng.randint(1, 30))),
        ("idle", lambda m: m.idle(rng.choice((0.2, 2.0, 40.0)))),
        ("join", lambda m: m.join()),
        ("leave", lambda m: m.leave(rng.randint(0, many))),
        ("drain", lambda m: m.drain(rng.randint(0, 9))),
        ("add", lambda m: m.add(rng.randint(0, 7))),
        ("weigh", lambda m: m.weigh(rng.randint(0, 9), rng.choice((0.5, 3)))),
        ("crash_upstream", lambda m: m.crash_upstream(rng.randint(0, 9))),
        (
            "crash_host",
            lambda m: m.crash_host(rng.randint(0, many), rng.random() < 0.5),
        ),
    )


def run(seed):
    """Take the steps of a seed; return them and what was broken."""
    rng = random.Random(seed)
    machine = test_placer.Flows()
    taken = []
    try:
        for _ in range(STEPS):
            name, step = rng.choice(steps_of(rng))
            taken.append(name)
            step(machine)
            machine.is_bounded()
            machine.hops_are_few()
    except AssertionError as exc:
        return taken, str(exc)
    return taken, ""


def main(first, last):
    """Walk each seed; return how many broke a promise."""
    broken = 0
    for seed in range(first, last):
        taken, what = run(seed)
        if what:
            broken += 1
            print(f"seed {seed}: {what}: {' '.join(taken)}", flush=True)
    print(f"{last - first} walks, {broken} broken")
    return broken


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]))))
