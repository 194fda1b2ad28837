"""What each program is told by its settings file."""

import dataclasses
import enum
import typing

import pydantic
from pydantic import dataclasses as checked

from foxtailworks import ids
from foxtailworks.settings import _fields

_STRICT = pydantic.ConfigDict(extra="forbid")

DEFAULT_TIMEOUT_S = 5.0
MAX_TIMEOUT_S = 600.0
MAX_KEEPERS = 7


class FabricMode(enum.Enum):
    """How the fabric hands packets to an entry host."""

    PROXY = "proxy"
    DIRECT = "direct"


class LogLevel(enum.Enum):
    """The least important events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@checked.dataclass(frozen=True, config=_STRICT)
class Tls:
    """Files of one side of a link with certificates on both sides."""

    certificate: _fields.Path
    """Certificate chain of this program, PEM."""
    key: _fields.Path
    """Private key of this program, PEM."""
    authority: _fields.Path
    """Certificates of the authorities that the other side may use, PEM."""


@checked.dataclass(frozen=True, config=_STRICT)
class EntrySettings:
    """Settings of ``foxtail-entry``."""

    host: typing.Annotated[ids.HostId, _fields.NAME]
    """Name of this entry host; unique among all."""
    zone: typing.Annotated[ids.ZoneId, _fields.NAME]
    """Availability zone of this host."""
    region: typing.Annotated[ids.RegionId, _fields.NAME]
    """Region of this host."""
    peer_address: _fields.Address
    """UDP, between entry hosts."""
    operator_address: _fields.Address
    """TCP, link for ``foxtailctl``."""
    fabric_address: _fields.Address
    """UDP, callers' packets from the fabric."""
    announce_address: _fields.Address
    """UDP, CoAP registrations of upstreams (RFC 9176)."""
    keepers: _fields.Addresses
    """Link addresses of the keepers."""
    seeds: _fields.Addresses
    """Peer addresses of other entry hosts."""
    fabric_mode: FabricMode = FabricMode.PROXY
    """``proxy``: a PROXY v2 header stands before each datagram."""
    fabrics: _fields.Addresses = ()
    """UDP, where this host says that it lives or withdraws."""
    memory_folder: _fields.Path | None = None
    """Where a planned stop leaves what the next start must know of requests
    that may not be repeated; none leaves it to the other hosts."""
    statsd: _fields.Address | None = None
    """UDP, where counters are sent."""
    tls: Tls | None = None
    """None for links without certificates."""
    log_level: LogLevel = LogLevel.INFO
    """Least important events that are logged."""
    cluster_key: _fields.ClusterKey | None = dataclasses.field(
        default=None, repr=False
    )
    """Secret with which entry hosts sign their datagrams."""


@checked.dataclass(frozen=True, config=_STRICT)
class KeeperSettings:
    """Settings of ``foxtail-keeper``."""

    keeper: typing.Annotated[ids.KeeperId, _fields.NAME]
    """Name of this keeper; a new disk needs a new name."""
    zone: typing.Annotated[ids.ZoneId, _fields.NAME]
    """Availability zone of this keeper."""
    listen_address: _fields.Address
    """TCP, links from keepers, entry hosts and operators."""
    data_folder: _fields.Path
    """Holds all that must survive a restart."""
    first_keepers: typing.Annotated[
        dict[typing.Annotated[ids.KeeperId, _fields.NAME], _fields.Address],
        pydantic.Field(min_length=1, max_length=MAX_KEEPERS),
    ]
    """Name to link address of those that form the first quorum."""
    statsd: _fields.Address | None = None
    """UDP, where counters are sent."""
    tls: Tls | None = None
    """None for links without certificates."""
    log_level: LogLevel = LogLevel.INFO
    """Least important events that are logged."""
    fsync: pydantic.StrictBool = True
    """False only in tests: an acknowledged edit may then be lost."""

    @pydantic.field_validator("first_keepers")
    @classmethod
    def _check_first_keepers(
        cls, value: dict[ids.KeeperId, ids.Address]
    ) -> dict[ids.KeeperId, ids.Address]:
        """Refuse two keepers under one address."""
        if len(set(value.values())) != len(value):
            raise ValueError("two keepers share one address")
        return value


@checked.dataclass(frozen=True, config=_STRICT)
class OperatorSettings:
    """Settings of ``foxtailctl``."""

    keepers: _fields.Addresses
    """Link addresses of the keepers."""
    entries: _fields.Addresses = ()
    """Operator link addresses of the entry hosts."""
    tls: Tls | None = None
    """None for links without certificates."""
    timeout_s: float = pydantic.Field(
        default=DEFAULT_TIMEOUT_S, gt=0, le=MAX_TIMEOUT_S
    )
    """How long one try waits for an answer, in seconds."""
