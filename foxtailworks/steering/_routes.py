"""Routes from callers' destinations to services."""

import dataclasses
import enum

from foxtailworks import errors
from foxtailworks import ids


class RequestKind(enum.Enum):
    """Whether a request may be repeated."""

    IDEMPOTENT = 0
    NON_IDEMPOTENT = 1
    DOWNLOAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The share of a route's new flows that a service gets."""

    service: ids.ServiceId
    """Service that gets the flows."""
    weight: int
    """Weight relative to the route's other shares."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A destination address of callers and the services behind it."""

    destination: ids.Address
    """Address that callers send to."""
    shares: tuple[Share, ...]
    """Services that get new flows, by weight."""
    kind: RequestKind
    """Kind of the requests inside the flows."""
    timeout_ms: int
    """Timeout of a request in milliseconds."""
    target_ms: int
    """Target latency of an answer in milliseconds."""
    priority: int
    """Priority of the requests; 0 is served first."""

    def __post_init__(self) -> None:
        """Reject a route without a positive weight or timeout."""
        total = sum(item.weight for item in self.shares)
        if total <= 0 or any(item.weight < 0 for item in self.shares):
            raise errors.FoxtailError(
                errors.Code.CONTRACT_INVALID,
                "a route needs a service with a positive weight",
                destination=self.destination,
            )
        if self.timeout_ms <= 0:
            raise errors.FoxtailError(
                errors.Code.CONTRACT_INVALID,
                "a route's timeout must be positive",
                destination=self.destination,
            )


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes as of one revision."""

    revision: int
    """Number that grows with each change."""
    routes: tuple[Route, ...]
    """Routes, one for each destination."""
    idle_timeout_ms: int
    """Time without a packet after which a flow may be discarded."""
    services: frozenset[ids.ServiceId] = dataclasses.field(
        default=frozenset(), compare=False
    )
    """Services that the document names; not sent to hosts."""

    def __post_init__(self) -> None:
        """Reject two routes for one destination."""
        if len({i.destination for i in self.routes}) != len(self.routes):
            raise errors.FoxtailError(
                errors.Code.CONTRACT_INVALID,
                "two routes share one destination",
            )

    def named_services(self) -> frozenset[ids.ServiceId]:
        """Return the services of the document and of its routes."""
        return self.services | {
            share.service for route in self.routes for share in route.shares
        }
