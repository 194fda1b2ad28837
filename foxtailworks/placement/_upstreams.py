"""Current upstreams, and recent sets of them with their tables."""

import collections
from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _table
from foxtailworks.placement import _types

MAX_TABLES = 512
"""Maximum number of cached tables; the oldest are evicted first."""
MAX_SETS = 128
"""Sets of upstreams kept, since digests may refer to older ones."""

_Members = tuple[_table.Member, ...]


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """An upstream that flows are assigned to."""

    view: _types.UpstreamView
    """Latest state that has been received."""
    decision: _types.Deliver
    """Decision for its packets, created once."""
    alive: bool
    """False once it is no longer listed."""
    drained_at: float
    """Time when its weight became 0, or when it was first listed."""


@dataclasses.dataclass(frozen=True, slots=True)
class _UpstreamSet:
    """A set of upstreams with weights above 0, by service."""

    members: dict[ids.ServiceId, _Members]
    """Members of each service, sorted by id."""
    hashes: dict[ids.ServiceId, int]
    """Hash of each service's members."""


class UpstreamIndex:
    """Lookup of upstreams, and of their computed tables on demand."""

    def __init__(self) -> None:
        self._upstreams: dict[ids.UpstreamId, Upstream] = {}
        self._by_service: dict[ids.ServiceId, list[Upstream]] = {}
        self._sets: collections.OrderedDict[int, _UpstreamSet] = (
            collections.OrderedDict()
        )
        self._tables: collections.OrderedDict[
            tuple[int, _table.ZoneShares, ids.ZoneId],
            tuple[ids.UpstreamId, ...],
        ] = collections.OrderedDict()
        self._set_numbers: dict[int, int] = {}
        self._set_count = 0
        self.upstreams_hash = 0
        """Hash of the current set of upstreams with weights above 0."""
        self._sets[0] = _UpstreamSet({}, {})

    def get(self, upstream: ids.UpstreamId) -> Upstream | None:
        """Return a listed upstream, or None."""
        return self._upstreams.get(upstream)

    def of_service(self, service: ids.ServiceId) -> list[Upstream]:
        """Return the listed upstreams of ``service``."""
        return self._by_service.get(service, [])

    def set_upstreams(
        self, views: tuple[_types.UpstreamView, ...], now: float
    ) -> bool:
        """Replace the listed upstreams by those that are alive.

        :returns: whether tables may have changed
        """
        listed = {view.upstream: view for view in views}
        for gone in [u for u in self._upstreams if u not in listed]:
            self._upstreams.pop(gone).alive = False
        for view in listed.values():
            self._update(view, now)
        self._by_service = {}
        for item in self._upstreams.values():
            self._by_service.setdefault(item.view.service, []).append(item)
        return self._remember_set()

    def _update(self, view: _types.UpstreamView, now: float) -> None:
        """Add or update an upstream; with a new service it is another one."""
        known = self._upstreams.get(view.upstream)
        if known is not None and known.view.service != view.service:
            known.alive = False
            known = None
        if known is None:
            known = Upstream(view, _types.Deliver(view.upstream), True, now)
            self._upstreams[view.upstream] = known
        if view.weight <= 0 < known.view.weight:
            known.drained_at = now
        known.view = view

    def _remember_set(self) -> bool:
        """Store the current set of upstreams under its hash."""
        members = {
            service: _table.members_of(item.view for item in items)
            for service, items in self._by_service.items()
        }
        members = {name: found for name, found in members.items() if found}
        hashes = {
            name: _hashing.seed(_hash_input(name, found))
            for name, found in members.items()
        }
        text = " ".join(str(hashes[name]) for name in sorted(hashes))
        upstreams_hash = _hashing.seed(text) if hashes else 0
        changed = upstreams_hash != self.upstreams_hash
        self.upstreams_hash = upstreams_hash
        self._sets[upstreams_hash] = _UpstreamSet(members, hashes)
        self._sets.move_to_end(upstreams_hash)
        if changed:
            self._set_count += 1
        self._set_numbers[upstreams_hash] = self._set_count
        while len(self._sets) > MAX_SETS:
            oldest, _ = self._sets.popitem(last=False)
            self._set_numbers.pop(oldest, None)
        return changed

    def is_recent(self, upstreams_hash: int) -> bool:
        """Return whether a set is in the newer half of those kept."""
        if upstreams_hash == self.upstreams_hash:
            return True
        number = self._set_numbers.get(upstreams_hash)
        return number is not None and number > self._set_count - MAX_SETS // 2

    def remembers(self, upstreams_hash: int) -> bool:
        """Return whether the set with this hash is still stored."""
        return upstreams_hash in self._sets

    def default_upstream(
        self,
        upstreams_hash: int,
        service: ids.ServiceId,
        host_shares: _table.ZoneShares,
        zone: ids.ZoneId,
        slot: int,
    ) -> ids.UpstreamId | None:
        """Return the default upstream of a slot, None without upstreams.

        :param upstreams_hash: hash of a stored set of upstreams
        :param host_shares: share of all flows that each zone's hosts own
        :param zone: zone whose table applies
        """
        view = self._sets[upstreams_hash]
        set_hash = view.hashes.get(service)
        if set_hash is None:
            return None
        key = (set_hash, host_shares, zone)
        table = self._tables.get(key)
        if table is None:
            table = _table.build_table(
                view.members[service], host_shares, zone
            )
            self._tables[key] = table
            if len(self._tables) > MAX_TABLES:
                self._tables.popitem(last=False)
        return table[slot]

    def pick_accepting(
        self, service: ids.ServiceId, zone: ids.ZoneId, key: int
    ) -> Upstream | None:
        """Return an upstream that accepts new flows, if any of ``zone``."""
        ready = [u for u in self.of_service(service) if _accepts_new(u)]
        near = [u for u in ready if u.view.zone == zone]
        return max(near or ready, key=_scorer(key), default=None)


def _accepts_new(item: Upstream) -> bool:
    """Return whether new flows may be assigned to ``item``."""
    return item.view.accepts_new and item.view.weight > 0


def _scorer(key: int) -> abc.Callable[[Upstream], float]:
    """Return a function that scores upstreams for one flow."""
    slot = key & 0xFFFFFFFF

    def score(item: Upstream) -> float:
        """Return the weighted rendezvous score of ``item``."""
        seed = _hashing.seed(item.view.upstream)
        return _hashing.weighted_score(seed, slot, item.view.weight)

    return score


def _hash_input(service: ids.ServiceId, members: _Members) -> str:
    """Return the text that identifies the members of a service."""
    rows = (f"{m.upstream} {m.zone} {m.weight}" for m in members)
    return "\n".join((service, *rows))
