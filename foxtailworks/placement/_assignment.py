"""Assignment of a flow to an upstream, as hosts exchange it."""

import dataclasses

from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Upstream that a group of flows is assigned to."""

    upstream: ids.UpstreamId
    """Empty if it is the default upstream of the computed table."""
    upstreams_hash: int = 0
    """Hash of the set of upstreams that the table is computed from."""
    is_indirect: bool = False
    """Whether the sender has received it from a third host."""


def default_assignment(upstreams_hash: int) -> Assignment:
    """Return the assignment of flows to their default upstream."""
    return Assignment(ids.UpstreamId(""), upstreams_hash)


Assignments = dict[int, Assignment]
"""Fingerprint -> assignment of the flow."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewHashes:
    """Hashes of the views that a generation of digests refers to."""

    hosts_hash: int
    """Hash of the live and leaving hosts."""
    upstreams_hash: int
    """Hash of the set of upstreams."""
