"""What hosts of a zone save by telling one another of silent upstreams."""

import dataclasses
import random

from foxtailworks.bench import _figure
from foxtailworks.bench import _membership_figures
from foxtailworks.bench import _virtual_cluster
from foxtailworks import ids
from foxtailworks import upstreams


def count_lost(share_suspicions: bool) -> int:
    """Return the requests lost to a dead upstream in its lifetime.

    The zone of the target's size, and its traffic: 77 hosts, each placing
    0.2 requests a second of a service with 11 upstreams.
    """
    config = upstreams.Config(share_suspicions=share_suspicions)
    cluster = _virtual_cluster.Cluster(77, 1, 1, 1, upstream_config=config)
    cluster.start_all()
    cluster.run(10)
    service = ids.ServiceId("service-0")
    rng = random.Random(1)
    chosen = [
        _membership_figures.make_announcement(number, 1)
        for number in range(11)
    ]
    for announcement in chosen:
        announcement = dataclasses.replace(announcement, service=service)
        cluster.announce(rng.randrange(77), announcement)
    cluster.run(60)
    lost = 0
    for _ in range(60 * 10):
        cluster.run(0.1)
        for process in cluster.processes.values():
            if rng.random() < 0.02:
                lost += _place(cluster, process, service, rng, chosen[0].id)
    return lost


def _place(
    cluster: _virtual_cluster.Cluster,
    process: _virtual_cluster.Process,
    service: ids.ServiceId,
    rng: random.Random,
    dead: ids.UpstreamId,
) -> bool:
    """Place one request; tell whether it went to the dead upstream."""
    directory = process.directory
    found = directory.candidates(
        _membership_figures.CUSTOMER, service, cluster.now
    )
    weights = [item.weight for item in found]
    upstream_id = rng.choices(found, weights)[0].id
    directory.on_placed(upstream_id, cluster.now)
    is_lost = upstream_id == dead
    outcomes = upstreams.Outcome
    outcome = outcomes.SILENT if is_lost else outcomes.ANSWERED
    cluster.later(
        1.0 if is_lost else 0.01,
        lambda: directory.record_outcome(
            upstream_id, outcome, 1_000.0 if is_lost else 10.0, cluster.now
        ),
    )
    return is_lost


def measure_doubts() -> _figure.Figure:
    """Return what sharing doubts about an upstream saves."""
    return _figure.Figure(
        "membership_requests_lost_to_a_dead_upstream",
        count_lost(share_suspicions=True),
        "requests",
        baseline=count_lost(share_suspicions=False),
    )
