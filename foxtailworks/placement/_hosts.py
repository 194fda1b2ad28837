"""Owner, successor and previous owner of each host slot."""

import collections
from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _messages
from foxtailworks.placement import _types

STARTUP_S = 5.0
"""Hosts first seen this soon after the start are assumed to be older."""
REJOINED_S = 5.0
"""Hosts that rejoin this close together were in the same partition."""
MAX_DEAD_HOSTS = 256
"""Maximum number of dead hosts kept; the oldest are dropped first."""


@dataclasses.dataclass(slots=True)
class _Member:
    """A host that is live, leaving or recently dead."""

    host: ids.HostId
    zone: ids.ZoneId
    seed: int
    state: _types.HostState | None
    """None for a dead host."""
    forget_at: float
    """Time at which a dead host is dropped."""
    settled_at: float
    """Time from which a live host counts as settled."""
    rejoined_at: float | None = None
    """Time when it was seen again after it had been declared dead."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Hosts that matter for the flows of one slot."""

    owner: ids.HostId | None
    """Live host that assigns the slot's flows to upstreams."""
    successor: ids.HostId | None
    """Live host that owns the slot after the owner is gone."""
    zone: ids.ZoneId
    """Availability zone whose table gives the default upstreams."""
    previous_owner: ids.HostId | None
    """Host that owned the slot before the owner, if it changed."""
    rejoined: ids.HostId | None
    """Host that may have owned the slot across a network partition."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RosterHost:
    """A host of the roster, live or not."""

    host: ids.HostId
    zone: ids.ZoneId
    seed: int


class HostTable:
    """Rendezvous hashing of slots over hosts, cached for each slot.

    Dead hosts count for the *zone* of a slot until every flow that they
    placed has had a packet or has ended, and new hosts don't count for as
    long: so the default upstream of a flow doesn't change with its owner.
    Hosts that count are called settled.

    :param me: this host
    :param zone: its availability zone
    :param now: time of the start
    :param settle_s: seconds for which a death or join is remembered
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
        self._started_at = now
        self._has_merged = False
        self.settle_s = settle_s
        """Seconds for which a death or join is remembered."""
        self._roster: tuple[_RosterHost, ...] = ()
        self._members: dict[ids.HostId, _Member] = {}
        self._routes: list[Route | None] = []
        self._member_list: tuple[_Member, ...] = ()
        self._settled: dict[ids.HostId, _Member] = {}
        self._next_change_at = float("inf")
        self.hosts_hash = 0
        """Hash of the live and leaving hosts."""
        self.changed_at = now
        """Time when the live or leaving hosts last changed."""
        self.zone_shares: tuple[tuple[ids.ZoneId, float], ...] = ()
        """Share of all flows that use the table of each zone."""
        self.stale_before = float("-inf")
        """Flows whose last packet is older may have moved in a partition."""
        own = _types.HostView(me, zone)
        self.set_hosts((own,), now)

    def set_hosts(
        self, hosts: tuple[_types.HostView, ...], now: float
    ) -> bool:
        """Replace the set of hosts that are live or leaving.

        :returns: whether owners changed
        """
        listed = {item.host: item for item in hosts}
        if self._me not in listed:
            listed[self._me] = _types.HostView(self._me, self._zone)
        for view in listed.values():
            self._record(view, now)
        for member in self._members.values():
            if member.state is not None and member.host not in listed:
                self._mark_dead(member, now)
        self._discard_expired(now)
        return self._refresh(now)

    def set_roster(self, hosts: tuple[_types.HostView, ...]) -> bool:
        """Replace the roster, which decides the zones of slots.

        :returns: whether the zones of slots may have changed
        """
        roster = tuple(
            _RosterHost(view.host, view.zone, _hashing.seed(view.host))
            for view in sorted(hosts, key=lambda view: view.host)
        )
        if roster == self._roster:
            return False
        self._roster = roster
        self._routes = [None] * _hashing.HOST_SLOTS
        self.zone_shares = self._zone_shares()
        return True

    def _zone_of(self, slot: int, settled: list[_Member]) -> ids.ZoneId:
        """Return the zone whose table applies to ``slot``.

        Recently started hosts may differ in which hosts they count as
        settled; the roster is the same for all.
        """
        if self._roster:
            winner = max(
                self._roster,
                key=lambda item: _hashing.score(item.seed, slot),
            )
            return winner.zone
        return settled[0].zone if settled else self._zone

    def _record(self, view: _types.HostView, now: float) -> None:
        """Add or update a host that is live or leaving."""
        member = self._members.get(view.host)
        if member is None or member.zone != view.zone:
            self._members[view.host] = _Member(
                view.host,
                view.zone,
                _hashing.seed(view.host),
                view.state,
                now,
                self._settling_time(view.host, now),
            )
            return
        if member.state is None:
            member.rejoined_at = now
            died_at = member.forget_at - self.settle_s
            self.stale_before = max(self.stale_before, died_at)
        member.state = view.state

    def on_resumed(self, now: float) -> None:
        """Record that this process was frozen: others may own its slots."""
        for member in self._present():
            member.rejoined_at = now
        self.changed_at = now
        self.stale_before = now
        self._routes = [None] * _hashing.HOST_SLOTS

    def on_restarted(self, host: ids.HostId) -> None:
        """Record that ``host`` has restarted without any flow."""
        member = self._members.get(host)
        if member is not None and member.rejoined_at is not None:
            member.rejoined_at = None
            self._routes = [None] * _hashing.HOST_SLOTS

    def _settling_time(self, host: ids.HostId, now: float) -> float:
        """Return the time from which a host first seen now is settled."""
        if host != self._me and now - self._started_at <= STARTUP_S:
            return now
        return now + self.settle_s

    def _mark_dead(self, member: _Member, now: float) -> None:
        """Mark a host as dead.

        It counts for zones for a while only if it was settled: the flows of
        one that wasn't got their zone from other hosts.
        """
        member.state = None
        settled = member.settled_at <= now
        member.forget_at = now + (self.settle_s if settled else 0.0)

    def _discard_expired(self, now: float) -> None:
        """Drop expired dead hosts, and the oldest above the maximum."""
        dead = [m for m in self._members.values() if m.state is None]
        dead.sort(key=lambda member: -member.forget_at)
        for rank, member in enumerate(dead):
            if member.forget_at <= now or rank >= MAX_DEAD_HOSTS:
                del self._members[member.host]

    def _refresh(self, now: float) -> bool:
        """Recompute all state that is derived from the members.

        :returns: whether owners changed
        """
        self._member_list = tuple(self._members.values())
        self._routes = [None] * _hashing.HOST_SLOTS
        self._settled = {
            m.host: m for m in self._member_list if m.settled_at <= now
        } or {m.host: m for m in self._present()}
        change_times = (
            m.forget_at if m.state is None else m.settled_at
            for m in self._member_list
        )
        self._next_change_at = min(
            (at for at in change_times if at > now), default=float("inf")
        )
        self.zone_shares = self._zone_shares()
        names = sorted(f"{m.host} {m.state}" for m in self._present())
        hosts_hash = _hashing.seed("\n".join(names))
        changed = hosts_hash != self.hosts_hash
        if changed:
            self.changed_at = now
        self.hosts_hash = hosts_hash
        return changed

    def _zone_shares(self) -> tuple[tuple[ids.ZoneId, float], ...]:
        """Return the share of all flows that each zone's hosts own."""
        hosts: abc.Collection[_RosterHost | _Member] = self._roster
        hosts = hosts or self._settled.values()
        counts = collections.Counter(item.zone for item in hosts)
        total = sum(counts.values())
        return tuple((zone, counts[zone] / total) for zone in sorted(counts))

    def tick(self, now: float) -> bool:
        """Apply deaths that expire and joins that settle by ``now``.

        :returns: whether the zones of slots may have changed
        """
        if now < self._next_change_at:
            return False
        self._discard_expired(now)
        self._refresh(now)
        return True

    def _present(self) -> abc.Iterator[_Member]:
        """Yield the members that are live or leaving, in order."""
        return (m for m in self._member_list if m.state is not None)

    def is_present(self, host: ids.HostId) -> bool:
        """Return whether ``host`` is live or leaving."""
        member = self._members.get(host)
        return member is not None and member.state is not None

    def is_known(self, host: ids.HostId) -> bool:
        """Return whether ``host`` is live, leaving or recently dead."""
        return host in self._members

    def peers(self) -> tuple[ids.HostId, ...]:
        """Return the other hosts that are live or leaving."""
        return tuple(m.host for m in self._present() if m.host != self._me)

    @property
    def is_leaving(self) -> bool:
        """Whether this host is handing over its slots."""
        own = self._members[self._me]
        return own.state is _types.HostState.LEAVING

    def route(self, slot: int) -> Route:
        """Return the hosts that matter for ``slot``."""
        found = self._routes[slot]
        if found is None:
            found = self._compute_route(slot)
            self._routes[slot] = found
        return found

    def _compute_route(self, slot: int) -> Route:
        """Rank the members by their score at ``slot``."""
        ranked = sorted(
            self._member_list,
            key=lambda m: (-_hashing.score(m.seed, slot), m.host),
        )
        live = [m for m in ranked if m.state is _types.HostState.LIVE]
        owner = live[0].host if live else None
        successor = live[1].host if len(live) > 1 else None
        settled = [m for m in ranked if m.host in self._settled]
        previous_owner = settled[0].host if settled else None
        return Route(
            owner,
            successor,
            self._zone_of(slot, settled),
            previous_owner if previous_owner != owner else None,
            self._recently_rejoined(ranked),
        )

    def _recently_rejoined(self, ranked: list[_Member]) -> ids.HostId | None:
        """Return the best-ranked other host that rejoined recently."""
        since = self.changed_at - REJOINED_S
        found = (
            m.host
            for m in ranked
            if m.host != self._me
            and m.state is not None
            and m.rejoined_at is not None
            and m.rejoined_at >= since
        )
        return next(found, None)

    def recent_changes(
        self, now: float
    ) -> tuple[
        tuple[_messages.DeadHost, ...], tuple[_messages.JoinedHost, ...]
    ]:
        """Return recent deaths and joins, to be sent to a starting host."""
        dead_hosts = sorted(
            (
                _messages.DeadHost(m.host, m.zone, m.forget_at - now)
                for m in self._member_list
                if m.state is None and m.forget_at > now
            ),
            key=lambda item: -item.remaining_s,
        )
        joined_hosts = sorted(
            (
                _messages.JoinedHost(m.host, m.settled_at - now)
                for m in self._member_list
                if m.state is not None and m.settled_at > now
            ),
            key=lambda item: -item.remaining_s,
        )
        cap = _messages.MAX_RECENT_CHANGES
        return tuple(dead_hosts[:cap]), tuple(joined_hosts[:cap])

    def end_startup(self, now: float) -> None:
        """Count this host as settled unless another sent recent changes."""
        if not self._has_merged:
            own = self._members[self._me]
            own.settled_at = min(own.settled_at, now)
            self._refresh(now)

    def merge_recent_changes(
        self,
        dead_hosts: tuple[_messages.DeadHost, ...],
        joined_hosts: tuple[_messages.JoinedHost, ...],
        now: float,
    ) -> None:
        """Merge the recent deaths and joins that another host has sent."""
        self._has_merged = True
        for item in dead_hosts:
            if item.host not in self._members:
                self._members[item.host] = _Member(
                    item.host,
                    item.zone,
                    _hashing.seed(item.host),
                    None,
                    now + min(item.remaining_s, self.settle_s),
                    now,
                )
        joins = {item.host: item.remaining_s for item in joined_hosts}
        for host, remaining_s in joins.items():
            member = self._members.get(host)
            if member is not None and member.settled_at <= now:
                member.settled_at = now + min(remaining_s, self.settle_s)
        own = self._members[self._me]
        if self._me not in joins and len(joins) < _messages.MAX_RECENT_CHANGES:
            own.settled_at = min(own.settled_at, now)
        self._refresh(now)
