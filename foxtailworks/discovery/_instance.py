"""One start of an upstream's process."""

import dataclasses
import enum
import typing

from foxtailworks import ids

InstanceId = typing.NewType("InstanceId", str)
# Chosen by the upstream; a later start may carry the same one.


class InstanceState(enum.Enum):
    """How far an instance is; it never goes back."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """What an upstream says of itself.

    The pair of ``instance`` and ``incarnation`` is the identity: the same
    id under a later incarnation holds nothing of before.
    """

    instance: InstanceId
    """Its own id."""
    incarnation: ids.Incarnation
    """Grows with each start."""
    sequence: int
    """Grows with each heartbeat of this incarnation."""
    service: ids.ServiceId
    """What it serves."""
    address: ids.Address
    """Where it is reached."""
    zone: ids.ZoneId
    """Its availability zone."""
    slots: int
    """Requests that it works on at once."""
    state: InstanceState
    """Whether it takes new work."""
    cold_ms: int
    """How much longer it stays slow after its start."""

    @property
    def key(self) -> tuple[InstanceId, ids.Incarnation]:
        """Identity of this start."""
        return self.instance, self.incarnation

    def supersedes(self, other: "Instance") -> bool:
        """Tell whether this is later news of the same start."""
        mine = (self.state.value, self.sequence)
        return mine > (other.state.value, other.sequence)

    def with_state(self, state: InstanceState) -> "Instance":
        """Return a copy in another state."""
        return dataclasses.replace(self, state=state)
