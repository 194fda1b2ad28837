"""Lifetimes of upstreams and the hosts that keep track of them."""

from collections import abc
import enum
import math

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _record


class HolderState(enum.Enum):
    """Reachability of the host that holds an upstream's lifetime."""

    LIVE = "live"
    """The host is reachable and holds the lifetime."""
    UNREACHED = "unreached"
    """The host is unreachable and may still hold the lifetime."""
    GONE = "gone"
    """The host is dead, has left or was never known."""


class Leases:
    """Deadlines of the upstreams held by this host, and of orphans.

    One host, the *holder*, keeps track of an upstream's lifetime, so that
    unchanged announcements needn't be spread. When the holder is lost, the
    upstream is an orphan: every host sets a deadline of its own, until
    another host becomes the holder.
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
        self._unreachable_zones: set[ids.ZoneId] = set()
        self._isolated = False
        self._last_tick = now

    def holder_state(self, host_id: ids.HostId) -> HolderState:
        """Return whether a holder is live and reachable."""
        if host_id == self._me:
            return HolderState.LIVE
        host = self._hosts.get(host_id)
        if host is None or not host.is_live:
            return HolderState.GONE
        if self._isolated or host.zone in self._unreachable_zones:
            return HolderState.UNREACHED
        return HolderState.LIVE

    def address_of(self, host_id: ids.HostId) -> ids.Address:
        """Return the address of a live holder."""
        return self._hosts[host_id].address

    def start(self, upstream: _record.Upstream, now: float) -> None:
        """Start the lifetime of a new or changed record."""
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
        """Stop tracking the lifetime of a record."""
        self._deadlines.pop(upstream.address, None)
        held = self._by_holder.get(upstream.holder, {})
        held.pop(upstream.address, None)
        if not held:
            self._by_holder.pop(upstream.holder, None)

    def renew(self, upstream: _record.Upstream, now: float) -> None:
        """Extend the lifetime of an upstream held by this host."""
        self._set(upstream.address, now + upstream.lifetime_s)

    def lapse(self, upstream: _record.Upstream, now: float) -> None:
        """Set the long deadline of an upstream that is lapsed."""
        self._set(upstream.address, now + self._cfg.lapse_s)

    def _orphan_s(self, lifetime_s: float) -> float:
        """Return the lifetime of an orphan, in seconds."""
        return lifetime_s + self._cfg.orphan_grace_s

    def _set(self, address: ids.Address, deadline: float) -> None:
        """Set the deadline of one upstream."""
        self._deadlines[address] = deadline
        self._earliest = min(self._earliest, deadline)

    def on_event(self, event: object, now: float) -> list[ids.Address]:
        """Update hosts; return the upstreams of holders now reachable."""
        if isinstance(event, membership.HostChanged):
            self._hosts[event.host.id] = event.host
            return self._update_holder(event.host.id, now)
        if isinstance(event, membership.ZoneChanged):
            change = (
                self._unreachable_zones.discard
                if event.reachable
                else self._unreachable_zones.add
            )
            change(event.zone)
        elif isinstance(event, membership.IsolationChanged):
            self._isolated = event.isolated
        else:
            return []
        return [
            address
            for holder in list(self._by_holder)
            for address in self._update_holder(holder, now)
        ]

    def _update_holder(
        self, holder: ids.HostId, now: float
    ) -> list[ids.Address]:
        """Set or remove the deadlines of one holder's upstreams.

        :return: its upstreams if the holder is reachable
        """
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
            existing = self._deadlines.get(address)
            # A dead holder shortens the long deadline of a lapsed upstream.
            if existing is None or state is HolderState.GONE:
                self._set(address, min(existing or deadline, deadline))
        return []

    def pop_expired(self, now: float) -> abc.Iterable[ids.Address]:
        """Remove and return the upstreams whose deadline has passed."""
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
        """Move all deadlines by the time that this process was suspended."""
        self._deadlines = {
            address: until + gap for address, until in self._deadlines.items()
        }
        self._earliest += gap
