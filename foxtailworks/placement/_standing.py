"""Where a flow stands, in the short form that hosts tell one another."""

import dataclasses

from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Where some flows stand."""

    upstream: ids.UpstreamId
    """Empty: where the computed table says."""
    view: int = 0
    """Hash of the set of upstreams that this table is made of."""
    is_indirect: bool = False
    """Whether the sender has it from a third host."""


def at_base(view: int) -> Standing:
    """Return the standing of flows that stand where a table says."""
    return Standing(ids.UpstreamId(""), view)


Marks = dict[int, Standing]
"""Fingerprint -> where the flow stands."""


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """What a whole generation of digests refers to."""

    hosts: int
    """Hash of the view of hosts."""
    upstreams: int
    """Hash of the set of upstreams."""
