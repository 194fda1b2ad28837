"""The contract of a customer: services, classes, limits."""

import dataclasses
import enum
import typing

import pydantic
from pydantic import dataclasses as checked

from foxtailworks import ids

_NAME = pydantic.Field(min_length=1, max_length=64)
_FORBID = pydantic.ConfigDict(extra="forbid")

METHODS = frozenset(
    ("GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "IPATCH")
)
"""CoAP methods (RFC 7252, RFC 8132)."""

_MS_PER_S = 1000


class ServiceKind(enum.Enum):
    """How the packets of a service are treated."""

    FLOW = "flow"
    REQUEST = "request"


class Priority(enum.Enum):
    """Which class is served first under overload."""

    HIGH = "high"
    NORMAL = "normal"


@checked.dataclass(frozen=True, config=_FORBID)
class Limits:
    """What one service may use over all hosts together."""

    requests_per_s: float = pydantic.Field(default=1000.0, gt=0)
    """Admitted new requests a second."""
    in_flight: int = pydantic.Field(default=1000, gt=0)
    """Requests placed and not yet answered."""
    open_flows: int = pydantic.Field(default=100_000, gt=0)
    """Flows open at once."""
    new_flows_per_s: float = pydantic.Field(default=5000.0, gt=0)
    """Admitted new flows a second."""


@checked.dataclass(frozen=True, config=_FORBID)
class RequestClass:
    """A class of requests: matched by method and path prefix."""

    name: typing.Annotated[str, _NAME]
    """Shown in histograms."""
    methods: tuple[str, ...] = ("GET", "PUT", "DELETE", "POST")
    """CoAP methods that belong to the class."""
    path_prefix: str = "/"
    """Longest matching prefix wins."""
    priority: Priority = Priority.NORMAL
    """Served first when high."""
    deadline_ms: int = pydantic.Field(default=5000, gt=0, le=600_000)
    """Used when a request names no deadline."""

    @pydantic.field_validator("methods")
    @classmethod
    def _check_methods(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        """Refuse what isn't a CoAP method."""
        unknown = sorted(set(value) - METHODS)
        if unknown or not value:
            raise ValueError(f"not CoAP methods: {unknown}")
        return value

    @pydantic.field_validator("path_prefix")
    @classmethod
    def _check_path(cls, value: str) -> str:
        """Refuse a path that no request can have."""
        if not value.startswith("/"):
            raise ValueError("a path starts with /")
        return value


@checked.dataclass(frozen=True, config=_FORBID)
class Service:
    """One address and what is served there."""

    name: typing.Annotated[ids.ServiceId, _NAME]
    """Unique within the contract."""
    kind: ServiceKind
    """Opaque flows or CoAP requests."""
    address: str
    """``ip:port`` that callers send to."""
    limits: Limits = dataclasses.field(default_factory=Limits)
    """Over all hosts together."""
    classes: tuple[RequestClass, ...] = ()
    """Request classes; what matches none is normal."""
    key_retention_s: int = pydantic.Field(default=300, ge=30, le=86_400)
    """How long the outcome of a request with a key is kept."""
    flow_idle_s: int = pydantic.Field(default=300, ge=5, le=86_400)
    """A flow without a packet for so long has ended."""

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        """Accept only an IP number with a port."""
        return str(ids.Address.parse(value))

    @pydantic.model_validator(mode="after")
    def _check_classes(self) -> "Service":
        """Refuse classes on flows and double names."""
        if self.kind is ServiceKind.FLOW and self.classes:
            raise ValueError("a flow service has no request classes")
        names = [item.name for item in self.classes]
        if len(set(names)) != len(names):
            raise ValueError("two classes share a name")
        self._check_overlap()
        self._check_retention()
        return self

    def _check_overlap(self) -> None:
        """Refuse two classes that match the same requests."""
        pairs = [(m, c.path_prefix) for c in self.classes for m in c.methods]
        if len(set(pairs)) != len(pairs):
            raise ValueError("two classes match one method and path prefix")

    def _check_retention(self) -> None:
        """Refuse to forget an outcome before its request must end."""
        longest = max((c.deadline_ms for c in self.classes), default=0)
        if longest > self.key_retention_s * _MS_PER_S:
            raise ValueError(
                f"key_retention_s {self.key_retention_s} is shorter than"
                f" a class's deadline_ms {longest}"
            )

    def parsed_address(self) -> ids.Address:
        """Return the address as a value."""
        return ids.Address.parse(self.address)


@checked.dataclass(frozen=True, config=_FORBID)
class Contract:
    """All that a customer has agreed on; every other limit is derived."""

    customer: typing.Annotated[ids.CustomerId, _NAME]
    """Whom the contract is with."""
    services: tuple[Service, ...] = ()
    """Services of this customer."""

    @pydantic.model_validator(mode="after")
    def _check_services(self) -> "Contract":
        """Refuse two services under one name or address."""
        for field in ("name", "address"):
            values = [getattr(item, field) for item in self.services]
            if len(set(values)) != len(values):
                raise ValueError(f"two services share one {field}")
        return self

    def service(self, name: ids.ServiceId) -> Service | None:
        """Return the service called ``name``, if there is one."""
        found = (item for item in self.services if item.name == name)
        return next(found, None)

    def with_changes(self, **changes: typing.Any) -> "Contract":
        """Return a checked copy with some fields replaced."""
        return dataclasses.replace(self, **changes)
