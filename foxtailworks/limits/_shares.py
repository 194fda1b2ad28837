"""One host's share of each limit, moved by leases."""

import dataclasses
import enum
import itertools
import random
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.limits import _messages

LEASE_S = 4.0
# The giver waits longer than the taker may use it, for clocks that drift.
RECLAIM_MARGIN_S = 0.2
ASK_EVERY_S = 0.25
ASKED_HOSTS = 2
MAX_LEASES = 32
RESERVE = 0.1
SPARE_MARGIN = 1.2
WANT_MARGIN = 1.3
MIN_MOVE = 0.02
ROUNDING = 1e-6
# Measured demand fades and never reaches zero.
IDLE_DEMAND = 1e-3


class Resource(enum.Enum):
    """What a limit counts."""

    REQUESTS_PER_S = 0
    IN_FLIGHT = 1
    OPEN_FLOWS = 2
    NEW_FLOWS_PER_S = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LimitId:
    """One limit of one service of a customer."""

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
    """An amount that one host lent to another."""

    host: ids.HostId
    amount: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Account:
    """This host's part of one limit."""

    base: float = 0.0
    """Limit / roster size."""
    demand: float = 0.0
    """Wanted of late, from admission."""
    given: dict[int, _Lease] = dataclasses.field(default_factory=dict)
    taken: dict[int, _Lease] = dataclasses.field(default_factory=dict)
    asked: dict[int, float] = dataclasses.field(default_factory=dict)
    """Open questions and when they were asked."""
    ask_at: float = 0.0

    def own(self) -> float:
        """Return the base without what was given away."""
        return max(0.0, self.base - self.lent())

    def is_idle(self) -> bool:
        """Return whether nothing is wanted, lent, borrowed or asked."""
        moved = self.given or self.taken or self.asked
        return not moved and self.demand < IDLE_DEMAND

    def lent(self) -> float:
        """Return what others may use of the base."""
        return sum(item.amount for item in self.given.values())


