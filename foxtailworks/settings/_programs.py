"""Settings of each program, one dataclass for each kind of file."""

import dataclasses
import enum
import typing

import pydantic
from pydantic import dataclasses as pydantic_dataclasses

from foxtailworks import ids
from foxtailworks.settings import _fields

_STRICT = pydantic.ConfigDict(extra="forbid")

DEFAULT_TIMEOUT_S = 5.0
MAX_TIMEOUT_S = 600.0
MAX_KEEPERS = 7


class FabricMode(enum.Enum):
    """Format of the packets that the fabric sends to an entry host."""

    PROXY = "proxy"
    DIRECT = "direct"


class LogLevel(enum.Enum):
    """Severity of log events, from the least important up."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@pydantic_dataclasses.dataclass(frozen=True, config=_STRICT)
class Tls:
    """Certificate files of one side of a mutual TLS link."""

    certificate: _fields.Path
    """Certificate chain of this program, PEM."""
    key: _fields.Path
    """Private key of this program, PEM."""
    authority: _fields.Path
    """Certificates of the authorities trusted for the other side, PEM."""


@pydantic_dataclasses.dataclass(frozen=True, config=_STRICT)
class EntrySettings:
    """Settings of ``foxtail-entry``."""

    host: typing.Annotated[ids.HostId, _fields.NAME_RULE]
    """Name of this entry host, unique among all entry hosts."""
    zone: typing.Annotated[ids.ZoneId, _fields.NAME_RULE]
    """Availability zone of this host."""
    region: typing.Annotated[ids.RegionId, _fields.NAME_RULE]
    """Region of this host."""
    peer_address: _fields.Address
    """UDP address for datagrams between entry hosts."""
    operator_address: _fields.Address
    """TCP address that ``foxtailctl`` connects to."""
    fabric_address: _fields.Address
    """UDP address for callers' packets from the fabric."""
    announce_address: _fields.Address
    """UDP address for CoAP registrations of upstreams (RFC 9176)."""
    keepers: _fields.Addresses
    """TCP addresses of the keepers."""
    seeds: _fields.Addresses
    """Peer addresses of entry hosts to join the cluster through."""
    fabric_mode: FabricMode = FabricMode.PROXY
    """``proxy``: a PROXY v2 header precedes each datagram."""
    fabrics: _fields.Addresses = ()
    """UDP addresses of the fabrics, for heartbeats and the withdrawal."""
    memory_folder: _fields.Path | None = None
    """Folder where a planned stop saves the state of requests that may not
    be repeated, for the next start; None leaves it to the other hosts."""
    statsd: _fields.Address | None = None
    """UDP address to which counters are sent."""
    tls: Tls | None = None
    """None for links without certificates."""
    log_level: LogLevel = LogLevel.INFO
    """Least important events that are logged."""
    cluster_key: _fields.ClusterKey | None = dataclasses.field(
        default=None, repr=False
    )
    """Secret with which entry hosts sign their datagrams."""


@pydantic_dataclasses.dataclass(frozen=True, config=_STRICT)
class KeeperSettings:
    """Settings of ``foxtail-keeper``."""

    keeper: typing.Annotated[ids.KeeperId, _fields.NAME_RULE]
    """Name of this keeper; a new disk needs a new name."""
    zone: typing.Annotated[ids.ZoneId, _fields.NAME_RULE]
    """Availability zone of this keeper."""
    listen_address: _fields.Address
    """TCP address for links from keepers, entry hosts and operators."""
    data_folder: _fields.Path
    """Folder of the data that must survive a restart."""
    first_keepers: typing.Annotated[
        dict[
            typing.Annotated[ids.KeeperId, _fields.NAME_RULE], _fields.Address
        ],
        pydantic.Field(min_length=1, max_length=MAX_KEEPERS),
    ]
    """Name -> TCP address of the keepers that form the first quorum."""
    statsd: _fields.Address | None = None
    """UDP address to which counters are sent."""
    tls: Tls | None = None
    """None for links without certificates."""
    log_level: LogLevel = LogLevel.INFO
    """Least important events that are logged."""
    fsync: pydantic.StrictBool = True
    """Whether the log is synced to disk before an edit is acknowledged.
    False only in tests: an acknowledged edit may then be lost."""

    @pydantic.field_validator("first_keepers")
    @classmethod
    def _check_first_keepers(
        cls, value: dict[ids.KeeperId, ids.Address]
    ) -> dict[ids.KeeperId, ids.Address]:
        """Reject two keepers with the same address.

        :raises ValueError: two keepers share one address
        """
        if len(set(value.values())) != len(value):
            raise ValueError("two keepers share one address")
        return value


@pydantic_dataclasses.dataclass(frozen=True, config=_STRICT)
class OperatorSettings:
    """Settings of ``foxtailctl``."""

    keepers: _fields.Addresses
    """TCP addresses of the keepers."""
    entries: _fields.Addresses = ()
    """TCP addresses of the entry hosts for operators."""
    tls: Tls | None = None
    """None for links without certificates."""
    timeout_s: float = pydantic.Field(
        default=DEFAULT_TIMEOUT_S, gt=0, le=MAX_TIMEOUT_S
    )
    """Time that one attempt waits for an answer, in seconds."""
