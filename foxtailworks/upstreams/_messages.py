"""Messages and replicated records of the directory."""

import dataclasses
import typing

from foxtailworks import ids
from foxtailworks.upstreams import _record
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Renewal of an upstream's lifetime, sent to its holder.

    It stands for an announcement that changes nothing in the record.
    """

    address: ids.Address
    """Address of the upstream."""
    incarnation: ids.Incarnation
    """Incarnation that announced itself."""
    load: float | None
    """Reported share of slots in use, 0 to 1."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Report that a host suspects an upstream, or no longer does."""

    reporter: ids.HostId
    """Host that makes the report."""
    sequence: int
    """Number that grows with each report of this host."""
    upstream: ids.UpstreamId
    """Upstream that the report is about."""
    suspected: bool
    """Whether it is suspected; false clears an earlier suspicion."""


MESSAGES: typing.Final[dict[int, type]] = {150: Renew}

ITEMS: typing.Final[dict[int, type]] = {
    170: _record.Upstream,
    171: Suspicion,
}

ITEM_LIMIT_BYTES = 600

CODEC = wire.Codec(ITEMS, limit=ITEM_LIMIT_BYTES)