class Shares:
    """Derives and moves this host's shares.

    The giver lowers its own share before it sends a lease, and takes it
    back only after the taker has stopped using it: the taker counts from
    when it asked, the giver from when it gave.  So the sum over all hosts
    never exceeds the limit, whatever is lost, doubled, late or cut off.  A
    restarted host doesn't know what it gave; it uses only the reserve,
    which is never given, until all its old leases have ended.

    :param host: this host
    :param started_at: when the process started
    :param fresh: the first start of this host
    :param rng: picks whom to ask
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
        self._whole_at = started_at + wait_s
        self._rng = rng
        self._accounts: dict[LimitId, _Account] = {}
        self._alive: tuple[ids.HostId, ...] = ()
        self._serial = itertools.count(rng.getrandbits(62))

    def set_live_hosts(self, hosts: typing.Collection[ids.HostId]) -> None:
        """Take in which other hosts may be asked."""
        self._alive = tuple(sorted(set(hosts) - {self._host}))

    def set_limit(self, limit: LimitId, amount: float, divisor: int) -> None:
        """Take in a limit of the contract.

        :param divisor: size of the roster; 0 when this host has no part
            in it yet and may use only what it is lent
        """
        account = self._accounts.setdefault(limit, _Account())
        account.base = amount / divisor if divisor else 0.0

    def remove_limit(self, limit: LimitId) -> None:
        """Drop a limit that is in force no more."""
        self._accounts.pop(limit, None)

    def share(self, now: float, limit: LimitId, hold_s: float = 0.0) -> float:
        """Return what this host may use for the next ``hold_s`` seconds."""
        account = self._accounts.get(limit)
        if account is None:
            return 0.0
        borrowed = sum(
            item.amount
            for item in account.taken.values()
            if item.expires_at > now + hold_s
        )
        return self._own(now, account) + borrowed

    def set_demand(self, limit: LimitId, demand: float) -> None:
        """Note how much of a limit the traffic here would use."""
        account = self._accounts.get(limit)
        if account is not None:
            account.demand = demand

    def tick(self, now: float) -> tuple[Send, ...]:
        """Reclaim and drop ended leases; ask for what is short."""
        out: list[Send] = []
        for limit, account in self._accounts.items():
            if account.is_idle():
                continue
            _drop_ended(now, account)
            if now >= account.ask_at:
                account.ask_at = now + ASK_EVERY_S
                out += self._give_back(limit, account)
                out += self._ask(now, limit, account)
        return tuple(out)

    def receive(
        self, now: float, sender: ids.HostId, message: _messages.Message
    ) -> tuple[Send, ...]:
        """Take in a question for a lease, or a lease."""
        match message:
            case _messages.LeaseRequest():
                return self._lend(now, sender, message)
            case _messages.LeaseGrant():
                self._borrow(now, sender, message)
            case _messages.LeaseReturn():
                self._take_back(sender, message)
        return ()

    def _own(self, now: float, account: _Account) -> float:
        """Return the own part, which is small after a restart."""
        own = account.own()
        if now < self._whole_at:
            return min(own, account.base * RESERVE)
        return own

    def _ask(
        self, now: float, limit: LimitId, account: _Account
    ) -> typing.Iterator[Send]:
        """Renew leases that are needed, and ask some hosts for more."""
        want = account.demand * WANT_MARGIN
        ending = []
        have = self._own(now, account)
        for number, lease in account.taken.items():
            if lease.expires_at <= now + LEASE_S / 2:
                ending.append((number, lease))
            else:
                have += lease.amount
        for number, lease in ending:
            if want > have:
                have += lease.amount
                yield self._question(
                    now, limit, account, lease.host, lease.amount, number
                )
        short = want - have
        if short <= account.base * MIN_MOVE or not self._alive:
            return
        count = min(ASKED_HOSTS, len(self._alive))
        for host in self._rng.sample(self._alive, count):
            yield self._question(now, limit, account, host, short / count, 0)

    def _give_back(
        self, limit: LimitId, account: _Account
    ) -> typing.Iterator[Send]:
        """Stop using leases that the traffic no longer needs."""
        want = account.demand * WANT_MARGIN
        have = account.own() + sum(i.amount for i in account.taken.values())
        for number, lease in list(account.taken.items()):
            if have - lease.amount < want:
                continue
            have -= lease.amount
            del account.taken[number]
            yield Send(
                lease.host,
                _messages.LeaseReturn(
                    limit.customer,
                    limit.service,
                    limit.resource.value,
                    number,
                ),
            )

    def _take_back(
        self, sender: ids.HostId, message: _messages.LeaseReturn
    ) -> None:
        """Use again what was lent, now that the other has stopped."""
        limit = _limit_of(message)
        account = self._accounts.get(limit) if limit else None
        lease = account.given.get(message.number) if account else None
        if account and lease and lease.host == sender:
            del account.given[message.number]

    def _question(
        self,
        now: float,
        limit: LimitId,
        account: _Account,
        host: ids.HostId,
        amount: float,
        renews: int,
    ) -> Send:
        """Return one question, remembered with the time of asking."""
        number = next(self._serial)
        account.asked[number] = now
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

    def _lend(
        self, now: float, sender: ids.HostId, ask: _messages.LeaseRequest
    ) -> tuple[Send, ...]:
        """Lower the own share first, then tell the one who asked."""
        limit = _limit_of(ask)
        account = self._accounts.get(limit) if limit else None
        if account is None or now < self._whole_at or ask.amount <= 0:
            return ()
        _drop_ended(now, account)
        if ask.number in account.given or len(account.given) >= MAX_LEASES:
            return ()
        old = account.given.get(ask.renews)
        if old is not None and old.host != sender:
            return ()
        amount = min(ask.amount, self._spare(account, old))
        if amount <= account.base * MIN_MOVE:
            return ()
        self._give(now, account, sender, ask, amount)
        lease = _messages.LeaseGrant(
            ask.customer,
            ask.service,
            ask.resource,
            ask.number,
            amount,
            ask.renews,
        )
        return (Send(sender, lease),)

    def _give(
        self,
        now: float,
        account: _Account,
        host: ids.HostId,
        ask: _messages.LeaseRequest,
        amount: float,
    ) -> None:
        """Write down a lease; a renewed one counts at its larger amount.

        The taker may still use the old one if the new one is lost.
        """
        ends_at = now + LEASE_S + RECLAIM_MARGIN_S
        before = account.lent()
        old = account.given.pop(ask.renews, None)
        if old is not None and old.amount > amount:
            rest = old.amount - amount
            account.given[ask.renews] = _Lease(host, rest, old.expires_at)
        account.given[ask.number] = _Lease(host, amount, ends_at)
        most = max(before, account.base * (1 - RESERVE))
        if account.lent() > most + ROUNDING:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "more lent than the share"
            )

    def _spare(self, account: _Account, old: _Lease | None) -> float:
        """Return what may be lent, with what ``old`` lends already."""
        free = account.base - account.lent() + (old.amount if old else 0.0)
        keep = max(account.demand * SPARE_MARGIN, account.base * RESERVE)
        return max(0.0, free - keep)

    def _borrow(
        self, now: float, sender: ids.HostId, lease: _messages.LeaseGrant
    ) -> None:
        """Use a lease, counted from when it was asked for."""
        limit = _limit_of(lease)
        account = self._accounts.get(limit) if limit else None
        if account is None:
            return
        asked_at = account.asked.pop(lease.number, None)
        if asked_at is None or now >= asked_at + LEASE_S:
            return
        if len(account.taken) >= MAX_LEASES:
            return
        account.taken.pop(lease.renews, None)
        account.taken[lease.number] = _Lease(
            sender, lease.amount, asked_at + LEASE_S
        )


def _limit_of(
    message: _messages.Message,
) -> LimitId | None:
    """Return the limit that a message speaks of, if there is such a one."""
    try:
        resource = Resource(message.resource)
    except ValueError:
        return None
    return LimitId(message.customer, message.service, resource)


def _drop_ended(now: float, account: _Account) -> None:
    """Forget leases and questions whose time is over."""
    for leases in (account.given, account.taken):
        for number in [n for n, i in leases.items() if i.expires_at <= now]:
            del leases[number]
    for number in [n for n, at in account.asked.items() if at + LEASE_S < now]:
        del account.asked[number]
