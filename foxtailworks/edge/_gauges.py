"""Gauges of an edge host, read when its metrics are scraped."""

import typing

from foxtailworks import polling
from foxtailworks import steering

Gauges: typing.TypeAlias = dict[str, tuple[str, float]]
"""Help text and value by name."""


def of_steering(decider: steering.Steering) -> Gauges:
    """Return the gauges of routes, flows and evacuations."""
    eligibility = decider.eligibility
    return {
        "revision": ("Routes in force.", float(decider.revision)),
        "flows": ("Flows remembered.", float(decider.flow_count)),
        "waiting": (
            "Packets that wait for their upstream or for room.",
            float(decider.waiting_count),
        ),
        "evacuated_zones": (
            "Zones whose upstreams get no new flows.",
            float(len(eligibility.zones)),
        ),
        "evacuation_number": (
            "Evacuation in force.",
            float(eligibility.number),
        ),
    }


def of_transfers(transfers: polling.Transfers) -> Gauges:
    """Return the gauges of large answers."""
    return {
        "parts_outstanding": (
            "Parts of large answers granted or requested.",
            float(transfers.outstanding),
        ),
        "parts_repeated": (
            "Parts of large answers requested again.",
            float(transfers.repeated_count),
        ),
        "answers_abandoned": (
            "Large answers given up before all parts had come.",
            float(transfers.abandoned_count),
        ),
    }
