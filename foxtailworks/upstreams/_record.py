"""Announcements of upstreams and the replicated records of them."""

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
    """Stage in the life of an upstream; it never goes back."""

    READY = 0
    """The upstream takes new work."""
    DRAINING = 1
    """It finishes established work and takes no new work."""
    ENDED = 2
    """It has deregistered, or another process has its address."""


class ServiceKey(typing.NamedTuple):
    """Key of a service, whose name is unique only for its customer."""

    customer: ids.CustomerId
    """Customer whose contract names the service."""
    service: ids.ServiceId
    """Name of the service in the contract."""


def make_upstream_id(
    address: ids.Address, incarnation: ids.Incarnation
) -> ids.UpstreamId:
    """Return the id of one process at ``address``."""
    return ids.UpstreamId(f"{address}#{incarnation}")


def _check(record: "Announcement | Upstream") -> None:
    """Reject values that are out of bounds.

    :raises FoxtailError: ``ANNOUNCEMENT_INVALID``
    """
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
            "value of an announcement is out of bounds",
            address=record.address,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement that an upstream sends to any host, periodically."""

    address: ids.Address
    """Address that takes work."""
    customer: ids.CustomerId
    """Customer whose service it runs."""
    service: ids.ServiceId
    """Service that it runs, only one."""
    zone: ids.ZoneId
    """Availability zone that it is in."""
    incarnation: ids.Incarnation
    """Number that grows with each start of a process at this address."""
    slots: int = 1
    """Number of requests that it runs at once."""
    weight: float = 1.0
    """Share of work for each slot, relative to its peers."""
    lifetime_s: float = 60.0
    """Time without a further announcement after which it expires."""
    state: UpstreamState = UpstreamState.READY
    """Stage in its life; draining when it is about to stop."""
    load: float | None = None
    """Reported share of slots in use, 0 to 1; a hint only."""

    def __post_init__(self) -> None:
        """Reject values that are out of bounds."""
        _check(self)

    @property
    def id(self) -> ids.UpstreamId:
        """Id of the process that announces itself."""
        return make_upstream_id(self.address, self.incarnation)

    @property
    def key(self) -> ServiceKey:
        """Key of the service that it runs."""
        return ServiceKey(self.customer, self.service)


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """Replicated record of the upstream at one address."""

    address: ids.Address
    """Address that takes work; the key of the record."""
    customer: ids.CustomerId
    """Customer whose service it runs."""
    service: ids.ServiceId
    """Service that it runs, only one."""
    zone: ids.ZoneId
    """Availability zone that it is in."""
    incarnation: ids.Incarnation
    """Number of the process; a larger one at the address ends this one."""
    slots: int
    """Number of requests that it runs at once."""
    weight: float
    """Share of work for each slot, relative to its peers."""
    lifetime_s: float
    """Time without an announcement after which it expires."""
    state: UpstreamState
    """Furthest stage announced in this incarnation."""
    expired: bool
    """Whether its lifetime is over."""
    sequence: int
    """Number that grows with each change within an incarnation."""
    holder: ids.HostId
    """Host that keeps track of its lifetime."""

    def __post_init__(self) -> None:
        """Reject values that are out of bounds."""
        _check(self)
        is_bounded = 0 < self.sequence <= MAX_SEQUENCE
        if not is_bounded or len(self.holder) > MAX_NAME:
            raise errors.FoxtailError(
                errors.Code.ANNOUNCEMENT_INVALID,
                "value of an upstream's record is out of bounds",
                address=self.address,
            )

    @property
    def id(self) -> ids.UpstreamId:
        """Id of the process: address and incarnation."""
        return make_upstream_id(self.address, self.incarnation)

    @property
    def key(self) -> ServiceKey:
        """Key of the service that it runs."""
        return ServiceKey(self.customer, self.service)

    @property
    def takes_work(self) -> bool:
        """Return whether it may get new work."""
        return self.state is UpstreamState.READY and not self.expired

    @property
    def is_open(self) -> bool:
        """Return whether established work may continue on it."""
        return self.state is not UpstreamState.ENDED and not self.expired

    def order(self) -> tuple[int, int, int, bool, str, ServiceKey]:
        """Return the sort key by which the larger of two records wins.

        The state comes before the sequence, so that a concurrent change
        can't undo a drain. An announcement wins over an expiry with the same
        sequence.
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
    """Return the record that results from two records of one address.

    Two services under one incarnation contradict each other. Neither may
    get a packet, so the result ends the incarnation.
    """
    winner = max(old, new, key=Upstream.order)
    if old.incarnation != new.incarnation or old.key == new.key:
        return winner
    key = max(old.key, new.key)
    # The result doesn't depend on the order in which records arrive.
    return winner.with_changes(
        customer=key.customer,
        service=key.service,
        state=UpstreamState.ENDED,
        expired=False,
        sequence=MAX_SEQUENCE,
        holder=NO_HOLDER,
    )
