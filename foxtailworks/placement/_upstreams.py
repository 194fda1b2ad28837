"""The upstreams as the placer sees them, now and a little while ago."""

import collections
from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _table
from foxtailworks.placement import _types

MAX_TABLES = 512
"""Computed tables kept; the least used are computed again when needed."""
MAX_VIEWS = 128
"""Sets of upstreams kept, for hosts whose digests refer to older ones."""

_Members = tuple[_table.Member, ...]


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """An upstream that flows stand on."""

    view: _types.UpstreamView
    """Its latest state."""
    decision: _types.Deliver
    """Made once for all packets."""
    alive: bool
    """False once it isn't listed any more."""
    drained_at: float
    """When its weight became 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """The upstreams that have a weight, by service."""

    members: dict[ids.ServiceId, _Members]
    """Sorted by id."""
    hashes: dict[ids.ServiceId, int]
    """Hash of each service's members."""


class UpstreamBook:
    """Looks up upstreams and computes tables when they are needed."""

    def __init__(self) -> None:
        self._upstreams: dict[ids.UpstreamId, Upstream] = {}
        self._by_service: dict[ids.ServiceId, list[Upstream]] = {}
        self._views: collections.OrderedDict[int, _View] = (
            collections.OrderedDict()
        )
        self._tables: collections.OrderedDict[
            tuple[int, _table.Shares, ids.ZoneId],
            tuple[ids.UpstreamId, ...],
        ] = collections.OrderedDict()
        self._numbers: dict[int, int] = {}
        self._count = 0
        self.view_hash = 0
        """Hash of the upstreams that have a weight."""
        self._views[0] = _View({}, {})

    def get(self, upstream: ids.UpstreamId) -> Upstream | None:
        """Return a listed upstream."""
        return self._upstreams.get(upstream)

    def of_service(self, service: ids.ServiceId) -> list[Upstream]:
        """Return the listed upstreams of ``service``."""
        return self._by_service.get(service, [])

    def set_upstreams(
        self, views: tuple[_types.UpstreamView, ...], now: float
    ) -> bool:
        """Take in all upstreams that are alive.

        :returns: whether tables may have changed
        """
        listed = {view.upstream: view for view in views}
        for gone in [u for u in self._upstreams if u not in listed]:
            self._upstreams.pop(gone).alive = False
        for view in listed.values():
            self._note(view, now)
        self._by_service = {}
        for item in self._upstreams.values():
            self._by_service.setdefault(item.view.service, []).append(item)
        return self._set_view()

    def _note(self, view: _types.UpstreamView, now: float) -> None:
        """Take in one upstream; one that changes its service is another."""
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

    def _set_view(self) -> bool:
        """Remember the present set of upstreams under its hash."""
        members = {
            service: _table.members_of(item.view for item in items)
            for service, items in self._by_service.items()
        }
        members = {name: found for name, found in members.items() if found}
        hashes = {
            name: _hashing.seed(_text(name, found))
            for name, found in members.items()
        }
        text = " ".join(str(hashes[name]) for name in sorted(hashes))
        view_hash = _hashing.seed(text) if hashes else 0
        changed = view_hash != self.view_hash
        self.view_hash = view_hash
        self._views[view_hash] = _View(members, hashes)
        self._views.move_to_end(view_hash)
        if changed:
            self._count += 1
        self._numbers[view_hash] = self._count
        while len(self._views) > MAX_VIEWS:
            oldest, _ = self._views.popitem(last=False)
            self._numbers.pop(oldest, None)
        return changed

    def is_recent(self, view_hash: int) -> bool:
        """Return whether a set is among the later half of those kept."""
        if view_hash == self.view_hash:
            return True
        number = self._numbers.get(view_hash)
        return number is not None and number > self._count - MAX_VIEWS // 2

    def knows_view(self, view_hash: int) -> bool:
        """Return whether the set with this hash is remembered."""
        return view_hash in self._views

    def base(
        self,
        view_hash: int,
        service: ids.ServiceId,
        hosts: _table.Shares,
        zone: ids.ZoneId,
        slot: int,
    ) -> ids.UpstreamId | None:
        """Return the upstream that the table names.

        :param view_hash: a remembered set of upstreams
        :param hosts: part of all flows that each zone's hosts place
        :param zone: whose table is meant
        """
        view = self._views[view_hash]
        set_hash = view.hashes.get(service)
        if set_hash is None:
            return None
        key = (set_hash, hosts, zone)
        table = self._tables.get(key)
        if table is None:
            table = _table.build_table(view.members[service], hosts, zone)
            self._tables[key] = table
            if len(self._tables) > MAX_TABLES:
                self._tables.popitem(last=False)
        return table[slot]

    def spill(
        self, service: ids.ServiceId, zone: ids.ZoneId, key: int
    ) -> Upstream | None:
        """Return an upstream that takes new flows, of ``zone`` if any."""
        ready = [u for u in self.of_service(service) if _is_ready(u)]
        near = [u for u in ready if u.view.zone == zone]
        return max(near or ready, key=_scorer(key), default=None)


def _is_ready(item: Upstream) -> bool:
    """Return whether new flows may be placed on ``item``."""
    return item.view.accepts_new and item.view.weight > 0


def _scorer(key: int) -> abc.Callable[[Upstream], float]:
    """Return the rendezvous score of upstreams for one flow."""
    slot = key & 0xFFFFFFFF

    def score(item: Upstream) -> float:
        """Return the score, which grows with the weight."""
        seed = _hashing.seed(item.view.upstream)
        return _hashing.weighted_score(seed, slot, item.view.weight)

    return score


def _text(service: ids.ServiceId, members: _Members) -> str:
    """Return what the hash of a service's members is taken of."""
    rows = (f"{m.upstream} {m.zone} {m.weight}" for m in members)
    return "\n".join((service, *rows))
