"""Messages between keepers, besides those of the agreement."""

import dataclasses

from foxtailworks import agreement
from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Handshake:
    """First message on a link between keepers; identifies the sender."""

    keeper: ids.KeeperId
    """Identity stored on the sender's disk."""
    name: str
    """Name of the sender in its settings."""
    address: ids.Address
    """Address on which the sender listens."""
    group: str
    """Group of the sender; empty if its disk is new."""


CODEC = wire.Codec(
    {
        1: Handshake,
        2: contracts.RosterEdit,
        **agreement.MESSAGES,
        **contracts.OPERATOR_MESSAGES,
        **contracts.ENTRY_MESSAGES,
    }
)
