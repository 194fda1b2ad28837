"""Instances: upstream processes, distinguished from start to start."""

import dataclasses
import enum
import typing

import xxhash

from foxtailworks import ids

InstanceId = typing.NewType("InstanceId", str)
# Chosen by the upstream; a later start may use the same id.

ContentToken = typing.NewType("ContentToken", int)
# Eight bytes that stand for an instance and its state; see content_token.


class InstanceState(enum.Enum):
    """State of an instance; it only moves forward."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance as its heartbeat describes it.

    The pair of ``instance`` and ``incarnation`` is the identity: a later
    incarnation of an id holds no flows of an earlier one.
    """

    instance: InstanceId
    """Id that the upstream chose for itself."""
    incarnation: ids.Incarnation
    """Number that grows with each start."""
    sequence: int
    """Number that grows with each heartbeat of this incarnation."""
    service: ids.ServiceId
    """Service that the instance belongs to."""
    address: ids.Address
    """Address that it listens on."""
    zone: ids.ZoneId
    """Availability zone that it runs in."""
    slots: int
    """Number of requests that it processes concurrently."""
    state: InstanceState
    """State that decides whether it accepts new flows."""
    cold_ms: int
    """Remaining milliseconds for which it is slow after its start."""

    @property
    def key(self) -> tuple[InstanceId, ids.Incarnation]:
        """Identity: the id and the incarnation."""
        return self.instance, self.incarnation

    def supersedes(self, other: "Instance") -> bool:
        """Return whether this is newer than ``other`` of the same identity."""
        mine = (self.state.value, self.sequence)
        return mine > (other.state.value, other.sequence)

    def is_same_but_counters(self, other: "Instance") -> bool:
        """Return whether only counters differ, which aren't sent as changes.

        Of ``cold_ms`` only counts whether any time remains.
        """
        return (
            self.state is other.state
            and (self.cold_ms > 0) is (other.cold_ms > 0)
            and self.address == other.address
            and self.slots == other.slots
            and self.service == other.service
            and self.zone == other.zone
            and self.key == other.key
        )

    def is_at_same_place(self, other: "Instance") -> bool:
        """Return whether the other serves the same service at its address."""
        return (self.address, self.service) == (other.address, other.service)

    def content_token(self) -> ContentToken:
        """Return the hash of all but the counters, equal on all hosts.

        Two instances that are the same but for counters have the same token.
        With 64 bits, two of 4,000 differing ones share a token once in 2e12
        tables.
        """
        text = (
            f"{self.instance}/{self.incarnation}/{self.service}/{self.address}"
            f"/{self.zone}/{self.slots}/{self.state.value}/{self.cold_ms > 0}"
        )
        return ContentToken(xxhash.xxh3_64_intdigest(text.encode()))

    def with_state(self, state: InstanceState) -> "Instance":
        """Return a copy with another state."""
        return dataclasses.replace(self, state=state)
