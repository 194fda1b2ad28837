"""Events that the directory returns to its caller."""

import dataclasses

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.upstreams import _record


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """Event that an upstream appeared, changed or ended."""

    id: ids.UpstreamId
    """Id of the upstream's process."""
    upstream: _record.Upstream
    """Current record of the upstream."""
    takes_work: bool
    """Whether it may get new work."""
    is_open: bool
    """Whether established work may continue. It becomes true again only for
    an expired upstream that announces itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementRefused:
    """Answer to an announcement that was rejected."""

    code: errors.Code
    """``UPSTREAM_SUPERSEDED`` or ``TABLE_FULL``."""
    address: ids.Address
    """Address of the upstream."""
    incarnation: ids.Incarnation
    """Incarnation that the upstream must exceed; 0 if the table is full."""
