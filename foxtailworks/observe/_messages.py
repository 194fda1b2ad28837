"""What operators ask an entry host, numbers 400 to 449."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks.observe import _histograms

MAX_LINES = 4096
"""Hosts or upstreams in one status; the rest is cut off."""
MAX_PAGE = 16
"""Histograms in one answer, so that it fits a link's message."""


class PeerState(enum.Enum):
    """What a host holds of another entry host."""

    LIVE = "live"
    SUSPECTED = "suspected"
    DEAD = "dead"


class Readiness(enum.Enum):
    """How much new work an upstream gets from a host."""

    READY = "ready"
    RAMPING = "ramping"
    SUSPECT = "suspect"
    BACKED_OFF = "backed-off"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask a host for its view."""

    ask: int
    """Number of the question; the answer repeats it."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLine:
    """One entry host in another's view."""

    host: ids.HostId
    """Which host."""
    zone: ids.ZoneId
    """Its availability zone."""
    state: PeerState
    """What is held of it."""
    since_s: float
    """For how long."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLine:
    """One upstream in a host's view."""

    upstream: ids.UpstreamId
    """Which upstream."""
    customer: ids.CustomerId
    """Whose service it runs."""
    service: ids.ServiceId
    """Which service it runs."""
    zone: ids.ZoneId
    """Its availability zone."""
    state: Readiness
    """How much new work it gets."""
    load: float
    """Share of its slots that requests of this host use; 1 is full."""
    flows: int
    """Open flows that this host placed on it."""
    in_flight: int
    """Requests that this host placed on it, not yet answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class CounterLine:
    """One counter since the start of the host."""

    name: str
    """As in docs/OPERATIONS.md."""
    value: int
    """Never falls in one incarnation."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """A host's view."""

    ask: int
    """Repeats the question's."""
    host: ids.HostId
    """Who answers."""
    zone: ids.ZoneId
    """Its availability zone."""
    region: ids.RegionId
    """Its region."""
    incarnation: ids.Incarnation
    """Grows with each start."""
    uptime_s: float
    """Since its start."""
    in_force: ids.Version
    """Version of the contracts."""
    in_force_s: float
    """For how long that version has been in force."""
    draining: bool
    """Whether it is shutting down."""
    open_flows: int
    """Flows that it remembers."""
    in_flight: int
    """Requests placed and not yet answered."""
    peers: tuple[PeerLine, ...]
    """The other entry hosts."""
    upstreams: tuple[UpstreamLine, ...]
    """The upstreams that it knows."""
    counters: tuple[CounterLine, ...]
    """Those that aren't zero."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramRequest:
    """Ask a host for one page of its histograms."""

    ask: int
    """Number of the question; the answer repeats it."""
    first: int = 0
    """How many series the earlier pages held."""
    customer: ids.CustomerId | None = None
    """Only this customer's series."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramPage:
    """At most ``MAX_PAGE`` series."""

    ask: int
    """Repeats the question's."""
    host: ids.HostId
    """Who answers."""
    snapshots: tuple[_histograms.HistogramSnapshot, ...]
    """The series."""
    more: bool
    """Whether another page follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequest:
    """Give an upstream no new work, on all entry hosts."""

    ask: int
    """Number of the question; the answer repeats it."""
    upstream: ids.UpstreamId
    """Which upstream; its established flows stay."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainAnswer:
    """Whether the drain is under way."""

    ask: int
    """Repeats the question's."""
    code: int
    """``OK``, or ``NO_UPSTREAM`` when the host doesn't know it."""
    detail: str
    """For the operator."""
    flows: int
    """Open flows that this host has on it."""


HOST_MESSAGES: dict[int, type] = {
    400: StatusRequest,
    401: HostStatus,
    402: HistogramRequest,
    403: HistogramPage,
    404: DrainRequest,
    405: DrainAnswer,
}


def page_of(
    request: HistogramRequest,
    host: ids.HostId,
    snapshots: tuple[_histograms.HistogramSnapshot, ...],
) -> HistogramPage:
    """Return the page of ``snapshots`` that ``request`` asks for."""
    chosen = [
        item for item in snapshots if request.customer in (None, item.customer)
    ]
    start = max(request.first, 0)
    page = tuple(chosen[start : start + MAX_PAGE])
    more = len(chosen) > start + MAX_PAGE
    return HistogramPage(request.ask, host, page, more)
