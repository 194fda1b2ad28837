"""What coordinators and edge hosts say to one another, as datagrams."""

import dataclasses

from foxtailworks import agreement
from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """A coordinator tells the others that it is there."""

    keeper: ids.KeeperId
    """Identity on its disk."""
    name: str
    """Name of its host."""
    zone: ids.ZoneId
    """Its availability zone."""
    address: ids.Address
    """Where it listens."""
    group: str
    """Group on its disk; empty while it has none."""
    founder: bool
    """The whole system starts for the first time."""
    session: int
    """Differs at each start."""
    known: tuple[ids.Address, ...]
    """Coordinators that it has heard lately."""


@dataclasses.dataclass(frozen=True, slots=True)
class Agreed:
    """A message of the agreement, between two identities."""

    src: ids.KeeperId
    """Sender."""
    dst: ids.KeeperId
    """Receiver; after the loss of a disk another identity lives there."""
    body: bytes
    """In the agreement's own encoding."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeats:
    """Heartbeats of instances that one coordinator took."""

    heard: tuple[discovery.RelayedHeartbeat, ...]
    """Newest of each instance."""


CODEC = wire.Codec(
    {1: Presence, 2: Agreed, 3: Heartbeats, **polling.MESSAGES},
    limit=4 << 20,
)

AGREEMENT = wire.Codec(agreement.MESSAGES, limit=4 << 20)
