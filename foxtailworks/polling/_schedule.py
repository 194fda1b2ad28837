"""Which coordinators an edge host polls, and when.

A host follows few coordinators.  They notify it of changes, so that it polls
them rarely; it polls the others still less, to learn what a partitioned one
knows.  So the load on a coordinator grows with its share of the hosts, not
with all of them.
"""

from collections import abc
import dataclasses
import enum
import random

import xxhash

from foxtailworks import ids

FOLLOWED = 2
"""Coordinators that a host follows: one may fail without a delay."""
FOLLOW_S = 1.0
"""Longest interval between two polls of a followed coordinator; it bounds the
delay after a lost notice."""
BACKGROUND_S = 2.0
"""Longest interval between two polls of any other coordinator. With the
followed ones gone, a change arrives within it, before the seconds that
operators and upstreams allow have passed."""
POLL_S = 0.25
"""Interval while too few coordinators answer, or while a poll is
unanswered."""
FIRST_POLL_S = 0.06
"""First interval while this host has no routes and can't serve callers."""
FIRST_POLL_SHARE = 0.15
"""Share of the time without routes that the interval grows to, up to
``FOLLOW_S``: 300 hosts that poll each 0.06 s send 5,000 polls a second to each
coordinator, which then has no time left to get the routes."""
URGENT_S = 0.05
"""Shortest interval between two polls for an urgent reason."""
SILENT_S = 0.75
"""Time after an unanswered poll at which a coordinator counts as
unresponsive: three more polls."""
LOST_S = 2.5
"""Time without an answer after which a coordinator counts as lost; longer
than the interval of background polls."""
DROP_AFTER_S = 60.0
"""Time without an answer after which a coordinator that isn't a seed is no
longer polled."""
MAX_COORDINATORS = 64
"""Maximum number of coordinators polled."""
_JITTER = 0.25
# Share of an interval that varies, so that hosts that started at once don't
# poll at once.


class Need(enum.Enum):
    """What a host needs from coordinators now."""

    CHANGES = enum.auto()
    """Changes only."""
    OPINION = enum.auto()
    """Exchange of suspicions: all coordinators are polled."""
    ROUTES = enum.auto()
    """Its first routes: all coordinators are polled in quick succession, and
    less often the longer none has any."""


@dataclasses.dataclass(frozen=True, slots=True)
class DuePoll:
    """A coordinator to poll now."""

    address: ids.Address
    """Address to send the poll to."""
    is_follower: bool
    """Whether the host follows this coordinator."""
    is_responsive: bool
    """Whether it has answered the last poll, if there was one."""


@dataclasses.dataclass(slots=True)
class _Contact:
    """State of one coordinator as seen from this host."""

    rank: int
    """Hash by which this host orders coordinators."""
    answered_at: float
    """Time of its last answer, or when it became known."""
    polled_at: float = float("-inf")
    """Time of the last poll."""
    next_poll_at: float = float("-inf")
    """Time of the next poll in normal operation."""
    unanswered_since: float | None = None
    """Time of the first poll after its last answer."""
    is_current: bool = True
    """Whether it said in its last answer that it knows a leader."""

    def is_usable(self, now: float) -> bool:
        """Return whether it answers and isn't behind."""
        since = self.unanswered_since
        return self.is_current and (since is None or now - since < SILENT_S)


