"""Hosts and what is claimed about them."""

import dataclasses
import enum
import typing

from foxtailworks import errors
from foxtailworks import ids


class HostState(enum.Enum):
    """What is claimed of a host; a larger value wins in one incarnation."""

    ALIVE = 0
    """Answers probes."""
    SUSPECT = 1
    """Missed a probe and all indirect ones; still counts as live."""
    DEAD = 2
    """Stayed silent through its suspicion."""
    LEFT = 3
    """Announced its graceful leave."""


MAX_NAME = 64
MAX_INCARNATION = 1 << 62

LIVE_STATES = frozenset({HostState.ALIVE, HostState.SUSPECT})


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A claim about one entry host."""

    id: ids.HostId
    """Name from the host's settings."""
    zone: ids.ZoneId
    """Availability zone that the host stands in."""
    region: ids.RegionId
    """Region of the availability zone."""
    address: ids.Address
    """Where the host takes datagrams of other hosts."""
    incarnation: ids.Incarnation
    """Grows with each start and each refutation."""
    state: HostState = HostState.ALIVE
    """What is claimed."""

    def __post_init__(self) -> None:
        """Refuse values out of bounds."""
        names = (self.id, self.zone, self.region)
        is_named = all(0 < len(name) <= MAX_NAME for name in names)
        if not is_named or not 0 <= self.incarnation <= MAX_INCARNATION:
            raise errors.FoxtailError(
                errors.Code.HOST_INVALID, "host out of bounds", id=self.id
            )

    @property
    def is_live(self) -> bool:
        """Tell whether the host may be given work."""
        return self.state in LIVE_STATES

    def supersedes(self, other: "Host") -> bool:
        """Tell whether this claim ends ``other`` on the same host."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state.value > other.state.value

    def with_changes(self, **changes: typing.Any) -> "Host":
        """Return a copy with some fields replaced."""
        return dataclasses.replace(self, **changes)
