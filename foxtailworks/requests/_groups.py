"""Which hosts decide over a key: three of the roster, by rendezvous."""

import collections
import dataclasses
import itertools

import xxhash

from foxtailworks import errors
from foxtailworks import ids

GROUP_SIZE = 3
MAX_ACTIVE_ROSTERS = 4
MAX_CACHED_KEYS = 4096
# What is kept for a retention is kept longer by this: a retry may sit so
# long in the socket of a host that is frozen.
KEEP_SLACK_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The entry hosts that the keepers have agreed on."""

    epoch: int
    """Grows with every change of the roster."""
    hosts: tuple[tuple[ids.HostId, ids.ZoneId], ...]
    """Each entry host and its availability zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The hosts that decide over one key under one roster."""

    members: tuple[ids.HostId, ...]
    """In rendezvous order; the first live one coordinates."""
    majority: int
    """How many members must agree."""


@dataclasses.dataclass(slots=True)
class _Active:
    """A roster whose groups must still agree."""

    roster: Roster
    replaced_at: float | None = None
    """When enough of its hosts had adopted a later roster."""


def _score(key: bytes, host: ids.HostId) -> int:
    """Return the rendezvous weight of ``host`` for ``key``."""
    return xxhash.xxh3_64_intdigest(host.encode() + b"\0" + key)


def choose_group(roster: Roster, key: ids.RequestKey) -> Group:
    """Return the group of ``key``, spread over availability zones.

    The best host of each availability zone comes first; further hosts of
    the same availability zone are taken only when there are too few zones.
    """
    ranked = sorted(roster.hosts, key=lambda item: -_score(key, item[0]))
    seen: set[ids.ZoneId] = set()
    first: list[ids.HostId] = []
    later: list[ids.HostId] = []
    for host, zone in ranked:
        (later if zone in seen else first).append(host)
        seen.add(zone)
    chosen = (first + later)[:GROUP_SIZE]
    members = tuple(host for host, _ in ranked if host in chosen)
    return Group(members, len(members) // 2 + 1)


class KeyGroups:
    """The groups of keys under every roster that still counts.

    While a roster replaces another, a claim needs a majority in the groups
    of both.  The older roster counts until all of its hosts but one have
    adopted a later one (two that haven't would still be a majority of some
    old group) and then for the longest retention, after which what was
    granted under the old groups alone has expired.

    :param roster: the roster in force at the start
    :param retention_s: the longest retention of any contract
    :param older: rosters that still count elsewhere, oldest first; a host
        that starts takes them from another host's :attr:`rosters`
    """

    def __init__(
        self,
        roster: Roster,
        retention_s: float,
        older: tuple[Roster, ...] = (),
    ) -> None:
        self._retention_s = retention_s
        self._active = [_Active(item) for item in (*older, roster)]
        self._adopted: dict[ids.HostId, int] = {}
        self._cache: collections.OrderedDict[
            ids.RequestKey, tuple[Group, ...]
        ] = collections.OrderedDict()

    def set_retention(self, seconds: float) -> None:
        """Take in a longer retention; a shorter one changes nothing."""
        self._retention_s = max(self._retention_s, seconds)

    @property
    def epoch(self) -> int:
        """Return the epoch of the newest roster."""
        return self._active[-1].roster.epoch

    @property
    def roster(self) -> Roster:
        """Return the newest roster."""
        return self._active[-1].roster

    @property
    def rosters(self) -> tuple[Roster, ...]:
        """Return every roster that counts, oldest first."""
        return tuple(item.roster for item in self._active)

    def divisor(self, host: ids.HostId) -> int:
        """Return by how many a limit is divided for ``host``'s share.

        It is 0 for a host that isn't in every roster that counts: the
        others may still divide the limit among themselves alone.
        """
        pools = [{h for h, _ in r.hosts} for r in self.rosters]
        if not all(host in pool for pool in pools):
            return 0
        return len(set[ids.HostId]().union(*pools))

    @property
    def is_joint(self) -> bool:
        """Return whether an older roster still counts."""
        return len(self._active) > 1

    def adopt(self, now: float, roster: Roster) -> bool:
        """Adopt a later roster; false when it is old or must wait.

        Too many rosters at once are refused: the caller offers the newest
        one again later, and the groups in force go on.
        """
        if roster.epoch <= self.epoch:
            return False
        if len(self._active) >= MAX_ACTIVE_ROSTERS:
            return False
        self._active.append(_Active(roster))
        self._cache.clear()
        self._mark_replaced(now)
        return True

    def record_adoption(
        self, now: float, host: ids.HostId, epoch: int
    ) -> None:
        """Note that ``host`` is at ``epoch``, or is vouched to be off."""
        known = {item for item, _ in self._all_hosts()}
        if host in known:
            self._adopted[host] = max(epoch, self._adopted.get(host, 0))
            self._mark_replaced(now)

    def tick(self, now: float) -> None:
        """Drop rosters whose claims have all expired."""
        count = len(self._active)
        while len(self._active) > 1 and self._is_over(now, self._active[0]):
            del self._active[0]
        if len(self._active) != count:
            self._cache.clear()
            known = {item for item, _ in self._all_hosts()}
            self._adopted = {
                host: epoch
                for host, epoch in self._adopted.items()
                if host in known
            }

    def of(self, key: ids.RequestKey) -> tuple[Group, ...]:
        """Return every group that must agree on ``key``; newest last."""
        found = self._cache.get(key)
        if found is None:
            found = tuple(
                dict.fromkeys(
                    choose_group(item.roster, key) for item in self._active
                )
            )
            self._cache[key] = found
            if len(self._cache) > MAX_CACHED_KEYS:
                self._cache.popitem(last=False)
        return found

    def members(self, key: ids.RequestKey) -> tuple[ids.HostId, ...]:
        """Return the hosts of all groups of ``key``; newest group first."""
        groups = reversed(self.of(key))
        return tuple(
            dict.fromkeys(
                itertools.chain.from_iterable(g.members for g in groups)
            )
        )

    def share_divisor(self, host: ids.HostId) -> int:
        """Return by how many hosts a limit is divided at ``host``.

        While rosters overlap it is all hosts of any, and a host that isn't
        in each has no share of its own (0): so shares sum up to the limit
        at most, whichever roster each host goes by.
        """
        is_in_all = all(
            any(name == host for name, _ in item.roster.hosts)
            for item in self._active
        )
        names = {name for name, _ in self._all_hosts()}
        return len(names) if is_in_all else 0

    def check(self) -> None:
        """Assert that rosters stand in order of their epochs."""
        epochs = [item.roster.epoch for item in self._active]
        if epochs != sorted(set(epochs)):
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "rosters out of order", epochs=epochs
            )

    def _all_hosts(self) -> set[tuple[ids.HostId, ids.ZoneId]]:
        """Return the hosts of every roster that counts."""
        return {pair for item in self._active for pair in item.roster.hosts}

    def _mark_replaced(self, now: float) -> None:
        """Start the retention of rosters that can decide no more alone."""
        for item in self._active[:-1]:
            if item.replaced_at is None and self._is_replaced(item.roster):
                item.replaced_at = now

    def _is_replaced(self, roster: Roster) -> bool:
        """Return whether at most one host still holds to ``roster``."""
        lagging = sum(
            self._adopted.get(host, 0) <= roster.epoch
            for host, _ in roster.hosts
        )
        return lagging <= 1

    def _is_over(self, now: float, item: _Active) -> bool:
        """Return whether what the roster alone granted has expired."""
        if item.replaced_at is None:
            return False
        kept_s = self._retention_s + KEEP_SLACK_S
        return now >= item.replaced_at + kept_s
