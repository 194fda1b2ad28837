"""Destinations of callers and the services behind them."""

import dataclasses
import enum

from foxtailworks import errors
from foxtailworks import ids


class RequestKind(enum.Enum):
    """What may be done again."""

    IDEMPOTENT = 0
    NON_IDEMPOTENT = 1
    DOWNLOAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service's part of the new flows of a route."""

    service: ids.ServiceId
    """Which service."""
    weight: int
    """Relative to the other shares."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A destination of callers."""

    destination: ids.Address
    """What callers send to."""
    shares: tuple[Share, ...]
    """Where new flows go."""
    kind: RequestKind
    """Kind of the requests inside."""
    timeout_ms: int
    """A request takes no longer."""
    target_ms: int
    """Time to an answer that callers are content with."""
    priority: int
    """0 is served first."""

    def __post_init__(self) -> None:
        """Refuse a route that leads nowhere."""
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
    """Grows with each change."""
    routes: tuple[Route, ...]
    """One for each destination."""
    idle_timeout_ms: int
    """A flow without a packet for so long may be forgotten."""

    def __post_init__(self) -> None:
        """Refuse two routes for one destination."""
        if len({i.destination for i in self.routes}) != len(self.routes):
            raise errors.FoxtailError(
                errors.Code.CONTRACT_INVALID,
                "two routes share one destination",
            )
