"""Control messages between the placers of entry hosts.

All carry the sender's ``epoch``, which grows with every restart, so that a
late message of an earlier process is told apart.
"""

import dataclasses
import typing

from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Some flows that stand at the same place."""

    epoch: int
    """Incarnation of the sender."""
    to_epoch: int
    """Incarnation of the receiver; an earlier one's messages end here."""
    generation: int
    """Digests of older generations end once this one is whole."""
    seq: int
    """Acknowledged by this number."""
    upstream: ids.UpstreamId
    """Where these flows stand; empty: where the computed table says."""
    view: int
    """Hash of the set of upstreams that this table is made of."""
    is_indirect: bool
    """Whether the sender has it from a third host."""
    flows: bytes
    """Packed fingerprints."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeadHost:
    """A host that counts as settled though it is dead."""

    host: ids.HostId
    """Who died."""
    zone: ids.ZoneId
    """Where it stood."""
    left_s: float
    """Seconds until it is forgotten."""


@dataclasses.dataclass(frozen=True, slots=True)
class JoinedHost:
    """A live host that doesn't count as settled yet."""

    host: ids.HostId
    """Who joined."""
    left_s: float
    """Seconds until it is settled."""


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The receiver knows all that it should of flows off the table."""

    epoch: int
    """Incarnation of the sender."""
    to_epoch: int
    """Incarnation of the receiver; an earlier one's messages end here."""
    generation: int
    """The generation that is whole."""
    seq: int
    """Acknowledged by this number."""
    hosts: int
    """Hash of the sender's view of hosts."""
    upstreams: int
    """Hash of the set of upstreams that its table is computed from."""
    is_whole: bool
    """Whether the receiver knows all other flows, too."""
    absent: tuple[DeadHost, ...]
    """The most recent deaths, for a host that starts."""
    fresh: tuple[JoinedHost, ...]
    """The most recent joins, for a host that starts."""


@dataclasses.dataclass(frozen=True, slots=True)
class DigestAck:
    """These messages arrived."""

    epoch: int
    """Incarnation of the host whose messages are acknowledged."""
    seqs: tuple[int, ...]
    """Their numbers; none acknowledges a :class:`Handshake`."""
    is_refused: bool = False
    """Whether they name a set of upstreams that the receiver lacks."""


@dataclasses.dataclass(frozen=True, slots=True)
class Handshake:
    """Who the sender is; if it is new, send it all that it should know."""

    epoch: int
    """Incarnation of the sender."""
    age_s: float
    """Seconds since it started, empty."""


Message: typing.TypeAlias = Digest | Synced | DigestAck | Handshake

MESSAGES: dict[int, type] = {
    200: Digest,
    201: Synced,
    202: DigestAck,
    203: Handshake,
}
"""Numbers on the wire."""

DATAGRAM_LIMIT_BYTES = 1200
"""Largest encoded control message."""
ENVELOPE_BYTES = 48
"""Budgeted for headers of a datagram and small fields."""
MAX_MARKS_BYTES = 1000
"""Packed fingerprints in one digest."""
MAX_NOTICES = 8
"""Deaths and joins told in one message."""


def size_of(message: Message) -> int:
    """Return about how many bytes a message takes, headers included."""
    if isinstance(message, Digest):
        return ENVELOPE_BYTES + len(message.upstream) + len(message.flows)
    if isinstance(message, Synced):
        notices = len(message.absent) + len(message.fresh)
        return ENVELOPE_BYTES + 20 + 40 * notices
    if isinstance(message, DigestAck):
        return ENVELOPE_BYTES + 4 * len(message.seqs)
    return ENVELOPE_BYTES
