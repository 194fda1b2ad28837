"""The group of hosts that decides on a key, chosen by rendezvous hashing."""

import collections
import dataclasses
import itertools

import xxhash

from foxtailworks import errors
from foxtailworks import ids

GROUP_SIZE = 3
MAX_ACTIVE_ROSTERS = 4
MAX_CACHED_KEYS = 4096
# Added to every retention: a retry may wait this long in the socket of a
# frozen host.
RETENTION_MARGIN_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The entry hosts as agreed by the keepers."""

    epoch: int
    """Version of the roster; increases with every change."""
    hosts: tuple[tuple[ids.HostId, ids.ZoneId], ...]
    """Each entry host and its availability zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The hosts that decide on one key under one roster."""

    members: tuple[ids.HostId, ...]
    """Hosts in rendezvous order; the first live one coordinates."""
    majority: int
    """Number of members that must agree."""


@dataclasses.dataclass(slots=True)
class _ActiveRoster:
    """A roster whose groups must still agree on claims."""

    roster: Roster
    replaced_at: float | None = None
    """Time when all but one of its hosts had adopted a later roster."""


def _rendezvous_weight(key: bytes, host: ids.HostId) -> int:
    """Return the rendezvous weight of ``host`` for ``key``."""
    return xxhash.xxh3_64_intdigest(host.encode() + b"\0" + key)


def choose_group(roster: Roster, key: ids.RequestKey) -> Group:
    """Return the group of ``key``, distributed over availability zones.

    The host with the largest weight in each availability zone is taken first;
    further hosts of a zone are taken only if there are too few zones.
    """
    ranked = sorted(
        roster.hosts, key=lambda item: -_rendezvous_weight(key, item[0])
    )
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
    """Groups of keys under every roster that is still active.

    While one roster replaces another, a claim needs a majority in the groups
    of both.  The older roster is active until all of its hosts but one have
    adopted a later one (two that haven't would still be a majority of some
    old group) and then for the longest retention, after which all claims
    granted under the old groups alone have expired.

    :param roster: the roster in force at the start
    :param retention_s: the longest retention of any contract, in seconds
    :param older: rosters that are still active elsewhere, oldest first; a
        starting host receives them from another host's :attr:`rosters`
    """

    def __init__(
        self,
        roster: Roster,
        retention_s: float,
        older: tuple[Roster, ...] = (),
    ) -> None:
        self._retention_s = retention_s
        self._active = [_ActiveRoster(item) for item in (*older, roster)]
        self._adopted: dict[ids.HostId, int] = {}
        self._cache: collections.OrderedDict[
            ids.RequestKey, tuple[Group, ...]
        ] = collections.OrderedDict()

    def set_retention(self, seconds: float) -> None:
        """Raise the longest retention; a shorter one is ignored."""
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
        """Return every active roster, oldest first."""
        return tuple(item.roster for item in self._active)

    @property
    def is_joint(self) -> bool:
        """Return whether an older roster is still active."""
        return len(self._active) > 1

    def adopt(self, now: float, roster: Roster) -> bool:
        """Adopt a later roster; return false if it is old or must wait.

        A roster is rejected while too many are active: the caller offers the
        newest one again later, and the current groups stay in use.
        """
        if roster.epoch <= self.epoch:
            return False
        if len(self._active) >= MAX_ACTIVE_ROSTERS:
            return False
        self._active.append(_ActiveRoster(roster))
        self._cache.clear()
        self._mark_replaced(now)
        return True

    def record_adoption(
        self, now: float, host: ids.HostId, epoch: int
    ) -> None:
        """Record that ``host`` has adopted ``epoch``.

        Also called for a host removed from the roster: it has stopped, and so
        counts as if it had adopted the later roster.
        """
        known = {item for item, _ in self._all_hosts()}
        if host in known:
            self._adopted[host] = max(epoch, self._adopted.get(host, 0))
            self._mark_replaced(now)

    def tick(self, now: float) -> None:
        """Remove rosters whose claims have all expired."""
        count = len(self._active)
        while len(self._active) > 1 and self._is_expired(now, self._active[0]):
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
        """Return every group that must agree on ``key``, newest last."""
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
        """Return the hosts of all groups of ``key``, newest group first."""
        groups = reversed(self.of(key))
        return tuple(
            dict.fromkeys(
                itertools.chain.from_iterable(g.members for g in groups)
            )
        )

    def share_divisor(self, host: ids.HostId) -> int:
        """Return the number by which ``host`` divides a limit for its share.

        While rosters overlap, it counts the hosts of all of them, and is 0
        (no share) for a host that isn't in each: so the shares never add up
        to more than the limit, whichever roster each host uses.
        """
        is_in_all = all(
            any(name == host for name, _ in item.roster.hosts)
            for item in self._active
        )
        names = {name for name, _ in self._all_hosts()}
        return len(names) if is_in_all else 0

    def check(self) -> None:
        """Check that rosters are in order of their epochs.

        :raises FoxtailError: ``INTERNAL`` if they aren't
        """
        epochs = [item.roster.epoch for item in self._active]
        if epochs != sorted(set(epochs)):
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "rosters out of order", epochs=epochs
            )

    def _all_hosts(self) -> set[tuple[ids.HostId, ids.ZoneId]]:
        """Return the hosts of every active roster."""
        return {pair for item in self._active for pair in item.roster.hosts}

    def _mark_replaced(self, now: float) -> None:
        """Start the expiry of rosters whose groups can't decide alone now."""
        for item in self._active[:-1]:
            if item.replaced_at is None and self._is_replaced(item.roster):
                item.replaced_at = now

    def _is_replaced(self, roster: Roster) -> bool:
        """Return whether at most one host hasn't adopted a later roster."""
        lagging = sum(
            self._adopted.get(host, 0) <= roster.epoch
            for host, _ in roster.hosts
        )
        return lagging <= 1

    def _is_expired(self, now: float, item: _ActiveRoster) -> bool:
        """Return whether the claims under this roster alone have expired."""
        if item.replaced_at is None:
            return False
        kept_s = self._retention_s + RETENTION_MARGIN_S
        return now >= item.replaced_at + kept_s
