"""Inputs, decisions and counters of the placement of flows."""

import dataclasses
import enum
import typing

from foxtailworks import errors
from foxtailworks import ids


class HostState(enum.Enum):
    """State of an entry host that is alive; a live one may own flows."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """An entry host in this host's view; dead hosts aren't listed."""

    host: ids.HostId
    """Name of the host; the same after a restart."""
    zone: ids.ZoneId
    """Its availability zone."""
    state: HostState = HostState.LIVE
    """A leaving host still serves its old flows and owns no new ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """An upstream in this host's view; dead upstreams aren't listed."""

    upstream: ids.UpstreamId
    """Address and incarnation; never reused for another process."""
    service: ids.ServiceId
    """The only service whose packets it may receive."""
    zone: ids.ZoneId
    """Its availability zone."""
    weight: float = 1.0
    """Relative share of the service's flows; 0 while it drains."""
    accepts_new: bool = True
    """Whether new flows may be placed there now."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementConfig:
    """Limits, budgets and timeouts of the placement of flows."""

    flow_idle_s: float = 300.0
    """Seconds without a packet in either direction that end a flow."""
    max_flows: int = 200_000
    """Maximum number of entries in the table of flows."""
    max_received_flows: int = 200_000
    """Maximum number of assignments stored for flows of other hosts."""
    control_bytes_per_s: float = 2000.0
    """Budget for control messages of this host, in bytes per second."""
    control_burst_bytes: float = 4000.0
    """Unused budget that may accumulate, in bytes."""
    handover_s: float = 15.0
    """Seconds in which a new owner relays unknown flows to the last one."""
    refresh_s: float = 60.0
    """Seconds between scans that remove ended flows from the digests."""
    scan_per_tick: int = 4000
    """Entries of the flow table that one tick scans."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Send the packet to an upstream."""

    upstream: ids.UpstreamId
    """The upstream that the flow is assigned to."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayTo:
    """Relay the packet to another entry host."""

    host: ids.HostId
    """Owner of the flow, or a host that may have its assignment."""
    hops: int
    """Relays so far; sent with the packet as the receiver's ``hops``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Drop the packet and count it as refused."""

    code: errors.Code
    """Reason for the refusal."""


Decision: typing.TypeAlias = Deliver | RelayTo | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a control message to another entry host."""

    host: ids.HostId
    """Host that receives the message."""
    message: typing.Any
    """An instance of one of the types in :data:`MESSAGES`."""


@dataclasses.dataclass(slots=True)
class PlacerCounts:
    """Counters of one placer since its start, for metrics."""

    placed: int = 0
    """Flows added to the table."""
    reassigned: int = 0
    """Flows assigned to another upstream because theirs was gone."""
    untracked: int = 0
    """Packets placed without an entry because the table was full."""
    refused: int = 0
    """Packets refused for lack of an upstream or by a limit."""
    relayed: int = 0
    """Packets relayed to another host."""
