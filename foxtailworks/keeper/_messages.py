"""Messages of the links between keepers, beside those of agreement."""

import dataclasses

from foxtailworks import agreement
from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link from one keeper to another."""

    keeper: ids.KeeperId
    """Identity on the sender's disk."""
    name: str
    """Name from its settings."""
    address: ids.Address
    """Where it listens."""
    group: str
    """Group that it belongs to; empty when its disk is new."""


CODEC = wire.Codec(
    {
        1: Hello,
        2: contracts.RosterEdit,
        **agreement.MESSAGES,
        **contracts.OPERATOR_MESSAGES,
        **contracts.ENTRY_MESSAGES,
    }
)
