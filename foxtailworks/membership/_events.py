"""Actions and events that the membership core returns to its caller."""

import dataclasses

from foxtailworks import ids
from foxtailworks.membership import _host


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Request to send ``msg`` as one datagram, which may be lost."""

    to: ids.Address
    """Address of the receiver."""
    msg: object
    """Message of a type in the sending package's ``MESSAGES``."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostChanged:
    """Event that a host joined, changed its state or came back."""

    host: _host.Host
    """Current record of the host."""
    state: _host.HostState
    """State in that record."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChanged:
    """Event that an availability zone became unreachable or reachable."""

    zone: ids.ZoneId
    """Availability zone other than the own one."""
    reachable: bool
    """Whether the zone's hosts count as live."""


@dataclasses.dataclass(frozen=True, slots=True)
class IsolationChanged:
    """Event that this host lost or regained contact with all others."""

    isolated: bool
    """Whether contact is lost; no other host counts as live then."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredDead:
    """Event that other hosts declared this one dead; it joins again."""

    record: _host.Host
    """Record of this host that the others spread."""
    incarnation: ids.Incarnation
    """Own incarnation, which refutes that record."""


Event = HostChanged | ZoneChanged | IsolationChanged | DeclaredDead
