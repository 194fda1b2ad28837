"""Random runs of the state machine of test_placer.py by seed.

Example::

    python -m foxtailworks.placement.tests.random_run 0 100
"""

import random
import sys

from foxtailworks.placement.tests import test_placer

STEPS = 14


def steps_of(rng):
    """Return name and call of each rule, with arguments drawn alike."""
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
    """Run the steps of a seed; return their names and the failure."""
    rng = random.Random(seed)
    machine = test_placer.Flows()
    steps = []
    try:
        for _ in range(STEPS):
            name, step = rng.choice(steps_of(rng))
            steps.append(name)
            step(machine)
            machine.is_bounded()
            machine.hops_are_few()
    except AssertionError as exc:
        return steps, str(exc)
    return steps, ""


def main(first, last):
    """Run each seed; return the number of failed runs."""
    failed = 0
    for seed in range(first, last):
        steps, failure = run(seed)
        if failure:
            failed += 1
            print(f"seed {seed}: {failure}: {' '.join(steps)}", flush=True)
    print(f"{last - first} runs, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]))))
