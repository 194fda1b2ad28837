"""Messages and replicated records that hosts exchange in datagrams."""

import dataclasses
import typing

from foxtailworks import ids
from foxtailworks.membership import _host
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReport:
    """Report of a relay whether another availability zone is reachable."""

    reporter: ids.HostId
    """Relay that made the report."""
    sequence: int
    """Number that grows with each report, also over restarts."""
    zone: ids.ZoneId
    """Availability zone that the report is about."""
    reachable: bool
    """Whether the relay reaches the zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Probe that the receiver answers with an :class:`Ack`."""

    sender: ids.HostId
    """Host that probes."""
    incarnation: ids.Incarnation
    """Incarnation of the sender."""
    sequence: int
    """Number that the ack repeats."""
    roots: tuple[int, ...]
    """Hash of each replicated table of the sender."""
    items: tuple[bytes, ...] = ()
    """Piggybacked updates, as encoded records."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a :class:`Ping`."""

    sender: ids.HostId
    """Host that answers."""
    incarnation: ids.Incarnation
    """Incarnation of the sender."""
    sequence: int
    """Sequence number of the ping."""
    roots: tuple[int, ...]
    """Hash of each replicated table of the sender."""
    items: tuple[bytes, ...] = ()
    """Piggybacked updates, as encoded records."""


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Request to a third host to probe the target (SWIM's ping-req)."""

    sender: ids.HostId
    """Host that requests the probe."""
    sequence: int
    """Number that the reply repeats."""
    target: ids.HostId
    """Host to probe."""
    address: ids.Address
    """Address of the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class PingReply:
    """Notice to the sender of a :class:`PingRequest` of the target's ack."""

    sender: ids.HostId
    """Host that probed the target."""
    sequence: int
    """Sequence number of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Announcement of a new host that requests the table of hosts."""

    host: _host.Host
    """Record of the new host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """A few updates, sent uncompressed."""

    sender: ids.HostId
    """Host that sends the updates."""
    items: tuple[bytes, ...]
    """Updates, as encoded records."""


@dataclasses.dataclass(frozen=True, slots=True)
class Buckets:
    """Bucket hashes of one table, which show where two copies differ."""

    sender: ids.HostId
    """Host whose table it is."""
    table: int
    """Index of the replicated table."""
    hashes: bytes
    """Hash of each bucket, four bytes each."""
    is_reply: bool
    """Whether these answer hashes; a reply isn't answered with hashes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Records of the buckets that differ, or all hosts for a join."""

    sender: ids.HostId
    """Host that sends the records."""
    packed: bytes
    """Deflated CBOR array of encoded records."""


@dataclasses.dataclass(frozen=True, slots=True)
class PackedGossip:
    """Many updates, sent compressed."""

    sender: ids.HostId
    """Host that sends the updates."""
    packed: bytes
    """Deflated CBOR array of encoded records."""


MESSAGES: typing.Final[dict[int, type]] = {
    100: Ping,
    101: Ack,
    102: PingRequest,
    103: PingReply,
    104: Join,
    105: Gossip,
    106: Buckets,
    107: Records,
    108: PackedGossip,
}

ITEMS: typing.Final[dict[int, type]] = {
    120: _host.Host,
    121: ZoneReport,
}

ITEM_LIMIT_BYTES = 600

CODEC = wire.Codec(ITEMS, limit=ITEM_LIMIT_BYTES)
