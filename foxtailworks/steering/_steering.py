"""Where each packet goes; no socket, file or clock."""

from collections import abc
import dataclasses
import random

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _choice
from foxtailworks.steering import _config
from foxtailworks.steering import _decisions
from foxtailworks.steering import _events
from foxtailworks.steering import _flows
from foxtailworks.steering import _pending
from foxtailworks.steering import _routes
from foxtailworks.steering import _suspicion
from foxtailworks.steering import _tokens

_Reason = _decisions.Reason
_MS_PER_S = 1000


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


@dataclasses.dataclass(frozen=True, slots=True)
class DueSyn:
    """An opening packet that has waited, and what to do with it now."""

    packet: bytes
    """As it came."""
    decision: _decisions.Decision
    """Where it goes."""


class Steering:
    """Decides for each packet of callers.

    :param roster: kept up to date by the caller
    :param zone: availability zone of this host
    :param rng: decides ties
    """

    def __init__(
        self,
        roster: discovery.Roster,
        zone: ids.ZoneId,
        rng: random.Random,
        config: _config.Config | None = None,
    ) -> None:
        self._cfg = config or _config.Config()
        self._roster = roster
        self._zone = zone
        self._rng = rng
        self._tokens = _tokens.Tokens(roster)
        self._flows = _flows.Flows(self._cfg)
        self.suspicions = _suspicion.SuspicionTracker(self._cfg)
        """Which upstreams are avoided; shared among hosts."""
        self._pending = _pending.PendingSyns(self._cfg)
        self._chooser = _choice.Chooser(self._flows.open_at, rng, self._cfg)
        self._routes: dict[ids.Address, _routes.Route] = {}
        self.revision = 0
        self.events = _events.Events()
        """What happened, for logs and counters."""

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

    def open(self, syn: _pending.Syn, now: float) -> _decisions.Decision:
        """Place an opening packet, or keep it until that is possible."""
        decision = self._open(syn, now)
        if not isinstance(decision, _decisions.Forward):
            self._note(syn.flow, syn.destination, 0, decision)
        return decision

    def forward(self, packet: Packet, now: float) -> _decisions.Decision:
        """Route a later packet by its token alone."""
        decision = self._forward(packet, now)
        if not isinstance(decision, _decisions.Forward):
            self._note(packet.flow, packet.destination, packet.token, decision)
        return decision

    def _note(
        self,
        flow: _flows.FlowKey,
        destination: ids.Address,
        token: int,
        decision: _decisions.Reset | _decisions.Drop,
    ) -> None:
        """Note a packet that isn't forwarded."""
        self.events.add(
            _events.Rejected(
                flow,
                destination,
                decision.reason,
                isinstance(decision, _decisions.Reset),
                token,
                self.revision,
            )
        )

    def _open(self, syn: _pending.Syn, now: float) -> _decisions.Decision:
        """Decide on an opening packet."""
        if not self.revision:
            self._pending.hold(syn, now)
            return _decisions.Drop(_Reason.NOT_READY)
        route = self._routes.get(syn.destination)
        if route is None:
            # A route that was just added may be on its way here: the
            # caller's next copy is answered for certain.
            if syn.retransmission == 0:
                return _decisions.Drop(_Reason.NO_ROUTE)
            return _decisions.Reset(_Reason.NO_ROUTE)
        return self._place(syn, route, now)

    def _forward(self, packet: Packet, now: float) -> _decisions.Decision:
        """Decide on a later packet."""
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

    def on_tick(self, now: float) -> abc.Iterator[DueSyn]:
        """Let time pass; yield the openings that are due."""
        for key, flow in self._flows.expire(now):
            self._note_expired(key, flow, now)
        yield from self._release(now)
        for placed in self._pending.unanswered(now):
            yield from self._place_again(placed, now)

    def _release(self, now: float) -> abc.Iterator[DueSyn]:
        """Place what waited for routes."""
        if not self.revision:
            return
        for syn in self._pending.release(now):
            yield DueSyn(syn.packet, self.open(syn, now))

    def _place_again(
        self, placed: _pending.Placed, now: float
    ) -> abc.Iterator[DueSyn]:
        """Place an unanswered opening on another upstream.

        The caller takes the first answer; an opening that reaches two
        upstreams opens a flow at one of them. Only the first one's silence
        speaks against it: a crashed upstream may have reset the caller,
        which then answers nobody.
        """
        syn = placed.syn
        flow = self._flows.get(syn.flow)
        if flow is None or flow.phase is not _flows.Phase.OPENING:
            return
        if flow.placed_at != placed.at or flow.upstream != placed.upstream:
            return
        if len(flow.tried) == 1:
            self.suspicions.on_unanswered(placed.upstream, now)
        self.events.add(
            _events.Unanswered(syn.flow, placed.upstream, now - placed.at)
        )
        route = self._routes.get(syn.destination)
        if route is None or len(flow.tried) >= self._cfg.unprompted:
            return
        again = self._candidates(flow, route, now)
        if again:
            yield DueSyn(syn.packet, self._place(syn, route, now))

    def _place(
        self, syn: _pending.Syn, route: _routes.Route, now: float
    ) -> _decisions.Decision:
        """Place an opening on the best upstream for it.

        After a first try without answer the own zone goes first: a cut
        between zones is the likeliest cause that many share.
        """
        flow = self._flows.earlier_try(syn.flow)
        candidates = self._candidates(flow, route, now)
        if not candidates:
            candidates = self._usable(route, now)
        is_again = flow is not None
        chosen = self._chooser.choose(
            candidates,
            lambda item: (
                self.suspicions.is_avoided(item.instance.key, now)
                or (is_again and item.instance.zone != self._zone)
            ),
        )
        if chosen is None:
            return _decisions.Reset(_Reason.NO_UPSTREAM)
        key = chosen.instance.key
        self.events.add(
            _events.Placed(
                syn.flow,
                key,
                syn.retransmission,
                1 if flow is None else len(flow.tried) + 1,
                len(candidates),
                self._flows.open_at(key),
                now - chosen.live_at,
                self.revision,
            )
        )
        self._flows.opened(syn.flow, key, now)
        self._pending.placed(syn, key, now)
        return _decisions.Forward(chosen.instance, _tokens.token_of(*key))

    def _end(
        self, known: discovery.KnownInstance, now: float
    ) -> _decisions.Decision:
        """End a flow whose upstream has gone, once it has surely ended."""
        if now - known.changed_at < self._cfg.exit_s:
            return _decisions.Drop(_Reason.UPSTREAM_GONE)
        return _decisions.Reset(_Reason.UPSTREAM_GONE)

    def _count(
        self,
        packet: Packet,
        upstream: _flows.InstanceKey,
        route: _routes.Route,
        now: float,
    ) -> None:
        """Keep the counts of open flows up to date."""
        flow = self._flows.get(packet.flow)
        if flow is not None and flow.phase is _flows.Phase.OPENING:
            self.suspicions.on_answered(upstream)
            after_s = now - flow.placed_at
            self.events.add(_events.Answered(packet.flow, upstream, after_s))
            if flow.upstream == upstream and len(flow.tried) == 1:
                self._pending.answered(after_s)
        if packet.has_ended:
            if flow is not None and flow.phase is not _flows.Phase.CLOSED:
                self._note_ended(packet.flow, flow, _events.Ending.CLOSED, now)
            self._flows.closed(packet.flow, upstream, now)
        else:
            until = now + route.timeout_ms / _MS_PER_S
            self._flows.seen(packet.flow, upstream, until)

    def _note_expired(
        self, key: _flows.FlowKey, flow: _flows.Flow, now: float
    ) -> None:
        """Note a flow whose time is over, unless it was closed before."""
        if flow.phase is _flows.Phase.OPENING:
            self._note_ended(key, flow, _events.Ending.UNOPENED, now)
        elif flow.phase is _flows.Phase.OPEN:
            self._note_ended(key, flow, _events.Ending.SILENT, now)

    def _note_ended(
        self,
        key: _flows.FlowKey,
        flow: _flows.Flow,
        ending: _events.Ending,
        now: float,
    ) -> None:
        """Note the end of a flow."""
        lasted_s = now - flow.placed_at if flow.placed_at else None
        self.events.add(
            _events.Ended(
                key, flow.upstream, ending, len(flow.tried), lasted_s
            )
        )

    def reportable_suspects(
        self, now: float
    ) -> tuple[_flows.InstanceKey, ...]:
        """Return what other hosts should know to be silent.

        Nothing while this host avoids most of what it knows: then it is
        itself cut off, or was late.
        """
        avoided = self.suspicions.local_suspects(now)
        known = sum(
            self._roster.is_listed(item, now) for item in self._roster.all()
        )
        return avoided if 2 * len(avoided) <= known else ()

    def _usable(
        self, route: _routes.Route, now: float
    ) -> list[discovery.KnownInstance]:
        """Return the upstreams of a service drawn by weight."""
        service = self._service(route)
        return [
            item
            for item in self._roster.of_service(service, now)
            if self._tokens.is_exact(item)
        ]

    def _candidates(
        self, flow: _flows.Flow | None, route: _routes.Route, now: float
    ) -> list[discovery.KnownInstance]:
        """Return the upstreams that an opening wasn't tried at yet."""
        usable = self._usable(route, now)
        tried = flow.tried if flow is not None else ()
        return [item for item in usable if item.instance.key not in tried]

    def _service(self, route: _routes.Route) -> ids.ServiceId:
        """Draw a service by the weights of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [item.weight for item in route.shares]
        share = self._rng.choices(route.shares, weights)[0]
        return share.service
