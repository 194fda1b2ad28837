"""Polls of edge hosts, and the answers and notices of coordinators."""

import dataclasses

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Request of an edge host for changed instances and routes."""

    host: ids.HostId
    """Host that sends the poll."""
    session: int
    """Session of the registry that ``registry_version`` belongs to."""
    registry_version: int
    """Version of the registry up to which the host has changes."""
    revision: int
    """Revision of the routes in force on the host."""
    suspected: tuple[tuple[discovery.InstanceId, ids.Incarnation], ...] = ()
    """Instances that the host suspects."""
    is_follower: bool = False
    """Whether the host wants notices of changes until its next poll."""


@dataclasses.dataclass(frozen=True, slots=True)
class PollAnswer:
    """Answer of a coordinator to a poll."""

    changes: discovery.Changes
    """Instances that changed since the host's version of the registry."""
    revision: int
    """Latest committed revision that this coordinator has."""
    table: bytes
    """Encoded routes; empty when the host already has them."""
    coordinators: tuple[ids.Address, ...]
    """Addresses of all coordinators known to this one."""
    suspected: tuple[tuple[discovery.InstanceId, ids.Incarnation], ...] = ()
    """Instances that several hosts suspect."""
    is_current: bool = True
    """Whether this coordinator knows a leader, so that it isn't behind."""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Tells a following host that a coordinator has changes for it."""

    session: int
    """Session of the registry."""
    registry_version: int
    """Latest version of the registry."""
    revision: int
    """Latest committed revision of the routes."""


MESSAGES: dict[int, type] = {4: Poll, 5: PollAnswer, 6: Notice}

CODEC = wire.Codec(MESSAGES, limit=4 << 20)
