"""Questions of edge hosts and their answers."""

import dataclasses

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """An edge host asks what is new."""

    host: ids.HostId
    """Which host."""
    session: int
    """Registry that ``registry_version`` belongs to."""
    registry_version: int
    """How much of it the host has."""
    revision: int
    """Revision of the routes in force on the host."""
    suspected: tuple[tuple[discovery.InstanceId, ids.Incarnation], ...] = ()
    """Instances that the host finds silent."""


@dataclasses.dataclass(frozen=True, slots=True)
class PollAnswer:
    """The answer to a poll."""

    changes: discovery.Changes
    """Instances that changed."""
    revision: int
    """Committed revision that this coordinator knows of."""
    table: bytes
    """Encoded routes; empty when the host has them."""
    coordinators: tuple[ids.Address, ...]
    """All that are known."""
    suspected: tuple[tuple[discovery.InstanceId, ids.Incarnation], ...] = ()
    """Instances that several hosts find silent."""


MESSAGES: dict[int, type] = {4: Poll, 5: PollAnswer}

CODEC = wire.Codec(MESSAGES, limit=4 << 20)
