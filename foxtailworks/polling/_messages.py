"""Polls of edge hosts, and the answers and notices of coordinators."""

import dataclasses
import typing

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.polling import _load
from foxtailworks import wire


ALL_PARTS = 512
"""Number of parts that stands for all of an answer."""
_INDEX_BYTES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """Zones whose upstreams get no new flows."""

    number: int = 0
    """Number that grows with each change; 0 before the first order."""
    zones: tuple[ids.ZoneId, ...] = ()
    """Evacuated zones."""
    returned: tuple[tuple[ids.ZoneId, int], ...] = ()
    """Zones whose evacuation ended a short time ago, with the least number of
    milliseconds since then.  A host that has just started learns by them that
    upstreams there may be cold, as heartbeats haven't told it yet."""


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
    max_parts: int = ALL_PARTS
    """Datagrams of a large answer that may be sent at once. A host that sets
    it requests the others and understands changes of a table; one of the
    last release doesn't. The last field, so that ``warmstart`` finds it."""


@dataclasses.dataclass(frozen=True, slots=True)
class PollAnswer:
    """Answer of a coordinator to a poll."""

    changes: discovery.Changes
    """Instances that changed since the host's version of the registry."""
    revision: int
    """Latest committed revision that this coordinator has."""
    table: bytes
    """Encoded routes, or changes to those of the host's revision; empty when
    the host already has them."""
    coordinators: tuple[ids.Address, ...]
    """Addresses of all coordinators known to this one."""
    suspected: tuple[tuple[discovery.InstanceId, ids.Incarnation], ...] = ()
    """Instances that several hosts suspect."""
    is_current: bool = True
    """Whether this coordinator knows a leader, so that it isn't behind."""
    host_count: int = 0
    """Number of edge hosts that poll this coordinator; 0 if it isn't known."""
    evacuation: Evacuation = Evacuation()
    """Evacuation that is known to be committed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Tells a following host that a coordinator has changes for it."""

    session: int
    """Session of the registry."""
    registry_version: int
    """Latest version of the registry."""
    revision: int
    """Latest committed revision of the routes."""
    evacuation: Evacuation = Evacuation()
    """Evacuation that is known to be committed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Answer to a poll that grants no part of a large answer."""

    session: int
    """Session of the registry."""
    registry_version: int
    """Latest version of the registry."""
    revision: int
    """Latest committed revision that this coordinator has."""
    coordinators: tuple[ids.Address, ...]
    """Addresses of all coordinators known to this one."""
    suspected: tuple[tuple[discovery.InstanceId, ids.Incarnation], ...]
    """Instances that several hosts suspect."""
    is_current: bool
    """Whether this coordinator knows a leader, so that it isn't behind."""
    evacuation: Evacuation = Evacuation()
    """Evacuation that is known to be committed."""
    digest: int = 0
    """Digest of the registry's live instances; 0 if it isn't known."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartRequest:
    """Request of an edge host for parts of a large answer."""

    number: int
    """Number of the message that carries the answer."""
    indexes: bytes
    """Positions of the parts, two bytes each, big-endian. The last field, so
    that ``warmstart`` finds it."""

    @classmethod
    def of(cls, number: int, indexes: typing.Iterable[int]) -> "PartRequest":
        """Return a request for the parts at ``indexes``."""
        packed = (item.to_bytes(_INDEX_BYTES, "big") for item in indexes)
        return cls(number, b"".join(packed))

    def positions(self) -> tuple[int, ...]:
        """Return the positions of the requested parts."""
        starts = range(0, len(self.indexes), _INDEX_BYTES)
        return tuple(
            int.from_bytes(self.indexes[start : start + _INDEX_BYTES], "big")
            for start in starts
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PartsGone:
    """Tells a host that a coordinator no longer has a large answer."""

    number: int
    """Number of the message that carried the answer."""


MESSAGES: dict[int, type] = {
    4: Poll,
    5: PollAnswer,
    6: Notice,
    7: Summary,
    8: PartRequest,
    9: PartsGone,
    10: _load.LoadReport,
    11: _load.LoadView,
}

CODEC = wire.Codec(MESSAGES, limit=4 << 20)
