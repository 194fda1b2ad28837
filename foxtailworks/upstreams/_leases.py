"""Lifetimes: who keeps them, and what happens when that host is lost."""

from collections import abc
import enum
import math

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _record


class HolderState(enum.Enum):
    """Whether the host that keeps a lifetime can be asked."""

    LIVE = "live"
    """It keeps the lifetime."""
    UNREACHED = "unreached"
    """It is cut off and may still keep the lifetime."""
    GONE = "gone"
    """It is dead, has left or was never known."""


class Leases:
    """Deadlines of the upstreams that this host holds, and of orphans.

    One host, the *holder*, keeps an upstream's lifetime, so that unchanged
    announcements needn't be spread. When the holder is lost every host runs
    a deadline of its own, until another holder takes over.
    """

    def __init__(
        self, me: ids.HostId, now: float, config: _config.Config
    ) -> None:
        self._me = me
        self._cfg = config
        self._deadlines: dict[ids.Address, float] = {}
        self._earliest = math.inf
        self._by_holder: dict[ids.HostId, dict[ids.Address, float]] = {}
        self._hosts: dict[ids.HostId, membership.Host] = {}
        self._cut: set[ids.ZoneId] = set()
        self._isolated = False
        self._last_tick = now

    def holder_state(self, host_id: ids.HostId) -> HolderState:
        """Return whether a holder can be asked."""
        if host_id == self._me:
            return HolderState.LIVE
        host = self._hosts.get(host_id)
        if host is None or not host.is_live:
            return HolderState.GONE
        if self._isolated or host.zone in self._cut:
            return HolderState.UNREACHED
        return HolderState.LIVE

    def address_of(self, host_id: ids.HostId) -> ids.Address:
        """Return where a live holder is reached."""
        return self._hosts[host_id].address

    def start(self, upstream: _record.Upstream, now: float) -> None:
        """Keep the lifetime of a new or changed record."""
        address = upstream.address
        holder = self._by_holder.setdefault(upstream.holder, {})
        holder[address] = upstream.lifetime_s
        if upstream.holder == self._me:
            self._set(address, now + upstream.lifetime_s)
        elif self.holder_state(upstream.holder) is HolderState.LIVE:
            self._deadlines.pop(address, None)
        else:
            self._set(address, now + self._orphan_s(upstream.lifetime_s))

    def stop(self, upstream: _record.Upstream) -> None:
        """Keep the lifetime of a record no more."""
        self._deadlines.pop(upstream.address, None)
        held = self._by_holder.get(upstream.holder, {})
        held.pop(upstream.address, None)
        if not held:
            self._by_holder.pop(upstream.holder, None)

    def renew(self, upstream: _record.Upstream, now: float) -> None:
        """Extend the lifetime of an upstream held here."""
        self._set(upstream.address, now + upstream.lifetime_s)

    def lapse(self, upstream: _record.Upstream, now: float) -> None:
        """Wait on, for long, while the holder is cut off."""
        self._set(upstream.address, now + self._cfg.lapse_s)

    def _orphan_s(self, lifetime_s: float) -> float:
        """Return how long an upstream lives on without its holder."""
        return lifetime_s + self._cfg.orphan_grace_s

    def _set(self, address: ids.Address, deadline: float) -> None:
        """Set one deadline."""
        self._deadlines[address] = deadline
        self._earliest = min(self._earliest, deadline)

    def on_event(self, event: object, now: float) -> list[ids.Address]:
        """Follow hosts; return the upstreams whose holder is reached again."""
        if isinstance(event, membership.HostChanged):
            self._hosts[event.host.id] = event.host
            return self._follow(event.host.id, now)
        if isinstance(event, membership.ZoneChanged):
            change = self._cut.discard if event.reachable else self._cut.add
            change(event.zone)
        elif isinstance(event, membership.IsolationChanged):
            self._isolated = event.isolated
        else:
            return []
        return [
            address
            for holder in list(self._by_holder)
            for address in self._follow(holder, now)
        ]

    def _follow(self, holder: ids.HostId, now: float) -> list[ids.Address]:
        """Start or end the orphans' deadlines of one holder."""
        held = self._by_holder.get(holder, {})
        if holder == self._me:
            return []
        state = self.holder_state(holder)
        if state is HolderState.LIVE:
            for address in held:
                self._deadlines.pop(address, None)
            return list(held)
        for address, lifetime_s in held.items():
            deadline = now + self._orphan_s(lifetime_s)
            known = self._deadlines.get(address)
            # A holder found dead ends the long wait behind a cut.
            if known is None or state is HolderState.GONE:
                self._set(address, min(known or deadline, deadline))
        return []

    def due(self, now: float) -> abc.Iterable[ids.Address]:
        """Return the upstreams whose deadline is over."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > self._cfg.freeze_gap_s:
            self._postpone(gap)
        if now < self._earliest:
            return []
        ended = [a for a, until in self._deadlines.items() if until <= now]
        for address in ended:
            del self._deadlines[address]
        self._earliest = min(self._deadlines.values(), default=math.inf)
        return ended

    def _postpone(self, gap: float) -> None:
        """Count no time for which this host was stopped."""
        self._deadlines = {
            address: until + gap for address, until in self._deadlines.items()
        }
        self._earliest += gap
