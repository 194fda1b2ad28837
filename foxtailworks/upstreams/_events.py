"""Events that the directory tells."""

import dataclasses

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.upstreams import _record


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """An upstream came, changed or went."""

    id: ids.UpstreamId
    """The process in question."""
    upstream: _record.Upstream
    """Its record."""
    takes_work: bool
    """Whether new work may go to it."""
    is_open: bool
    """Whether established work may go on; once false it stays so for good,
    but for one that announces itself again after it had expired."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementRefused:
    """The answer to an announcement that wasn't taken in."""

    code: errors.Code
    """``UPSTREAM_SUPERSEDED`` or ``TABLE_FULL``."""
    address: ids.Address
    """The address in question."""
    incarnation: ids.Incarnation
    """The incarnation that the upstream has to exceed."""
