"""Messages between operators and entry hosts, numbers 400 to 449."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks.observe import _histograms

MAX_LINES = 4096
"""Most hosts or upstreams in one status; further ones are left out."""
MAX_PAGE = 16
"""Most histograms in one page, so that it fits a message of a link."""


class PeerState(enum.Enum):
    """State of an entry host in the view of another one."""

    LIVE = "live"
    SUSPECTED = "suspected"
    DEAD = "dead"


class Readiness(enum.Enum):
    """State of an upstream that determines how much new work it gets."""

    READY = "ready"
    RAMPING = "ramping"
    SUSPECT = "suspect"
    BACKED_OFF = "backed-off"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request for a host's view of the fleet."""

    ask: int
    """Number of the request; the answer repeats it."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLine:
    """State of one entry host in the view of another."""

    host: ids.HostId
    """Id of the entry host."""
    zone: ids.ZoneId
    """Availability zone of that host."""
    state: PeerState
    """State in the view of the answering host."""
    since_s: float
    """Time in that state, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLine:
    """State and load of one upstream in the view of a host."""

    upstream: ids.UpstreamId
    """Id of the upstream."""
    customer: ids.CustomerId
    """Customer whose service it runs."""
    service: ids.ServiceId
    """Service that it runs."""
    zone: ids.ZoneId
    """Availability zone of that host."""
    state: Readiness
    """State that determines how much new work it gets."""
    load: float
    """Requests of this host divided by its slots; 1 means all in use."""
    flows: int
    """Number of open flows that this host placed on it."""
    in_flight: int
    """Number of unanswered requests that this host placed on it."""


@dataclasses.dataclass(frozen=True, slots=True)
class CounterLine:
    """Value of one counter since the start of the host."""

    name: str
    """Name of the counter, as in docs/OPERATIONS.md."""
    value: int
    """Total, which never decreases within one incarnation."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """Status of a host and its view of peers and upstreams."""

    ask: int
    """Number of the request that this answers."""
    host: ids.HostId
    """Id of the answering host."""
    zone: ids.ZoneId
    """Availability zone of that host."""
    region: ids.RegionId
    """Region of the answering host."""
    incarnation: ids.Incarnation
    """Number that grows with each start of the host."""
    uptime_s: float
    """Seconds since the start of the host."""
    in_force: ids.Version
    """Version of the contracts in force."""
    in_force_s: float
    """Seconds since that version came into force."""
    draining: bool
    """Whether it is shutting down."""
    open_flows: int
    """Number of flows in its table."""
    in_flight: int
    """Number of requests placed and not yet answered."""
    peers: tuple[PeerLine, ...]
    """The other entry hosts."""
    upstreams: tuple[UpstreamLine, ...]
    """Upstreams in its directory."""
    counters: tuple[CounterLine, ...]
    """Counters that are not zero."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramRequest:
    """Request for one page of a host's histograms."""

    ask: int
    """Number of the request; the answer repeats it."""
    first: int = 0
    """Index of the first series: the number on earlier pages."""
    customer: ids.CustomerId | None = None
    """Return only this customer's series; None returns all."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramPage:
    """One page with at most ``MAX_PAGE`` histograms."""

    ask: int
    """Number of the request that this answers."""
    host: ids.HostId
    """Id of the answering host."""
    snapshots: tuple[_histograms.HistogramSnapshot, ...]
    """Histograms of this page."""
    more: bool
    """Whether another page follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequest:
    """Request that no entry host give an upstream new work."""

    ask: int
    """Number of the request; the answer repeats it."""
    upstream: ids.UpstreamId
    """Upstream to drain; its established flows stay on it."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainAnswer:
    """Result of a ``DrainRequest``."""

    ask: int
    """Number of the request that this answers."""
    code: int
    """``OK``, or ``NO_UPSTREAM`` if it isn't in the host's directory."""
    detail: str
    """Explanation for the operator."""
    flows: int
    """Number of open flows of this host on it."""


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
    """Return the requested page of ``snapshots``."""
    chosen = [
        item for item in snapshots if request.customer in (None, item.customer)
    ]
    start = max(request.first, 0)
    page = tuple(chosen[start : start + MAX_PAGE])
    more = len(chosen) > start + MAX_PAGE
    return HistogramPage(request.ask, host, page, more)
