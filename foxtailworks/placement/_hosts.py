"""Which host owns a slot, who comes next, who had it before."""

import collections
from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _messages
from foxtailworks.placement import _types

START_S = 5.0
"""Hosts learned of so soon after the own start were there before it."""
RETURNED_S = 5.0
"""Hosts that come back within this time come from the same cut."""
MAX_ABSENT = 256
"""Dead hosts remembered; the oldest are forgotten first."""


@dataclasses.dataclass(slots=True)
class _Member:
    """A host that is live, leaving or not long dead."""

    host: ids.HostId
    zone: ids.ZoneId
    seed: int
    state: _types.HostState | None
    """None once it is dead."""
    until: float
    """A dead host is forgotten then."""
    settles: float
    """A live host counts as settled from then on."""
    returned_at: float | None = None
    """When it was seen again after it had been held dead."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What is known of one slot."""

    owner: ids.HostId | None
    """Live host that places the slot's flows."""
    heir: ids.HostId | None
    """Live host that owns the slot when the owner is gone."""
    zone: ids.ZoneId
    """Availability zone whose table the slot's flows stand by."""
    prior: ids.HostId | None
    """Host that owned the slot before the owner did, if it changed."""
    returned: ids.HostId | None
    """Host that may have owned the slot on the other side of a cut."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Home:
    """A host of the agreed list."""

    host: ids.HostId
    zone: ids.ZoneId
    seed: int


class HostRing:
    """Rendezvous over hosts, cached slot by slot.

    Dead hosts count for the *zone* of a slot until every flow that they
    placed has had a packet or ended, and new hosts don't count for so long:
    thus the table that a flow stands by doesn't change with its owner.

    :param me: this host
    :param zone: its availability zone
    :param now: time of the start
    :param settle_s: how long a death or join is remembered
    """

    def __init__(
        self,
        me: ids.HostId,
        zone: ids.ZoneId,
        now: float,
        settle_s: float,
    ) -> None:
        self._me = me
        self._zone = zone
        self._started = now
        self._adopted = False
        self.settle_s = settle_s
        """How long a death or join is remembered."""
        self._homes: tuple[_Home, ...] = ()
        self._members: dict[ids.HostId, _Member] = {}
        self._routes: list[Route | None] = []
        self._order: tuple[_Member, ...] = ()
        self._settled: dict[ids.HostId, _Member] = {}
        self._next_event = float("inf")
        self.view_hash = 0
        """Hash of the live and leaving hosts."""
        self.changed_at = now
        """When the live or leaving hosts last changed."""
        self.shares: tuple[tuple[ids.ZoneId, float], ...] = ()
        """Share of the flows that the table of each zone places."""
        self.doubt_before = float("-inf")
        """A flow last heard before may stand elsewhere after a cut."""
        own = _types.HostView(me, zone)
        self.set_hosts((own,), now)

    def set_hosts(
        self, hosts: tuple[_types.HostView, ...], now: float
    ) -> bool:
        """Take in the hosts that are live or leaving.

        :returns: whether owners changed
        """
        listed = {item.host: item for item in hosts}
        if self._me not in listed:
            listed[self._me] = _types.HostView(self._me, self._zone)
        for view in listed.values():
            self._meet(view, now)
        for member in self._members.values():
            if member.state is not None and member.host not in listed:
                self._bury(member, now)
        self._forget(now)
        return self._refresh(now)

    def set_roster(self, hosts: tuple[_types.HostView, ...]) -> bool:
        """Take in the agreed hosts, from which slots get their zones.

        :returns: whether the zones of slots may have changed
        """
        homes = tuple(
            _Home(view.host, view.zone, _hashing.seed(view.host))
            for view in sorted(hosts, key=lambda view: view.host)
        )
        if homes == self._homes:
            return False
        self._homes = homes
        self._routes = [None] * _hashing.HOST_SLOTS
        self.shares = self._zone_shares()
        return True

    def _zone_of(self, slot: int, settled: list[_Member]) -> ids.ZoneId:
        """Return the zone by which the table places ``slot``.

        Hosts may differ in what they hold settled, for as long as they have
        just started; the agreed hosts are the same for all.
        """
        if self._homes:
            home = max(
                self._homes,
                key=lambda item: _hashing.score(item.seed, slot),
            )
            return home.zone
        return settled[0].zone if settled else self._zone

    def _meet(self, view: _types.HostView, now: float) -> None:
        """Note a listed host."""
        member = self._members.get(view.host)
        if member is None or member.zone != view.zone:
            self._members[view.host] = _Member(
                view.host,
                view.zone,
                _hashing.seed(view.host),
                view.state,
                now,
                self._settles_at(view.host, now),
            )
            return
        if member.state is None:
            member.returned_at = now
            buried_at = member.until - self.settle_s
            self.doubt_before = max(self.doubt_before, buried_at)
        member.state = view.state

    def awoke(self, now: float) -> None:
        """Note that this host stood still: others may own its slots."""
        for member in self._present():
            member.returned_at = now
        self.changed_at = now
        self.doubt_before = now
        self._routes = [None] * _hashing.HOST_SLOTS

    def restarted(self, host: ids.HostId) -> None:
        """Note that ``host`` has started empty: it knows of no flow."""
        member = self._members.get(host)
        if member is not None and member.returned_at is not None:
            member.returned_at = None
            self._routes = [None] * _hashing.HOST_SLOTS

    def _settles_at(self, host: ids.HostId, now: float) -> float:
        """Return when a host first seen now counts as settled."""
        if host != self._me and now - self._started <= START_S:
            return now
        return now + self.settle_s

    def _bury(self, member: _Member, now: float) -> None:
        """Note a death; a host that wasn't settled placed by others."""
        member.state = None
        settled = member.settles <= now
        member.until = now + (self.settle_s if settled else 0.0)

    def _forget(self, now: float) -> None:
        """Drop dead hosts whose time is over, and the oldest beyond cap."""
        dead = [m for m in self._members.values() if m.state is None]
        dead.sort(key=lambda member: -member.until)
        for rank, member in enumerate(dead):
            if member.until <= now or rank >= MAX_ABSENT:
                del self._members[member.host]

    def _refresh(self, now: float) -> bool:
        """Recompute what derives from the members.

        :returns: whether owners changed
        """
        self._order = tuple(self._members.values())
        self._routes = [None] * _hashing.HOST_SLOTS
        self._settled = {
            m.host: m for m in self._order if m.settles <= now
        } or {m.host: m for m in self._present()}
        ages = (m.until if m.state is None else m.settles for m in self._order)
        self._next_event = min(
            (at for at in ages if at > now), default=float("inf")
        )
        self.shares = self._zone_shares()
        names = sorted(f"{m.host} {m.state}" for m in self._present())
        view_hash = _hashing.seed("\n".join(names))
        changed = view_hash != self.view_hash
        if changed:
            self.changed_at = now
        self.view_hash = view_hash
        return changed

    def _zone_shares(self) -> tuple[tuple[ids.ZoneId, float], ...]:
        """Return which part of the flows each zone's hosts place."""
        hosts: abc.Collection[_Home | _Member] = self._homes
        hosts = hosts or self._settled.values()
        counts = collections.Counter(item.zone for item in hosts)
        total = sum(counts.values())
        return tuple((zone, counts[zone] / total) for zone in sorted(counts))

    def tick(self, now: float) -> bool:
        """Let deaths and joins age.

        :returns: whether the zones of slots may have changed
        """
        if now < self._next_event:
            return False
        self._forget(now)
        self._refresh(now)
        return True

    def _present(self) -> abc.Iterator[_Member]:
        """Yield the members that are live or leaving."""
        return (m for m in self._order if m.state is not None)

    def is_present(self, host: ids.HostId) -> bool:
        """Return whether ``host`` is live or leaving."""
        member = self._members.get(host)
        return member is not None and member.state is not None

    def is_known(self, host: ids.HostId) -> bool:
        """Return whether ``host`` is present or not long dead."""
        return host in self._members

    def peers(self) -> tuple[ids.HostId, ...]:
        """Return the other hosts that are live or leaving."""
        return tuple(m.host for m in self._present() if m.host != self._me)

    @property
    def is_leaving(self) -> bool:
        """Whether this host hands over what it owns."""
        own = self._members[self._me]
        return own.state is _types.HostState.LEAVING

    def route(self, slot: int) -> Route:
        """Return what is known of ``slot``."""
        found = self._routes[slot]
        if found is None:
            found = self._compute(slot)
            self._routes[slot] = found
        return found

    def _compute(self, slot: int) -> Route:
        """Rank the members at ``slot``."""
        ranked = sorted(
            self._order,
            key=lambda m: (-_hashing.score(m.seed, slot), m.host),
        )
        live = [m for m in ranked if m.state is _types.HostState.LIVE]
        owner = live[0].host if live else None
        heir = live[1].host if len(live) > 1 else None
        settled = [m for m in ranked if m.host in self._settled]
        prior = settled[0].host if settled else None
        return Route(
            owner,
            heir,
            self._zone_of(slot, settled),
            prior if prior != owner else None,
            self._returned(ranked),
        )

    def _returned(self, ranked: list[_Member]) -> ids.HostId | None:
        """Return the first other host that came back of late."""
        since = self.changed_at - RETURNED_S
        found = (
            m.host
            for m in ranked
            if m.host != self._me
            and m.state is not None
            and m.returned_at is not None
            and m.returned_at >= since
        )
        return next(found, None)

    def notices(
        self, now: float
    ) -> tuple[
        tuple[_messages.DeadHost, ...], tuple[_messages.JoinedHost, ...]
    ]:
        """Return the latest deaths and joins for a host that starts."""
        absent = sorted(
            (
                _messages.DeadHost(m.host, m.zone, m.until - now)
                for m in self._order
                if m.state is None and m.until > now
            ),
            key=lambda item: -item.left_s,
        )
        fresh = sorted(
            (
                _messages.JoinedHost(m.host, m.settles - now)
                for m in self._order
                if m.state is not None and m.settles > now
            ),
            key=lambda item: -item.left_s,
        )
        cap = _messages.MAX_NOTICES
        return tuple(absent[:cap]), tuple(fresh[:cap])

    def end_start(self, now: float) -> None:
        """Settle a host that found no other that had started earlier."""
        if not self._adopted:
            own = self._members[self._me]
            own.settles = min(own.settles, now)
            self._refresh(now)

    def adopt(
        self,
        absent: tuple[_messages.DeadHost, ...],
        fresh: tuple[_messages.JoinedHost, ...],
        now: float,
    ) -> None:
        """Take another host's memory of deaths and joins after a start."""
        self._adopted = True
        for item in absent:
            if item.host not in self._members:
                self._members[item.host] = _Member(
                    item.host,
                    item.zone,
                    _hashing.seed(item.host),
                    None,
                    now + min(item.left_s, self.settle_s),
                    now,
                )
        joins = {item.host: item.left_s for item in fresh}
        for host, left_s in joins.items():
            member = self._members.get(host)
            if member is not None and member.settles <= now:
                member.settles = now + min(left_s, self.settle_s)
        own = self._members[self._me]
        if self._me not in joins and len(joins) < _messages.MAX_NOTICES:
            own.settles = min(own.settles, now)
        self._refresh(now)
