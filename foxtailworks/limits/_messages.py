"""What hosts tell one another about shares of limits."""

import dataclasses

from foxtailworks import ids
from foxtailworks import wire

MAX_MESSAGE_BYTES = 1200


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks a host to lend a part of its share."""

    customer: ids.CustomerId
    service: ids.ServiceId
    resource: int
    """Number of the resource that is limited."""
    number: int
    """Names the question and the lease that answers it."""
    amount: float
    renews: int = 0
    """Number of the lease that this one follows; 0 for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Lends a part of the sender's share; the sender has lowered its own."""

    customer: ids.CustomerId
    service: ids.ServiceId
    resource: int
    number: int
    amount: float
    renews: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReturn:
    """Gives a lease back; the sender has stopped using it."""

    customer: ids.CustomerId
    service: ids.ServiceId
    resource: int
    number: int


Message = LeaseRequest | LeaseGrant | LeaseReturn

# Numbers 300 to 349 on the wire.
MESSAGES: dict[int, type] = {
    300: LeaseRequest,
    301: LeaseGrant,
    302: LeaseReturn,
}


def make_codec() -> wire.Codec:
    """Return the codec of these messages alone."""
    return wire.Codec(MESSAGES, MAX_MESSAGE_BYTES)