class Schedule:
    """Decides which coordinators to poll.

    :param host: name of this host; hosts order coordinators differently
    :param seeds: coordinators to begin with; they are never dropped
    :param rng: spreads the polls of many hosts
    :param now: monotonic seconds, as in all methods
    """

    def __init__(
        self,
        host: ids.HostId,
        seeds: abc.Iterable[ids.Address],
        rng: random.Random,
        now: float,
    ) -> None:
        self._host = host
        self._rng = rng
        self._seeds: frozenset[ids.Address] = frozenset()
        self._contacts: dict[ids.Address, _Contact] = {}
        self._last_followed: frozenset[ids.Address] = frozenset()
        self._without_routes_since: float | None = None
        self.put_seeds(seeds, now)

    def put_seeds(self, seeds: abc.Iterable[ids.Address], now: float) -> None:
        """Replace the seeds; other known coordinators stay."""
        self._seeds = frozenset(seeds)
        for address in sorted(self._seeds):
            self._contacts.setdefault(address, self._make(address, now))

    def add(self, addresses: abc.Iterable[ids.Address], now: float) -> None:
        """Add coordinators that another one lists."""
        for address in addresses:
            if address in self._contacts:
                continue
            if len(self._contacts) < MAX_COORDINATORS:
                self._contacts[address] = self._make(address, now)

    def _make(self, address: ids.Address, now: float) -> _Contact:
        """Return the state of a coordinator that became known."""
        rank = xxhash.xxh64_intdigest(f"{self._host}>{address}".encode())
        return _Contact(rank, now)

    def on_answer(
        self, address: ids.Address, is_current: bool, now: float
    ) -> bool:
        """Record an answer; return whether the coordinator had been lost."""
        contact = self._contacts.get(address)
        if contact is None:
            return False
        was_lost = now - contact.answered_at > LOST_S
        contact.answered_at = now
        contact.unanswered_since = None
        contact.is_current = is_current
        return was_lost

    def on_part(self, address: ids.Address, now: float) -> None:
        """Record a part of an answer, whose rest is on its way."""
        contact = self._contacts.get(address)
        if contact is not None:
            contact.answered_at = now
            contact.unanswered_since = None

    def knows(self, address: ids.Address) -> bool:
        """Return whether an address is one of a coordinator."""
        return address in self._contacts

    def request_poll(self, address: ids.Address) -> None:
        """Poll a coordinator as soon as its last poll isn't too recent."""
        contact = self._contacts.get(address)
        if contact is not None:
            contact.next_poll_at = contact.polled_at + URGENT_S

    def request_polls_of_followed(self, now: float) -> None:
        """Poll the followed coordinators as soon as possible."""
        for address in self.followed(now):
            self.request_poll(address)

    def request_polls_of_all(self) -> None:
        """Poll all coordinators at once, to report a suspicion."""
        for address in self._contacts:
            self.request_poll(address)

    def due(self, now: float, need: Need) -> tuple[DuePoll, ...]:
        """Return the coordinators to poll now, and record the polls."""
        self._drop_unresponsive(now)
        followed = frozenset(self.followed(now))
        for address in followed - self._last_followed:
            self.request_poll(address)
        self._last_followed = followed
        if need is not Need.ROUTES:
            self._without_routes_since = None
        elif self._without_routes_since is None:
            self._without_routes_since = now
        is_short = len(followed) < min(FOLLOWED, len(self._contacts))
        due = []
        for address, contact in self._contacts.items():
            if self._poll_time(contact, need, is_short, now) > now:
                continue
            is_followed = address in followed
            longest_s = FOLLOW_S if is_followed else BACKGROUND_S
            jitter = 1 - _JITTER * self._rng.random()
            contact.polled_at = now
            contact.next_poll_at = now + longest_s * jitter
            is_responsive = contact.unanswered_since is None
            if is_responsive:
                contact.unanswered_since = now
            due.append(DuePoll(address, is_followed, is_responsive))
        return tuple(due)

    def _poll_time(
        self, contact: _Contact, need: Need, is_short: bool, now: float
    ) -> float:
        """Return the time at which a coordinator is to be polled."""
        if self._without_routes_since is not None:
            waited_s = now - self._without_routes_since
            interval_s = max(FIRST_POLL_S, FIRST_POLL_SHARE * waited_s)
            return min(
                contact.next_poll_at,
                contact.polled_at + min(FOLLOW_S, interval_s),
            )
        is_unanswered = contact.unanswered_since is not None
        if need is Need.OPINION or is_short or is_unanswered:
            return min(contact.next_poll_at, contact.polled_at + POLL_S)
        return contact.next_poll_at

    def followed(self, now: float) -> tuple[ids.Address, ...]:
        """Return the coordinators that this host follows now, in its order."""
        usable = [
            (contact.rank, address)
            for address, contact in self._contacts.items()
            if contact.is_usable(now)
        ]
        return tuple(address for _, address in sorted(usable)[:FOLLOWED])

    def _drop_unresponsive(self, now: float) -> None:
        """Forget coordinators that are unresponsive, except seeds."""
        for address, contact in list(self._contacts.items()):
            if (
                address not in self._seeds
                and now - contact.answered_at > DROP_AFTER_S
            ):
                del self._contacts[address]
