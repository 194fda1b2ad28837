"""Where each packet goes; no socket, file or clock."""

import dataclasses
import random

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _choice
from foxtailworks.steering import _config
from foxtailworks.steering import _decisions
from foxtailworks.steering import _flows
from foxtailworks.steering import _routes
from foxtailworks.steering import _silence
from foxtailworks.steering import _tokens

_Reason = _decisions.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A packet of a caller after the opening one."""

    flow: _flows.FlowKey
    """Which flow."""
    destination: ids.Address
    """What the caller sent it to."""
    token: _tokens.Token
    """Carried back from the opening."""
    has_ended: bool
    """The caller sends nothing new after this packet."""


class Steering:
    """Decides for each packet of callers.

    :param roster: kept up to date by the caller
    :param rng: decides ties
    """

    def __init__(
        self,
        roster: discovery.Roster,
        rng: random.Random,
        config: _config.Config | None = None,
    ) -> None:
        self._cfg = config or _config.Config()
        self._roster = roster
        self._rng = rng
        self._tokens = _tokens.Tokens(roster)
        self._flows = _flows.Flows(self._cfg)
        self._silence = _silence.Silence(self._cfg)
        self._chooser = _choice.Chooser(self._flows.open_at, rng, self._cfg)
        self._routes: dict[ids.Address, _routes.Route] = {}
        self.revision = 0

    @property
    def flows(self) -> int:
        """Flows that are remembered."""
        return len(self._flows)

    def put_routes(self, table: _routes.RouteTable) -> bool:
        """Put a table in force; false when a newer one is."""
        if table.revision <= self.revision:
            return False
        self.revision = table.revision
        self._routes = {item.destination: item for item in table.routes}
        return True

    def open(
        self,
        flow: _flows.FlowKey,
        destination: ids.Address,
        copy: int,
        now: float,
    ) -> _decisions.Decision:
        """Place an opening packet.

        :param copy: 0 for the first, then 1, 2 for the caller's copies
        """
        if not self.revision:
            return _decisions.Drop(_Reason.NOT_READY)
        route = self._routes.get(destination)
        if route is None:
            # A route that was just added may be on its way here: the
            # caller's next copy is answered for certain.
            if copy == 0:
                return _decisions.Drop(_Reason.NO_ROUTE)
            return _decisions.Reset(_Reason.NO_ROUTE)
        chosen = self._choose(flow, route, now)
        if chosen is None:
            return _decisions.Reset(_Reason.NO_UPSTREAM)
        key = chosen.instance.key
        self._flows.opened(flow, key, now)
        self._silence.on_opening(flow, key, now)
        token = _tokens.token_of(*key)
        return _decisions.Forward(chosen.instance, token)

    def forward(self, packet: Packet, now: float) -> _decisions.Decision:
        """Route a later packet by its token alone."""
        if not self.revision:
            return _decisions.Drop(_Reason.NOT_READY)
        route = self._routes.get(packet.destination)
        if route is None:
            return _decisions.Reset(_Reason.NO_ROUTE)
        known = self._tokens.find(packet.token)
        if known is None:
            return _decisions.Drop(_Reason.UNKNOWN_TOKEN)
        if known.instance.state is discovery.InstanceState.GONE:
            return self._end(known, now)
        self._count(packet, known.instance.key, route, now)
        return _decisions.Forward(known.instance, packet.token)

    def _end(self, known: discovery.Known, now: float) -> _decisions.Decision:
        """End a flow whose upstream has gone, once it has surely ended."""
        if now - known.changed_at < self._cfg.exit_s:
            return _decisions.Drop(_Reason.UPSTREAM_GONE)
        return _decisions.Reset(_Reason.UPSTREAM_GONE)

    def on_tick(self, now: float) -> None:
        """Let time pass."""
        self._silence.on_tick(self._flows, now)
        for _ in self._flows.expire(now):
            pass

    def _count(
        self,
        packet: Packet,
        upstream: _flows.InstanceKey,
        route: _routes.Route,
        now: float,
    ) -> None:
        """Keep the counts of open flows up to date."""
        if packet.has_ended:
            self._flows.closed(packet.flow, upstream, now)
            return
        until = now + route.timeout_ms / 1000
        before = self._flows.seen(packet.flow, upstream, until)
        if before is _flows.Phase.OPENING:
            self._silence.on_answered(upstream)

    def _choose(
        self, flow: _flows.FlowKey, route: _routes.Route, now: float
    ) -> discovery.Known | None:
        """Return the upstream for a new flow."""
        service = self._service(route)
        usable = [
            item
            for item in self._roster.of_service(service, now)
            if self._tokens.is_exact(item)
        ]
        known = self._flows.get(flow)
        tried = known.tried if known is not None else ()
        good = [
            item
            for item in usable
            if item.instance.key not in tried
            and not self._silence.is_avoided(item.instance.key, now)
        ]
        return self._chooser.choose(good or usable)

    def _service(self, route: _routes.Route) -> ids.ServiceId:
        """Draw a service by the weights of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [item.weight for item in route.shares]
        share = self._rng.choices(route.shares, weights)[0]
        return share.service
