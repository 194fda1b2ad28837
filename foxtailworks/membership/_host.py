"""Membership record of one entry host."""

import dataclasses
import enum
import typing

from foxtailworks import errors
from foxtailworks import ids


class HostState(enum.Enum):
    """State of a host; within an incarnation the larger value wins."""

    ALIVE = 0
    """The host answers probes."""
    SUSPECT = 1
    """The host answered no direct or indirect probe; it's still live."""
    DEAD = 2
    """The host didn't refute the suspicion in time."""
    LEFT = 3
    """The host announced that it leaves."""


MAX_NAME = 64
MAX_INCARNATION = 1 << 62

LIVE_STATES = frozenset({HostState.ALIVE, HostState.SUSPECT})


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """Replicated record of one entry host."""

    id: ids.HostId
    """Id from the host's settings."""
    zone: ids.ZoneId
    """Availability zone that the host is in."""
    region: ids.RegionId
    """Region of the availability zone."""
    address: ids.Address
    """Address that receives the datagrams of other hosts."""
    incarnation: ids.Incarnation
    """Number that grows with each start and each refutation."""
    state: HostState = HostState.ALIVE
    """State in this incarnation."""

    def __post_init__(self) -> None:
        """Reject values that are out of bounds.

        :raises FoxtailError: ``HOST_INVALID``
        """
        names = (self.id, self.zone, self.region)
        is_named = all(0 < len(name) <= MAX_NAME for name in names)
        if not is_named or not 0 <= self.incarnation <= MAX_INCARNATION:
            raise errors.FoxtailError(
                errors.Code.HOST_INVALID,
                "host record out of bounds",
                id=self.id,
            )

    @property
    def is_live(self) -> bool:
        """Return whether the host may receive work."""
        return self.state in LIVE_STATES

    def supersedes(self, other: "Host") -> bool:
        """Return whether this record replaces ``other`` of the same host."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state.value > other.state.value

    def with_changes(self, **changes: typing.Any) -> "Host":
        """Return a copy with some fields replaced."""
        return dataclasses.replace(self, **changes)
