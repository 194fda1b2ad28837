"""Where a flow stands, in the short form that hosts tell one another."""

import dataclasses

from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Where some flows stand."""

    upstream: ids.UpstreamId
    """Empty: where the computed table says."""
    view: int = 0
    """Set of upstreams of that table; 0: the sender's latest goal."""
    is_hearsay: bool = False
    """Whether the sender has it from a third host."""


AT_BASE = Standing(ids.UpstreamId(""))
"""Where the table of the sender's latest goal says."""

Marks = dict[int, Standing]
"""Fingerprint -> where the flow stands."""


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """What a whole generation of digests refers to."""

    hosts: int
    """Hash of the view of hosts."""
    upstreams: int
    """Hash of the set of upstreams."""
