"""Messages between hosts that move shares of limits by leases."""

import dataclasses

from foxtailworks import ids
from foxtailworks import wire

MAX_MESSAGE_BYTES = 1200


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request for a lease of a part of the receiver's share."""

    customer: ids.CustomerId
    service: ids.ServiceId
    resource: int
    """Value of the :class:`Resource` that is limited."""
    number: int
    """Id of the request, and of the lease that is granted for it."""
    amount: float
    renews: int = 0
    """Id of the lease that is renewed; 0 for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Lease of a part of the sender's share, already deducted there."""

    customer: ids.CustomerId
    service: ids.ServiceId
    resource: int
    number: int
    amount: float
    renews: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReturn:
    """Return of a lease that the sender has stopped using."""

    customer: ids.CustomerId
    service: ids.ServiceId
    resource: int
    number: int


Message = LeaseRequest | LeaseGrant | LeaseReturn

# Message types by their number on the wire, from 300 to 349.
MESSAGES: dict[int, type] = {
    300: LeaseRequest,
    301: LeaseGrant,
    302: LeaseReturn,
}


def make_codec() -> wire.Codec:
    """Return a codec for these messages only."""
    return wire.Codec(MESSAGES, MAX_MESSAGE_BYTES)
