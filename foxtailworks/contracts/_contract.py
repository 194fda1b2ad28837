"""Data model of a customer's contract: services, classes and limits."""

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
    """Protocol that a service's packets follow."""

    FLOW = "flow"
    REQUEST = "request"


class Priority(enum.Enum):
    """Priority of a request class under overload."""

    HIGH = "high"
    NORMAL = "normal"


@checked.dataclass(frozen=True, config=_FORBID)
class Limits:
    """Limits of one service, over all hosts together."""

    requests_per_s: float = pydantic.Field(default=1000.0, gt=0)
    """New requests admitted a second."""
    in_flight: int = pydantic.Field(default=1000, gt=0)
    """Requests placed and not answered yet."""
    open_flows: int = pydantic.Field(default=100_000, gt=0)
    """Flows open at the same time."""
    new_flows_per_s: float = pydantic.Field(default=5000.0, gt=0)
    """New flows admitted a second."""


@checked.dataclass(frozen=True, config=_FORBID)
class RequestClass:
    """A class of requests, matched by method and path prefix."""

    name: typing.Annotated[str, _NAME]
    """Name of the class, shown in histograms."""
    methods: tuple[str, ...] = ("GET", "PUT", "DELETE", "POST")
    """CoAP methods that belong to the class."""
    path_prefix: str = "/"
    """Prefix of the paths in the class; the longest match wins."""
    priority: Priority = Priority.NORMAL
    """Requests of high priority are served first."""
    deadline_ms: int = pydantic.Field(default=5000, gt=0, le=600_000)
    """Deadline in milliseconds of requests that don't set one."""

    @pydantic.field_validator("methods")
    @classmethod
    def _check_methods(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        """Reject names that aren't CoAP methods."""
        unknown = sorted(set(value) - METHODS)
        if unknown or not value:
            raise ValueError(f"not CoAP methods: {unknown}")
        return value

    @pydantic.field_validator("path_prefix")
    @classmethod
    def _check_path(cls, value: str) -> str:
        """Reject a path that no request can have."""
        if not value.startswith("/"):
            raise ValueError("a path starts with /")
        return value


@checked.dataclass(frozen=True, config=_FORBID)
class Service:
    """A service at one address."""

    name: typing.Annotated[ids.ServiceId, _NAME]
    """Unique within the contract."""
    kind: ServiceKind
    """Kind of traffic: opaque flows or CoAP requests."""
    address: str
    """Address that callers send to, as ``ip:port``."""
    limits: Limits = dataclasses.field(default_factory=Limits)
    """Limits over all hosts together."""
    classes: tuple[RequestClass, ...] = ()
    """Request classes; a request without one has normal priority."""
    key_retention_s: int = pydantic.Field(default=300, ge=30, le=86_400)
    """Seconds for which the outcome of a request with a key is kept."""
    flow_idle_s: int = pydantic.Field(default=300, ge=5, le=86_400)
    """Seconds without a packet after which a flow has ended."""

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        """Reject an address that isn't an IP number with a port."""
        return str(ids.Address.parse(value))

    @pydantic.model_validator(mode="after")
    def _check_classes(self) -> "Service":
        """Reject classes of flow services and duplicate names."""
        if self.kind is ServiceKind.FLOW and self.classes:
            raise ValueError("a flow service has no request classes")
        names = [item.name for item in self.classes]
        if len(set(names)) != len(names):
            raise ValueError("two classes share a name")
        self._check_overlap()
        self._check_retention()
        return self

    def _check_overlap(self) -> None:
        """Reject two classes that match the same requests."""
        pairs = [(m, c.path_prefix) for c in self.classes for m in c.methods]
        if len(set(pairs)) != len(pairs):
            raise ValueError("two classes match one method and path prefix")

    def _check_retention(self) -> None:
        """Reject a retention shorter than the deadline of a request."""
        longest = max((c.deadline_ms for c in self.classes), default=0)
        if longest > self.key_retention_s * _MS_PER_S:
            raise ValueError(
                f"key_retention_s {self.key_retention_s} is shorter than"
                f" a class's deadline_ms {longest}"
            )

    def parsed_address(self) -> ids.Address:
        """Return the service's address in parsed form."""
        return ids.Address.parse(self.address)


@checked.dataclass(frozen=True, config=_FORBID)
class Contract:
    """The terms agreed with a customer; every other limit is derived."""

    customer: typing.Annotated[ids.CustomerId, _NAME]
    """Customer that the contract is with."""
    services: tuple[Service, ...] = ()
    """Services offered to this customer."""

    @pydantic.model_validator(mode="after")
    def _check_services(self) -> "Contract":
        """Reject two services with the same name or address."""
        for field in ("name", "address"):
            values = [getattr(item, field) for item in self.services]
            if len(set(values)) != len(values):
                raise ValueError(f"two services share one {field}")
        return self

    def service(self, name: ids.ServiceId) -> Service | None:
        """Return the service with this name, if there is one."""
        found = (item for item in self.services if item.name == name)
        return next(found, None)

    def with_changes(self, **changes: typing.Any) -> "Contract":
        """Return a validated copy with some fields replaced."""
        return dataclasses.replace(self, **changes)
