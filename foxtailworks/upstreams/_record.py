"""What upstreams announce, and the record that hosts keep of it."""

import dataclasses
import enum
import typing

from foxtailworks import errors
from foxtailworks import ids

MAX_NAME = 64
MAX_SLOTS = 100_000
MAX_WEIGHT = 1_000.0
MIN_LIFETIME_S = 1.0
MAX_LIFETIME_S = 3_600.0
MAX_SEQUENCE = 1 << 40
NO_HOLDER = ids.HostId("")


class UpstreamState(enum.Enum):
    """How far an upstream is in its life; it never goes back."""

    READY = 0
    """Takes new work."""
    DRAINING = 1
    """Finishes established work and takes no new one."""
    ENDED = 2
    """Gone: deregistered, or its address belongs to another process."""


class ServiceKey(typing.NamedTuple):
    """A service's name is unique within its customer's contract only."""

    customer: ids.CustomerId
    """Whose contract names the service."""
    service: ids.ServiceId
    """Name in the contract."""


def make_upstream_id(
    address: ids.Address, incarnation: ids.Incarnation
) -> ids.UpstreamId:
    """Return the id of the process that owns ``address``."""
    return ids.UpstreamId(f"{address}#{incarnation}")


def _check(record: "Announcement | Upstream") -> None:
    """Refuse values out of bounds."""
    names = (record.customer, record.service, record.zone)
    bad = [name for name in names if not 0 < len(name) <= MAX_NAME]
    if (
        bad
        or not 0 < record.slots <= MAX_SLOTS
        or not 0 < record.weight <= MAX_WEIGHT
        or not MIN_LIFETIME_S <= record.lifetime_s <= MAX_LIFETIME_S
        or not 0 <= record.incarnation < 1 << 63
    ):
        raise errors.FoxtailError(
            errors.Code.ANNOUNCEMENT_INVALID,
            "announcement out of bounds",
            address=record.address,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream tells any host about itself, again and again."""

    address: ids.Address
    """Where it takes work."""
    customer: ids.CustomerId
    """Whose service it runs."""
    service: ids.ServiceId
    """The one service it runs."""
    zone: ids.ZoneId
    """Availability zone that it stands in."""
    incarnation: ids.Incarnation
    """Grows with each start of a process at this address."""
    slots: int = 1
    """Requests that it runs at once."""
    weight: float = 1.0
    """Share of work for each slot, against its peers."""
    lifetime_s: float = 60.0
    """Without a further announcement it is gone after so long."""
    state: UpstreamState = UpstreamState.READY
    """Draining once it is about to stop."""
    load: float | None = None
    """Reported share of slots in use, 0 to 1; a hint only."""

    def __post_init__(self) -> None:
        """Refuse values out of bounds."""
        _check(self)

    @property
    def id(self) -> ids.UpstreamId:
        """Id of the announcing process."""
        return make_upstream_id(self.address, self.incarnation)

    @property
    def key(self) -> ServiceKey:
        """The service with its customer."""
        return ServiceKey(self.customer, self.service)


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """The replicated record of one address."""

    address: ids.Address
    """Where it takes work; the key of the record."""
    customer: ids.CustomerId
    """Whose service it runs."""
    service: ids.ServiceId
    """The one service it runs."""
    zone: ids.ZoneId
    """Availability zone that it stands in."""
    incarnation: ids.Incarnation
    """A larger one is another upstream and ends this one."""
    slots: int
    """Requests that it runs at once."""
    weight: float
    """Share of work for each slot, against its peers."""
    lifetime_s: float
    """Time without an announcement after which it expires."""
    state: UpstreamState
    """The furthest state claimed in this incarnation."""
    expired: bool
    """Whether its lifetime ran out."""
    sequence: int
    """Grows with each change within an incarnation."""
    holder: ids.HostId
    """The host that keeps its lifetime."""

    def __post_init__(self) -> None:
        """Refuse values out of bounds."""
        _check(self)
        is_bounded = 0 < self.sequence <= MAX_SEQUENCE
        if not is_bounded or len(self.holder) > MAX_NAME:
            raise errors.FoxtailError(
                errors.Code.ANNOUNCEMENT_INVALID,
                "record out of bounds",
                address=self.address,
            )

    @property
    def id(self) -> ids.UpstreamId:
        """Id of the process: address and incarnation."""
        return make_upstream_id(self.address, self.incarnation)

    @property
    def key(self) -> ServiceKey:
        """The service with its customer."""
        return ServiceKey(self.customer, self.service)

    @property
    def takes_work(self) -> bool:
        """Tell whether new work may go to it."""
        return self.state is UpstreamState.READY and not self.expired

    @property
    def is_open(self) -> bool:
        """Tell whether established work may go on."""
        return self.state is not UpstreamState.ENDED and not self.expired

    def order(self) -> tuple[int, int, int, bool, str, ServiceKey]:
        """Return what decides between two records of one address.

        The state stands before the sequence: a change that crosses a drain
        can't undo it. An announcement beats an expiry of equal sequence.
        """
        return (
            self.incarnation,
            self.state.value,
            self.sequence,
            not self.expired,
            self.holder,
            self.key,
        )

    def with_changes(self, **changes: typing.Any) -> "Upstream":
        """Return a copy with some fields replaced."""
        return dataclasses.replace(self, **changes)


def resolve(old: Upstream, new: Upstream) -> Upstream:
    """Return which of two records of one address stands.

    Two services under one incarnation contradict each other: neither may
    get a packet, so the incarnation ends.
    """
    winner = max(old, new, key=Upstream.order)
    if old.incarnation != new.incarnation or old.key == new.key:
        return winner
    key = max(old.key, new.key)
    # The same for any order in which hosts meet the records.
    return winner.with_changes(
        customer=key.customer,
        service=key.service,
        state=UpstreamState.ENDED,
        expired=False,
        sequence=MAX_SEQUENCE,
        holder=NO_HOLDER,
    )
