"""Messages between coordinators and edge hosts, sent as datagrams."""

import dataclasses

from foxtailworks import agreement
from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """Periodic announcement of a coordinator to the others."""

    keeper: ids.KeeperId
    """Identity stored on its disk."""
    name: str
    """Name of the coordinator's host."""
    zone: ids.ZoneId
    """Availability zone of the host."""
    address: ids.Address
    """Address at which the coordinator listens."""
    group: str
    """Group stored on its disk; empty while it belongs to none."""
    is_first_start: bool
    """Whether its settings say that the whole system starts for the first
    time."""
    session: int
    """Random number drawn at each start of the process."""
    recent_addresses: tuple[ids.Address, ...]
    """Coordinators with which it had recent contact."""
    list_form: int = 0
    """Form of the lists of heard instances that it understands; 0 if it
    understands none and needs each heartbeat whole."""
    command_form: int = 0
    """Highest form of commands in the log that it applies, see
    ``revisions.COMMAND_FORM``; 0 from a release that doesn't tell."""
    is_leaving: bool = False
    """Whether its process is about to end as planned; never set by a release
    that doesn't tell."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConsensusMessage:
    """A consensus message between two coordinators."""

    src: ids.KeeperId
    """Identity of the sender."""
    dst: ids.KeeperId
    """Identity of the receiver. After the loss of a disk another identity has
    the receiver's address."""
    body: bytes
    """Message encoded with ``CONSENSUS_CODEC``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeats:
    """Heartbeats of instances that a coordinator relays to the others."""

    heartbeats: tuple[discovery.RelayedHeartbeat, ...]
    """Newest heartbeat of each instance."""


MAX_SUMMED = 4096
"""Maximum number of upstreams in a sum, above the 3,900 of the largest
deployment."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSum:
    """Requests in progress of the hosts that report to one coordinator."""

    loads: bytes
    """Packed counts by token of the upstream, at most ``MAX_SUMMED``; see
    ``polling.pack_loads``."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatList:
    """Instances whose unchanged heartbeats a coordinator received."""

    entries: bytes
    """Token and age of each; see ``_relay``."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatRequest:
    """Request for instances of a list that the receiver doesn't know."""

    tokens: bytes
    """Tokens as in the list."""


CODEC = wire.Codec(
    {
        1: Presence,
        2: ConsensusMessage,
        3: Heartbeats,
        12: HeartbeatList,
        13: HeartbeatRequest,
        30: LoadSum,
        **polling.MESSAGES,
    },
    limit=4 << 20,
)

CONSENSUS_CODEC = wire.Codec(agreement.MESSAGES, limit=4 << 20)
