"""Control messages between the placers of entry hosts.

All carry the sender's ``epoch``, which grows with every restart, so that
late messages of an earlier process can be recognized.
"""

import dataclasses
import typing

from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """A group of flows with the same assignment."""

    epoch: int
    """Incarnation of the sender."""
    to_epoch: int
    """Incarnation that it is sent to; a later one discards it."""
    generation: int
    """Replaces older generations of the sender once it is complete."""
    seq: int
    """Sequence number, which the acknowledgement repeats."""
    upstream: ids.UpstreamId
    """Upstream of these flows; empty if it is their default upstream."""
    upstreams_hash: int
    """Hash of the set of upstreams that the table is computed from."""
    is_indirect: bool
    """Whether the sender has received it from a third host."""
    flows: bytes
    """Fingerprints of the flows, packed."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeadHost:
    """A dead host that still counts for the zones of slots."""

    host: ids.HostId
    """Name of the dead host."""
    zone: ids.ZoneId
    """Availability zone of the dead host."""
    remaining_s: float
    """Seconds until it no longer counts."""


@dataclasses.dataclass(frozen=True, slots=True)
class JoinedHost:
    """A live host that doesn't count as settled yet."""

    host: ids.HostId
    """Name of the new host."""
    remaining_s: float
    """Seconds until it is settled."""


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """Notice that all overrides of the sender have been acknowledged."""

    epoch: int
    """Incarnation of the sender."""
    to_epoch: int
    """Incarnation that it is sent to; a later one discards it."""
    generation: int
    """Generation of the digests that it refers to."""
    seq: int
    """Sequence number, which the acknowledgement repeats."""
    hosts_hash: int
    """Hash of the live and leaving hosts in the sender's view."""
    upstreams_hash: int
    """Hash of the set of upstreams in the sender's view."""
    is_complete: bool
    """Whether all other flows have been acknowledged, too."""
    dead_hosts: tuple[DeadHost, ...]
    """The most recent deaths, for a host that starts."""
    joined_hosts: tuple[JoinedHost, ...]
    """The most recent joins, for a host that starts."""


@dataclasses.dataclass(frozen=True, slots=True)
class DigestAck:
    """Acknowledgement or rejection of messages."""

    epoch: int
    """Incarnation of the host whose messages are acknowledged."""
    seqs: tuple[int, ...]
    """Their sequence numbers; empty to acknowledge a :class:`Handshake`."""
    is_rejected: bool = False
    """Whether they refer to a set of upstreams unknown to the receiver."""


@dataclasses.dataclass(frozen=True, slots=True)
class Handshake:
    """Incarnation of the sender; a new one needs all assignments again."""

    epoch: int
    """Incarnation of the sender."""
    age_s: float
    """Seconds since it started, without any assignment."""


Message: typing.TypeAlias = Digest | Synced | DigestAck | Handshake

MESSAGES: dict[int, type] = {
    200: Digest,
    201: Synced,
    202: DigestAck,
    203: Handshake,
}
"""Message types by their number on the wire."""

DATAGRAM_LIMIT_BYTES = 1200
"""Maximum size of an encoded control message."""
ENVELOPE_BYTES = 48
"""Size that the budget assumes for headers and small fields."""
MAX_FINGERPRINT_BYTES = 1000
"""Maximum size of the packed fingerprints in one digest."""
MAX_RECENT_CHANGES = 8
"""Maximum number of deaths, and of joins, in one message."""


def size_of(message: Message) -> int:
    """Return the approximate size of a message in bytes, with headers."""
    if isinstance(message, Digest):
        return ENVELOPE_BYTES + len(message.upstream) + len(message.flows)
    if isinstance(message, Synced):
        recent_changes = len(message.dead_hosts) + len(message.joined_hosts)
        return ENVELOPE_BYTES + 20 + 40 * recent_changes
    if isinstance(message, DigestAck):
        return ENVELOPE_BYTES + 4 * len(message.seqs)
    return ENVELOPE_BYTES
