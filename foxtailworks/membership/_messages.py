"""Datagrams that hosts send to one another."""

import dataclasses
import typing

from foxtailworks import ids
from foxtailworks.membership import _host
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReport:
    """A relay says whether it reaches another availability zone."""

    reporter: ids.HostId
    """The relay."""
    sequence: int
    """Grows with each report of this relay; survives its restarts."""
    zone: ids.ZoneId
    """The availability zone in question."""
    reachable: bool
    """What the relay found."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an :class:`Ack`."""

    sender: ids.HostId
    """Who asks."""
    incarnation: ids.Incarnation
    """Incarnation of the sender."""
    sequence: int
    """Comes back in the answer."""
    roots: tuple[int, ...]
    """Hash of each replicated table of the sender."""
    items: tuple[bytes, ...] = ()
    """Encoded records that are news."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a :class:`Ping`."""

    sender: ids.HostId
    """Who answers."""
    incarnation: ids.Incarnation
    """Incarnation of the sender."""
    sequence: int
    """The number of the ping."""
    roots: tuple[int, ...]
    """Hash of each replicated table of the sender."""
    items: tuple[bytes, ...] = ()
    """Encoded records that are news."""


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a third host to probe in the sender's stead."""

    sender: ids.HostId
    """Who asks."""
    sequence: int
    """Comes back in the answer."""
    target: ids.HostId
    """Whom to probe."""
    address: ids.Address
    """Where the target is."""


@dataclasses.dataclass(frozen=True, slots=True)
class PingReply:
    """Tells the asker of a :class:`PingRequest` that the target answers."""

    sender: ids.HostId
    """Who probed."""
    sequence: int
    """The number of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Makes a new host known and asks for the table of hosts."""

    host: _host.Host
    """The new host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """News."""

    sender: ids.HostId
    """Who sends."""
    items: tuple[bytes, ...]
    """Encoded records."""


@dataclasses.dataclass(frozen=True, slots=True)
class Buckets:
    """Hashes of one table's buckets, to find what differs."""

    sender: ids.HostId
    """Who sends."""
    table: int
    """Index of the replicated table."""
    hashes: bytes
    """Four bytes for each bucket."""
    is_reply: bool
    """A reply isn't answered with hashes again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Records of buckets that differ."""

    sender: ids.HostId
    """Who sends."""
    packed: bytes
    """Deflated CBOR array of encoded records."""


@dataclasses.dataclass(frozen=True, slots=True)
class PackedGossip:
    """Much news."""

    sender: ids.HostId
    """Who sends."""
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
