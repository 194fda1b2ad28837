"""Actions that the membership core asks for and events that it tells."""

import dataclasses

from foxtailworks import ids
from foxtailworks.membership import _host


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send ``msg`` as one datagram; it may be lost."""

    to: ids.Address
    """Receiver."""
    msg: object
    """One of the message types of the sender's package."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostChanged:
    """A host joined, changed its state or came back."""

    host: _host.Host
    """The claim now held."""
    state: _host.HostState
    """Its state."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChanged:
    """An availability zone was cut off or is reached again."""

    zone: ids.ZoneId
    """The other availability zone."""
    reachable: bool
    """Whether its hosts count as live."""


@dataclasses.dataclass(frozen=True, slots=True)
class IsolationChanged:
    """This host stopped or started to hear others."""

    isolated: bool
    """While true no other host counts as live."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredDead:
    """Others held this host dead; it re-joins under a new incarnation."""

    record: _host.Host
    """What they claimed."""
    incarnation: ids.Incarnation
    """The incarnation that ends the claim."""


Event = HostChanged | ZoneChanged | IsolationChanged | DeclaredDead
