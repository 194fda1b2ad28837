"""What the answers to polls tell, beside changes since a host's version."""

import typing

from foxtailworks.coordinator import _suspicions
from foxtailworks import ids
from foxtailworks import polling


class Paced(typing.NamedTuple):
    """What changes with each process that starts, so often at a start."""

    registry_version: int = 0
    """Version of the registry."""
    coordinators: tuple[ids.Address, ...] = ()
    """Coordinators with recent contact."""
    host_count: int = 0
    """Number of edge hosts."""


class State(typing.NamedTuple):
    """What answers tell, beside changes since a host's own version."""

    registry_version: int
    """Version of the registry."""
    revision: int
    """Revision of the committed routes."""
    coordinators: tuple[ids.Address, ...]
    """Coordinators with recent contact."""
    suspected: tuple[_suspicions.InstanceKey, ...]
    """Instances that several hosts suspect."""
    is_current: bool
    """Whether the coordinator knows a leader."""
    host_count: int
    """Number of edge hosts."""
    evacuation: polling.Evacuation
    """Committed evacuation."""

    def without_registry(self) -> "State":
        """Return the state without what starting processes change."""
        return self._replace(registry_version=0, coordinators=(), host_count=0)
