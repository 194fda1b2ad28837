"""What goes into the placement cores and what comes out."""

import dataclasses
import enum
import typing

from foxtailworks import errors
from foxtailworks import ids


class HostState(enum.Enum):
    """Whether a host may own flows."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """One entry host as this host sees it; a dead host isn't listed."""

    host: ids.HostId
    """Name of the host; the same after a restart."""
    zone: ids.ZoneId
    """Its availability zone."""
    state: HostState = HostState.LIVE
    """A leaving host answers for its old flows and owns no new ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """One upstream as this host sees it; a dead upstream isn't listed."""

    upstream: ids.UpstreamId
    """Address and incarnation; never used again for another process."""
    service: ids.ServiceId
    """The only service whose packets it may get."""
    zone: ids.ZoneId
    """Its availability zone."""
    weight: float = 1.0
    """Share of the service's flows; 0 while it drains."""
    accepts_new: bool = True
    """Whether new flows may be placed there now."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementConfig:
    """Limits and times of the placement of flows."""

    flow_idle_s: float = 300.0
    """A flow without a packet in either direction for so long ended."""
    max_flows: int = 200_000
    """Entries in the table of flows."""
    max_received_flows: int = 200_000
    """Exceptions of other hosts kept here."""
    control_bytes_per_s: float = 2000.0
    """Budget for control messages of this host."""
    control_burst_bytes: float = 4000.0
    """Unused budget that may be saved up."""
    handover_s: float = 15.0
    """How long a new owner relays unknown flows to the previous one."""
    refresh_s: float = 60.0
    """How often ended flows are taken out of the digests."""
    scan_per_tick: int = 4000
    """Entries looked at in one tick."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Send the packet to an upstream."""

    upstream: ids.UpstreamId
    """Where the flow stands."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayTo:
    """Pass the packet to another entry host."""

    host: ids.HostId
    """Owner of the flow, or the host that knows it."""
    hops: int
    """Passed on with the packet; the receiver's ``hops``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Drop the packet and count it."""

    code: errors.Code
    """Why."""


Decision: typing.TypeAlias = Deliver | RelayTo | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a control message to another entry host."""

    host: ids.HostId
    """Receiver."""
    message: typing.Any
    """One of :data:`MESSAGES`."""


@dataclasses.dataclass(slots=True)
class PlacerCounts:
    """What happened so far, for metrics."""

    placed: int = 0
    """Flows entered into the table."""
    reassigned: int = 0
    """Flows moved because their upstream was gone."""
    untracked: int = 0
    """Packets placed without an entry because the table was full."""
    refused: int = 0
    """Packets without an upstream."""
    relayed: int = 0
    """Packets passed to another host."""
