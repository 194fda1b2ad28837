"""What hosts have told one another of their flows, and how to ask it."""

from collections import abc
import itertools
import typing

from foxtailworks import ids
from foxtailworks.placement import _flows
from foxtailworks.placement import _hashing
from foxtailworks.placement import _hosts
from foxtailworks.placement import _incoming
from foxtailworks.placement import _outgoing
from foxtailworks.placement import _peers
from foxtailworks.placement import _standing
from foxtailworks.placement import _types
from foxtailworks.placement import _upstreams
from foxtailworks.placement import _walk


class Knowledge:
    """What this host knows of flows by others, and others by it.

    :class:`~foxtailworks.placement._exchange.Exchange` keeps it up to date.

    :param me: this host
    :param epoch: its incarnation
    :param now: time of its start
    """

    def __init__(
        self,
        me: ids.HostId,
        epoch: int,
        now: float,
        cfg: _types.PlacementConfig,
        ring: _hosts.HostRing,
        book: _upstreams.UpstreamBook,
        table: _flows.FlowTable,
    ) -> None:
        self._me = me
        self._epoch = epoch
        self._started = now
        self._now = now
        self._cfg = cfg
        self._ring = ring
        self._book = book
        self._table = table
        self._numbers = itertools.count(1)
        self._outgoing: dict[ids.HostId, _outgoing.Outgoing] = {}
        self._incoming = _incoming.Incoming(cfg.max_received_flows)
        self._walk = _walk.Walk(cfg, ring, table)
        self._peers = _peers.Peers(ring, now)
        self._starting = True
        self._scan: abc.Iterator[None] | None = None
        self._scan_due = now
        self._dirty = True
        self._tokens = cfg.control_burst_bytes
        self._turn = 0
        self.sent_bytes = 0
        """Control messages sent, headers included."""
        self.ignored = 0
        """Control messages that were late or unknown."""

    # What the placer asks.

    @property
    def held(self) -> int:
        """Exceptions of other hosts kept here."""
        return len(self._incoming)

    @property
    def told(self) -> int:
        """Exceptions that other hosts are told of."""
        return sum(out.told for out in self._outgoing.values())

    def lookup(
        self, service: ids.ServiceId, key: int, route: _hosts.Route
    ) -> _upstreams.Upstream | None:
        """Return the upstream on which others said that a flow stands."""
        mark = _hashing.fingerprint(key)
        for told in self._incoming.lookup(mark):
            name: ids.UpstreamId | None = told.standing.upstream
            if not name:
                name = self._base(told.standing.view, service, key, route)
            upstream = self._book.get(name) if name else None
            if upstream is not None and upstream.view.service == service:
                return upstream
        return None

    def handed_over(
        self, service: ids.ServiceId, key: int
    ) -> _upstreams.Upstream | None:
        """Return where a flow stood when its owner took it from this host.

        Only a death of the owner brings it back here, before it could tell
        this host of the flow in turn.
        """
        flow = self._walk.handed_over(key)
        if flow is None or not flow.upstream.alive:
            return None
        is_same = flow.upstream.view.service == service
        return flow.upstream if is_same else None

    def who_knows(
        self, key: int, route: _hosts.Route, asker: ids.HostId | None
    ) -> ids.HostId | None:
        """Return whom to ask of a flow that was told in terms lacked here.

        A host that has started doesn't know the sets of upstreams of before.
        Who told of the flow is asked, or the heir, which was told of it by
        the owner before, once that one has gone or lost its memory.

        :param asker: asks here itself
        """
        mark = _hashing.fingerprint(key)
        tellers: list[ids.HostId] = []
        for told in self._incoming.lookup(mark):
            standing = told.standing
            if standing.upstream or self._book.knows_view(standing.view):
                return None
            if self._peers.epoch(told.origin) <= told.epoch:
                tellers.append(told.origin)
            if route.heir is not None:
                tellers.append(route.heir)
        able = (
            host
            for host in tellers
            if host not in (self._me, asker) and self._ring.is_present(host)
        )
        return next(able, None)

    def _base(
        self,
        view_hash: int,
        service: ids.ServiceId,
        key: int,
        route: _hosts.Route,
    ) -> ids.UpstreamId | None:
        """Return what the table of a remembered set of upstreams says."""
        if not self._book.knows_view(view_hash):
            return None
        return self._table.base(view_hash, service, key, route)

    def whom_to_ask(
        self, route: _hosts.Route, now: float
    ) -> ids.HostId | None:
        """Return the host that may know a flow that this owner doesn't."""
        if self._starting:
            hosts = (route.prior, route.heir)
        elif now >= self._ring.changed_at + self._cfg.handover_s:
            return None
        elif route.prior and self._ring.is_present(route.prior):
            hosts = (route.prior, None)
        else:
            hosts = (route.returned, None)
        knowing = (h for h in hosts if h and self._may_know(h, now))
        host = next(knowing, None)
        return None if host is None or self._is_synced(host) else host

    def _may_know(self, host: ids.HostId, now: float) -> bool:
        """Return whether ``host`` is present and hasn't just started."""
        if not self._ring.is_present(host):
            return False
        return not self._peers.started_within(host, self._cfg.handover_s, now)

    def _is_synced(self, host: ids.HostId) -> bool:
        """Return whether ``host`` told all, in terms of known views."""
        goal = self._incoming.goal_of(host)
        if goal is None or not self._book.knows_view(goal.upstreams):
            return False
        return self._incoming.is_whole(host, self._ring.view_hash)

    @property
    def starting(self) -> bool:
        """Whether this host still learns what others know."""
        return self._starting

    def is_new(self, host: ids.HostId, now: float) -> bool:
        """Return whether ``host`` doesn't know yet what others know."""
        if self._peers.epoch(host) == 0:
            return True
        return self._peers.started_within(host, self._cfg.handover_s, now)

    def base_view(self, route: _hosts.Route) -> int:
        """Return the set of upstreams by which the last owner placed."""
        if route.prior is None:
            return self._book.view_hash
        goal = self._incoming.goal_of(route.prior)
        if goal is None or not self._book.knows_view(goal.upstreams):
            return self._book.view_hash
        return goal.upstreams

    def note_placed(
        self, key: int, upstream: _upstreams.Upstream, route: _hosts.Route
    ) -> None:
        """Have the next host told of a flow if it stands off the table."""
        target = self._table.target(route)
        if target is None:
            return
        mark = _hashing.fingerprint(key)
        out = self._out(target)
        views = {self._book.view_hash}
        # The other host still goes by the set that it was told last.
        if out.goal is not None and self._book.knows_view(out.goal.upstreams):
            views.add(out.goal.upstreams)
        standing = _standing.at_base(self._book.view_hash)
        if any(
            self._table.is_exception(key, upstream, route, view)
            for view in views
        ):
            standing = _standing.Standing(upstream.view.upstream)
        out.add(mark, standing)

    def _told(self, host: ids.HostId, mark: int) -> _standing.Standing | None:
        """Return what ``host`` is told of a flow."""
        out = self._outgoing.get(host)
        return out.standing_of(mark) if out is not None else None

    # Changes.

    def set_idle_times(
        self, idle_s: typing.Mapping[ids.ServiceId, float]
    ) -> None:
        """Take in the idle time of each service's flows."""
        self._walk.set_idle_times(idle_s)

    def tables_changed(self) -> None:
        """Look through all flows for new exceptions."""
        self._dirty = True

    def hosts_changed(self) -> None:
        """Forget what was told to hosts that are gone."""
        self._dirty = True
        self._peers.hosts_changed()
        gone = [h for h in self._outgoing if not self._ring.is_present(h)]
        for host in gone:
            del self._outgoing[host]

    def _out(self, host: ids.HostId) -> _outgoing.Outgoing:
        """Return what is being told to ``host``."""
        out = self._outgoing.get(host)
        if out is None:
            out = _outgoing.Outgoing(self._epoch, self._numbers)
            out.to_epoch = self._peers.epoch(host)
            self._outgoing[host] = out
        return out
