"""Services of the users' sheets, for models of the choice of upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request to the service."""

    name: str
    """Name of the kind, as on the users' sheets."""
    share: float
    """Share of all requests to the service."""
    work_s: float
    """Mean service time in seconds."""
    target_s: float
    """Longest acceptable time to an answer, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """The busiest service of one user."""

    name: str
    """Name of the user."""
    hosts: int
    """Number of edge hosts."""
    upstreams: int
    """Number of upstreams of the service."""
    slots: int
    """Number of requests that each upstream runs at once."""
    kinds: tuple[RequestKind, ...]
    """Kinds of requests that callers send."""


WORKLOADS = (
    Workload(
        "huaylas",
        6,
        7,
        3,
        (
            RequestKind("route-list", 0.78, 0.055, 0.250),
            RequestKind("walk-checkin", 0.22, 0.072, 0.300),
        ),
    ),
    Workload(
        "balans",
        7,
        7,
        2,
        (
            RequestKind("slot-look", 0.78, 0.015, 0.100),
            RequestKind("book-conf", 0.22, 0.020, 0.120),
        ),
    ),
    # A host sees half a percent of the flows.
    Workload(
        "large",
        194,
        117,
        2,
        (
            RequestKind("route-list", 0.78, 0.055, 0.500),
            RequestKind("walk-checkin", 0.22, 0.072, 0.600),
        ),
    ),
)
