"""Share of this host in each limit, which leases move between hosts."""

import dataclasses
import enum
import itertools
import random
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.limits import _messages

LEASE_S = 4.0
# The granting host waits longer than the holder may use a lease, since
# clocks drift.
RECLAIM_MARGIN_S = 0.2
REQUEST_EVERY_S = 0.25
HOSTS_PER_REQUEST = 2
MAX_LEASES = 32
RESERVE = 0.1
"""Part of the base share that is never granted."""
SPARE_MARGIN = 1.2
"""Multiple of the own demand that isn't granted to others."""
DEMAND_MARGIN = 1.3
"""Multiple of the own demand for which leases are requested."""
MIN_LEASE_RATIO = 0.02
"""Part of the base share below which no lease is requested or granted."""
ROUNDING = 1e-6
# The measured demand decays exponentially and never reaches zero.
IDLE_DEMAND = 1e-3


class Resource(enum.Enum):
    """Kind of resource that a limit applies to."""

    REQUESTS_PER_S = 0
    IN_FLIGHT = 1
    OPEN_FLOWS = 2
    NEW_FLOWS_PER_S = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LimitId:
    """Identity of a limit of one service of a customer."""

    customer: ids.CustomerId
    service: ids.ServiceId
    resource: Resource


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another host."""

    host: ids.HostId
    message: _messages.Message


@dataclasses.dataclass(slots=True)
class _Lease:
    """Amount that one host has leased to another."""

    host: ids.HostId
    amount: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Account:
    """Share of this host in one limit, and its leases."""

    base_share: float = 0.0
    """The limit divided by the size of the roster."""
    demand: float = 0.0
    """Recent demand as measured by admission."""
    granted: dict[int, _Lease] = dataclasses.field(default_factory=dict)
    """Leases granted to other hosts, by id."""
    borrowed: dict[int, _Lease] = dataclasses.field(default_factory=dict)
    """Leases held from other hosts, by id."""
    requested: dict[int, float] = dataclasses.field(default_factory=dict)
    """Pending requests by id, with the time of each."""
    next_request_at: float = 0.0

    def own_share(self) -> float:
        """Return the base share less all granted leases."""
        return max(0.0, self.base_share - self.granted_amount())

    def is_idle(self) -> bool:
        """Return whether there is no demand, lease or pending request."""
        moved = self.granted or self.borrowed or self.requested
        return not moved and self.demand < IDLE_DEMAND

    def granted_amount(self) -> float:
        """Return the amount of all granted leases."""
        return sum(item.amount for item in self.granted.values())


class Shares:
    """Shares of this host in all limits, and the leases that move them.

    The granting host lowers its own share before it sends a lease, and
    reclaims it only after the holder has stopped using it: the holder counts
    the lease time from its request, the granting host from the grant.  So
    the sum over all hosts never exceeds the limit, whatever messages are
    lost, duplicated or late, and in network partitions.  A restarted host
    has lost its record of granted leases; until all of them have ended it
    uses only the reserve, which is never granted.

    :param host: this host
    :param started_at: time when the process started
    :param is_first_start: whether this host has never run before
    :param rng: picks the hosts to request leases from
    """

    def __init__(
        self,
        host: ids.HostId,
        started_at: float,
        is_first_start: bool,
        rng: random.Random,
    ) -> None:
        self._host = host
        wait_s = 0.0 if is_first_start else LEASE_S + RECLAIM_MARGIN_S
        self._full_share_at = started_at + wait_s
        self._rng = rng
        self._accounts: dict[LimitId, _Account] = {}
        self._live_hosts: tuple[ids.HostId, ...] = ()
        self._numbers = itertools.count(rng.getrandbits(62))

    def set_live_hosts(self, hosts: typing.Collection[ids.HostId]) -> None:
        """Set the hosts from which leases may be requested."""
        self._live_hosts = tuple(sorted(set(hosts) - {self._host}))

    def set_limit(self, limit: LimitId, amount: float, divisor: int) -> None:
        """Set a limit of the contract, and this host's base share of it.

        :param divisor: size of the roster; 0 if this host isn't in it yet
            and may use only leases
        """
        account = self._accounts.setdefault(limit, _Account())
        account.base_share = amount / divisor if divisor else 0.0

    def remove_limit(self, limit: LimitId) -> None:
        """Remove a limit that is no longer in force."""
        self._accounts.pop(limit, None)

    def share(self, now: float, limit: LimitId, hold_s: float = 0.0) -> float:
        """Return the amount usable for the next ``hold_s`` seconds."""
        account = self._accounts.get(limit)
        if account is None:
            return 0.0
        borrowed = sum(
            item.amount
            for item in account.borrowed.values()
            if item.expires_at > now + hold_s
        )
        return self._usable_own_share(now, account) + borrowed

    def set_demand(self, limit: LimitId, demand: float) -> None:
        """Set how much of a limit the traffic on this host would use."""
        account = self._accounts.get(limit)
        if account is not None:
            account.demand = demand

    def tick(self, now: float) -> tuple[Send, ...]:
        """Drop expired leases, return unneeded ones and request more."""
        out: list[Send] = []
        for limit, account in self._accounts.items():
            if account.is_idle():
                continue
            _discard_expired(now, account)
            if now >= account.next_request_at:
                account.next_request_at = now + REQUEST_EVERY_S
                out += self._return_unneeded(limit, account)
                out += self._request_leases(now, limit, account)
        return tuple(out)

    def receive(
        self, now: float, sender: ids.HostId, message: _messages.Message
    ) -> tuple[Send, ...]:
        """Handle a message of another host and return the replies."""
        match message:
            case _messages.LeaseRequest():
                return self._grant(now, sender, message)
            case _messages.LeaseGrant():
                self._accept(now, sender, message)
            case _messages.LeaseReturn():
                self._reclaim(sender, message)
        return ()

    def _usable_own_share(self, now: float, account: _Account) -> float:
        """Return the own share, or at most the reserve after a restart."""
        own_share = account.own_share()
        if now < self._full_share_at:
            return min(own_share, account.base_share * RESERVE)
        return own_share

    def _request_leases(
        self, now: float, limit: LimitId, account: _Account
    ) -> typing.Iterator[Send]:
        """Renew leases that are needed, and request more from some hosts."""
        needed = account.demand * DEMAND_MARGIN
        expiring = []
        available = self._usable_own_share(now, account)
        for number, lease in account.borrowed.items():
            if lease.expires_at <= now + LEASE_S / 2:
                expiring.append((number, lease))
            else:
                available += lease.amount
        for number, lease in expiring:
            if needed > available:
                available += lease.amount
                yield self._request(
                    now, limit, account, lease.host, lease.amount, number
                )
        shortfall = needed - available
        if (
            shortfall <= account.base_share * MIN_LEASE_RATIO
            or not self._live_hosts
        ):
            return
        count = min(HOSTS_PER_REQUEST, len(self._live_hosts))
        for host in self._rng.sample(self._live_hosts, count):
            yield self._request(
                now, limit, account, host, shortfall / count, 0
            )

    def _return_unneeded(
        self, limit: LimitId, account: _Account
    ) -> typing.Iterator[Send]:
        """Return leases that the traffic no longer needs."""
        needed = account.demand * DEMAND_MARGIN
        available = account.own_share() + sum(
            i.amount for i in account.borrowed.values()
        )
        for number, lease in list(account.borrowed.items()):
            if available - lease.amount < needed:
                continue
            available -= lease.amount
            del account.borrowed[number]
            yield Send(
                lease.host,
                _messages.LeaseReturn(
                    limit.customer,
                    limit.service,
                    limit.resource.value,
                    number,
                ),
            )

    def _reclaim(
        self, sender: ids.HostId, message: _messages.LeaseReturn
    ) -> None:
        """Reclaim a lease that its holder has returned."""
        limit = _limit_of(message)
        account = self._accounts.get(limit) if limit else None
        lease = account.granted.get(message.number) if account else None
        if account and lease and lease.host == sender:
            del account.granted[message.number]

    def _request(
        self,
        now: float,
        limit: LimitId,
        account: _Account,
        host: ids.HostId,
        amount: float,
        renews: int,
    ) -> Send:
        """Return a request for a lease and record its time."""
        number = next(self._numbers)
        account.requested[number] = now
        return Send(
            host,
            _messages.LeaseRequest(
                limit.customer,
                limit.service,
                limit.resource.value,
                number,
                amount,
                renews,
            ),
        )

    def _grant(
        self, now: float, sender: ids.HostId, request: _messages.LeaseRequest
    ) -> tuple[Send, ...]:
        """Grant a lease if the own share allows; lower that share first."""
        limit = _limit_of(request)
        account = self._accounts.get(limit) if limit else None
        if account is None or now < self._full_share_at or request.amount <= 0:
            return ()
        _discard_expired(now, account)
        if (
            request.number in account.granted
            or len(account.granted) >= MAX_LEASES
        ):
            return ()
        old = account.granted.get(request.renews)
        if old is not None and old.host != sender:
            return ()
        amount = min(request.amount, self._grantable(account, old))
        if amount <= account.base_share * MIN_LEASE_RATIO:
            return ()
        self._record_grant(now, account, sender, request, amount)
        lease = _messages.LeaseGrant(
            request.customer,
            request.service,
            request.resource,
            request.number,
            amount,
            request.renews,
        )
        return (Send(sender, lease),)

    def _record_grant(
        self,
        now: float,
        account: _Account,
        host: ids.HostId,
        request: _messages.LeaseRequest,
        amount: float,
    ) -> None:
        """Record a lease; a renewed one counts with its larger amount.

        The holder may still use the old lease if the new one is lost.
        """
        ends_at = now + LEASE_S + RECLAIM_MARGIN_S
        before = account.granted_amount()
        old = account.granted.pop(request.renews, None)
        if old is not None and old.amount > amount:
            rest = old.amount - amount
            account.granted[request.renews] = _Lease(
                host, rest, old.expires_at
            )
        account.granted[request.number] = _Lease(host, amount, ends_at)
        most = max(before, account.base_share * (1 - RESERVE))
        if account.granted_amount() > most + ROUNDING:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "leases granted exceed the own share"
            )

    def _grantable(self, account: _Account, old: _Lease | None) -> float:
        """Return the amount that may be granted in place of ``old``."""
        free = (
            account.base_share
            - account.granted_amount()
            + (old.amount if old else 0.0)
        )
        keep = max(account.demand * SPARE_MARGIN, account.base_share * RESERVE)
        return max(0.0, free - keep)

    def _accept(
        self, now: float, sender: ids.HostId, lease: _messages.LeaseGrant
    ) -> None:
        """Start to use a lease, whose time counts from the request."""
        limit = _limit_of(lease)
        account = self._accounts.get(limit) if limit else None
        if account is None:
            return
        requested_at = account.requested.pop(lease.number, None)
        if requested_at is None or now >= requested_at + LEASE_S:
            return
        if len(account.borrowed) >= MAX_LEASES:
            return
        account.borrowed.pop(lease.renews, None)
        account.borrowed[lease.number] = _Lease(
            sender, lease.amount, requested_at + LEASE_S
        )


def _limit_of(
    message: _messages.Message,
) -> LimitId | None:
    """Return the limit that a message refers to, None for a bad one."""
    try:
        resource = Resource(message.resource)
    except ValueError:
        return None
    return LimitId(message.customer, message.service, resource)


def _discard_expired(now: float, account: _Account) -> None:
    """Drop expired leases and requests."""
    for leases in (account.granted, account.borrowed):
        for number in [n for n, i in leases.items() if i.expires_at <= now]:
            del leases[number]
    for number in [
        n for n, at in account.requested.items() if at + LEASE_S < now
    ]:
        del account.requested[number]
