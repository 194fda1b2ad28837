"""Messages and spread records of the directory."""

import dataclasses
import typing

from foxtailworks import ids
from foxtailworks.upstreams import _record
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """An unchanged announcement, passed to the host that holds it."""

    address: ids.Address
    """Address of the upstream."""
    incarnation: ids.Incarnation
    """Incarnation that announced itself."""
    load: float | None
    """Reported load."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A host found an upstream silent, or found it answering again."""

    reporter: ids.HostId
    """The host that found it."""
    sequence: int
    """Grows with each word of this host."""
    upstream: ids.UpstreamId
    """The upstream in question."""
    doubted: bool
    """False takes an earlier doubt back."""


MESSAGES: typing.Final[dict[int, type]] = {150: Renew}

ITEMS: typing.Final[dict[int, type]] = {
    170: _record.Upstream,
    171: Suspicion,
}

ITEM_LIMIT_BYTES = 600

CODEC = wire.Codec(ITEMS, limit=ITEM_LIMIT_BYTES)
