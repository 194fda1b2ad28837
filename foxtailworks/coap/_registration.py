"""Registrations of upstreams: RFC 9176 with additional attributes."""

import dataclasses
import enum
import typing

import aiocoap

from foxtailworks.coap import _message
from foxtailworks.coap import _write
from foxtailworks import errors
from foxtailworks import ids

PATH = "rd"
MAX_LIFETIME_S = 3600
MAX_SLOTS = 4096
MAX_NAME_CHARS = 64
MAX_SEQUENCE = 1 << 62
_BASE_PREFIX = "coap://"


class AnnouncedState(enum.Enum):
    """State that an upstream reports in its registration."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class Registration:
    """Registration that an upstream sends to any entry host."""

    name: str
    """Endpoint name of the upstream (``ep``)."""
    customer: ids.CustomerId
    """Customer whose service it runs."""
    service: ids.ServiceId
    """Name of the service in the customer's contract."""
    zone: ids.ZoneId
    """Availability zone of the upstream."""
    address: ids.Address
    """Address that it listens on (``base``)."""
    slots: int
    """Number of requests that it runs concurrently."""
    incarnation: ids.Incarnation
    """Number that grows with every start of the upstream."""
    lifetime_s: int
    """Seconds until the registration expires (``lt``); 0 ends it."""
    sequence: int = 0
    """Number that grows with every registration of one incarnation."""
    state: AnnouncedState = AnnouncedState.READY
    """State reported by the upstream."""
    load: float = 0.0
    """Reported load divided by ``slots``; a hint only."""

    def __post_init__(self) -> None:
        """Reject fields that are out of bounds.

        :raises FoxtailError: ``REQUEST_MALFORMED``
        """
        names = (self.name, self.customer, self.service, self.zone)
        checks = {
            "names": all(0 < len(item) <= MAX_NAME_CHARS for item in names),
            "slots": 1 <= self.slots <= MAX_SLOTS,
            "inc": 0 <= self.incarnation <= MAX_SEQUENCE,
            "seq": 0 <= self.sequence <= MAX_SEQUENCE,
            "lt": 0 <= self.lifetime_s <= MAX_LIFETIME_S,
            "load": 0.0 <= self.load <= MAX_SEQUENCE,
        }
        invalid = [name for name, is_valid in checks.items() if not is_valid]
        if invalid:
            raise errors.FoxtailError(
                errors.Code.REQUEST_MALFORMED,
                "registration out of bounds",
                fields=",".join(invalid),
            )

    def with_changes(self, **changes: typing.Any) -> "Registration":
        """Return a validated copy with some fields replaced."""
        return dataclasses.replace(self, **changes)

    def query(self) -> tuple[str, ...]:
        """Return the fields as Uri-Query options."""
        return (
            f"ep={self.name}",
            f"lt={self.lifetime_s}",
            f"base={_BASE_PREFIX}{self.address}",
            f"customer={self.customer}",
            f"service={self.service}",
            f"zone={self.zone}",
            f"slots={self.slots}",
            f"inc={self.incarnation}",
            f"seq={self.sequence}",
            f"state={self.state.value}",
            f"load={self.load:.2f}",
        )


def write_registration(item: Registration, message_id: int) -> bytes:
    """Encode the request that registers an upstream."""
    msg = _write.compose(aiocoap.CON, message_id, aiocoap.POST, b"")
    msg.opt.uri_path = (PATH,)
    msg.opt.uri_query = item.query()
    return bytes(msg.encode())


def read_registration(req: _message.Request) -> Registration:
    """Decode the registration in ``req``.

    :raises FoxtailError: ``REQUEST_MALFORMED``
    """
    if req.path != f"/{PATH}" or req.method is not _message.Method.POST:
        raise errors.FoxtailError(
            errors.Code.REQUEST_MALFORMED, "not a registration", path=req.path
        )
    fields = dict(item.partition("=")[::2] for item in req.raw.opt.uri_query)
    try:
        return _build(fields)
    except (KeyError, ValueError) as exc:
        raise errors.FoxtailError(
            errors.Code.REQUEST_MALFORMED,
            "registration with a missing or invalid field",
            reason=str(exc),
        ) from exc


def _build(fields: dict[str, str]) -> Registration:
    """Return the registration that the query ``fields`` describe."""
    base = fields["base"]
    if not base.startswith(_BASE_PREFIX):
        raise ValueError("base must be coap://ip:port")
    return Registration(
        name=fields["ep"],
        customer=ids.CustomerId(fields["customer"]),
        service=ids.ServiceId(fields["service"]),
        zone=ids.ZoneId(fields["zone"]),
        address=ids.Address.parse(base.removeprefix(_BASE_PREFIX)),
        slots=int(fields["slots"]),
        incarnation=ids.Incarnation(int(fields["inc"])),
        lifetime_s=int(fields["lt"]),
        sequence=int(fields.get("seq", "0")),
        state=AnnouncedState(fields.get("state", "ready")),
        load=float(fields.get("load", "0")),
    )


def registration_confirmed(req: _message.Request) -> bytes:
    """Encode the confirmation of a registration (2.04 Changed)."""
    kind = aiocoap.ACK if req.confirmable else aiocoap.NON
    msg = _write.compose(kind, req.message_id, aiocoap.CHANGED, req.token)
    return bytes(msg.encode())
