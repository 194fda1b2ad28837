"""Decisions on callers' packets, without sockets, files or a clock."""

from collections import abc
import functools
import math
import random

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _backlog
from foxtailworks.steering import _candidates
from foxtailworks.steering import _choice
from foxtailworks.steering import _config
from foxtailworks.steering import _decisions
from foxtailworks.steering import _eligibility
from foxtailworks.steering import _events
from foxtailworks.steering import _flows
from foxtailworks.steering import _held_packets
from foxtailworks.steering import _load_view
from foxtailworks.steering import _pending
from foxtailworks.steering import _routes
from foxtailworks.steering import _share
from foxtailworks.steering import _suspicion
from foxtailworks.steering import _tokens

_Reason = _decisions.Reason
_MS_PER_S = 1000


class Steering:
    """Decides on each packet of callers.

    :param roster: instances, kept up to date by the owner of this object
    :param zone: availability zone of this host
    :param rng: breaks ties and draws services by weight
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
        self._tokens = _tokens.TokenIndex(roster)
        self._flows = _flows.Flows(self._cfg)
        self.suspicions = _suspicion.SuspicionTracker(self._cfg)
        """Suspected upstreams, exchanged with other hosts."""
        self._pending = _pending.PendingSyns(self._cfg)
        self._held = _held_packets.HeldPackets(self._cfg)
        self._tried_version = -1
        self._backlog = _backlog.Backlog()
        self.eligibility = _eligibility.Eligibility(self._cfg)
        """Upstreams that may get a new flow, by zone and warmth."""
        self._candidates = _candidates.Candidates(
            roster, self._tokens, self.eligibility, rng
        )
        self.share = _share.HostShare(
            roster, self._flows.load, self._cfg, self.eligibility
        )
        """Share of the slots that this host may fill with what waited."""
        self.load_view = _load_view.LoadView(
            self._flows, self._tokens, zone, rng, self._cfg
        )
        """Load of all hosts' requests, used while coordinators send it."""
        self._chooser = _choice.Chooser(
            self._flows.load, zone, rng, self._cfg, self.load_view
        )
        self._routes: dict[ids.Address, _routes.Route] = {}
        self.revision = 0
        self.has_unknown_tokens = False
        """Whether a packet had an unknown token since this was last reset."""
        self.events = _events.Events()
        """Events for logs and counters."""

    @property
    def flow_count(self) -> int:
        """Number of flows in this host's table."""
        return len(self._flows)

    @property
    def waiting_count(self) -> int:
        """Number of packets that wait for their upstream or for room."""
        return len(self._held) + len(self._backlog)

    def put_routes(self, table: _routes.RouteTable) -> bool:
        """Put a table in force.

        :return: false when this or a newer revision already is in force
        """
        if table.revision <= self.revision:
            return False
        self.revision = table.revision
        self._routes = {item.destination: item for item in table.routes}
        return True

    def put_evacuation(
        self,
        number: int,
        zones: abc.Iterable[ids.ZoneId],
        now: float,
        returned: abc.Iterable[tuple[ids.ZoneId, float]] = (),
    ) -> bool:
        """Give no new flow to upstreams of ``zones``; see ``Eligibility``."""
        return self.eligibility.put(number, zones, now, returned)

    def open(self, syn: _pending.Syn, now: float) -> _decisions.Decision:
        """Place a SYN, or hold it until it can be placed."""
        waiting = _backlog.Waiting.of(self._pending.as_held(syn, now))
        return self._open(syn, waiting, now)

    def _open(
        self, syn: _pending.Syn, waiting: _backlog.Waiting, now: float
    ) -> _decisions.Decision:
        """Decide on a SYN, which waits as ``waiting`` if it is held."""
        decision = self._decide_syn(syn, waiting, now)
        if not isinstance(decision, _decisions.Forward):
            self.events.add_rejected(
                syn.flow, syn.destination, 0, decision, self.revision
            )
        return decision

    def forward(
        self, packet: _held_packets.Packet, now: float
    ) -> _decisions.Decision:
        """Route a packet after the SYN by its token alone, or hold it."""
        decision = self._decide_packet(packet, now)
        if _decisions.may_be_forwarded_later(decision):
            expires_at = now + self._cfg.packet_hold_s
            self._held.hold(packet, expires_at)
        if not isinstance(decision, _decisions.Forward):
            self.events.add_rejected(
                packet.flow,
                packet.destination,
                packet.token,
                decision,
                self.revision,
            )
        return decision

    def _decide_syn(
        self, syn: _pending.Syn, waiting: _backlog.Waiting, now: float
    ) -> _decisions.Decision:
        """Decide whether a SYN is placed, held, dropped or reset."""
        if not self.revision:
            self._pending.hold(syn, now)
            return _decisions.Drop(_Reason.NOT_READY)
        route = self._routes.get(syn.destination)
        if route is None:
            # A new route may not have reached this host yet, so only a
            # retransmission is reset.
            if syn.retransmission == 0:
                return _decisions.Drop(_Reason.NO_ROUTE)
            return _decisions.Reset(_Reason.NO_ROUTE)
        if syn.flow in self._backlog:
            self._backlog.put(waiting)
            return _decisions.Drop(_Reason.WAITING)
        decision = self._place(syn, route, now)
        return decision or self._hold_or_reset(waiting, route, now)

    def _decide_packet(
        self, packet: _held_packets.Packet, now: float
    ) -> _decisions.Decision:
        """Decide whether a later packet is forwarded, dropped or reset."""
        if not self.revision:
            return _decisions.Drop(_Reason.NOT_READY)
        route = self._routes.get(packet.destination)
        if route is None:
            return _decisions.Reset(_Reason.NO_ROUTE)
        found = self._tokens.resolve(packet.token)
        if found is None:
            self.has_unknown_tokens = True
            return _decisions.Drop(_Reason.UNKNOWN_TOKEN)
        known, token = found
        if known.instance.state is discovery.InstanceState.GONE:
            return self._decide_gone(known, now)
        self._track(packet, known.instance.key, route, now)
        return _decisions.Forward(known.instance, token)

    def on_tick(self, now: float) -> abc.Iterator[_decisions.DuePacket]:
        """Expire flows; yield the SYNs to place now."""
        for key, flow in self._flows.expire(now):
            self.events.add_expired(key, flow, now)
        yield from self._release(now)
        for placed in self._pending.take_unanswered(now):
            yield from self._place_elsewhere(placed, now)

    def _release(self, now: float) -> abc.Iterator[_decisions.DuePacket]:
        """Pass on the packets that were held, as far as there is room."""
        if not self.revision:
            return
        for held in self._pending.release(now):
            self._backlog.put(_backlog.Waiting.of(held))
        self._move_known_packets(now)
        if not self._backlog:
            return
        room = _share.Room(self.share, now)
        opens_at = functools.cache(
            lambda route: self._candidates.opens_at(route, now)
        )
        due = self._backlog.take(
            self._routes.get,
            lambda item: self._takes_room(item, room, opens_at, now),
            now,
        )
        for waiting in due:
            item = waiting.item
            if isinstance(item, _pending.Syn):
                yield _decisions.DuePacket(
                    item.packet, self._open(item, waiting, now)
                )
            else:
                yield _decisions.DuePacket(
                    item.packet, self._decide_packet(item, now)
                )

    def _move_known_packets(self, now: float) -> None:
        """Move held packets whose upstream is known to the backlog."""
        if not len(self._held) or self._roster.version == self._tried_version:
            return
        self._tried_version = self._roster.version
        for expires_at, packet in self._held.take(now):
            has_route = packet.destination in self._routes
            if has_route and self._tokens.find(packet.token) is None:
                self._held.hold(packet, expires_at)
                continue
            sent_at = expires_at - self._cfg.packet_hold_s
            self._backlog.put(_backlog.Waiting(packet, sent_at, expires_at))

    def _takes_room(
        self,
        waiting: _backlog.Waiting,
        room: _share.Room,
        opens_at: abc.Callable[[_routes.Route], float],
        now: float,
    ) -> bool:
        """Take room for a packet that begins work at an upstream.

        A SYN stays while only cold upstreams are left; one that no upstream
        can take in time any more is passed on, to be reset.
        """
        item = waiting.item
        route = self._routes.get(item.destination)
        if route is None:
            return True
        if isinstance(item, _pending.Syn):
            ready_at = opens_at(route)
            if ready_at > now:
                return ready_at >= self._pending.gives_up_at(waiting.sent_at)
        elif not item.has_data:
            return True
        return room.take(route.shares[0].service)

    def _place_elsewhere(
        self, placed: _pending.PlacedSyn, now: float
    ) -> abc.Iterator[_decisions.DuePacket]:
        """Place an unanswered SYN on another upstream.

        The caller accepts the first answer, so a SYN that reaches two
        upstreams opens a flow at one of them. Only the first upstream is
        suspected when it doesn't answer: a crashed one may have reset the
        caller, which then doesn't react to the answers of the others.
        """
        syn = placed.syn
        flow = self._flows.get(syn.flow)
        if flow is None or not placed.is_awaited_by(flow):
            return
        if len(flow.tried) == 1:
            self.suspicions.on_unanswered(placed.upstream, now)
        self.events.add(
            _events.Unanswered(
                syn.flow, placed.upstream, now - placed.placed_at
            )
        )
        route = self._routes.get(syn.destination)
        if (
            route is None
            or len(flow.tried) >= self._cfg.max_proactive_attempts
        ):
            return
        untried = self._candidates.untried(flow, route, now)
        decision = self._place_on(untried, syn, now)
        if decision is not None:
            yield _decisions.DuePacket(syn.packet, decision)

    def _place(
        self, syn: _pending.Syn, route: _routes.Route, now: float
    ) -> _decisions.Forward | None:
        """Place a SYN on an upstream of its route; None if there is none."""
        flow = self._flows.find_unclosed(syn.flow)
        candidates = self._candidates.untried(flow, route, now)
        if not candidates:
            candidates = self._candidates.usable(route, now)
        return self._place_on(candidates, syn, now)

    def _place_on(
        self,
        candidates: list[discovery.KnownInstance],
        syn: _pending.Syn,
        now: float,
    ) -> _decisions.Forward | None:
        """Place a SYN on the best of some upstreams; None without any.

        After an unanswered first attempt upstreams of the own zone are
        preferred: a partition between zones is the likeliest fault that
        affects many upstreams at once.
        """
        flow = self._flows.find_unclosed(syn.flow)
        is_retry = flow is not None
        chosen = self._chooser.choose(
            candidates, lambda item: self._penalty(item, is_retry, now), now
        )
        if chosen is None:
            return None
        key = chosen.instance.key
        self.events.add(
            _events.Placed(
                syn.flow,
                key,
                syn.retransmission,
                1 if flow is None else len(flow.tried) + 1,
                len(candidates),
                self._flows.open_count(key),
                now - chosen.live_at,
                self.revision,
            )
        )
        self._flows.on_placed(syn.flow, key, now)
        self._pending.on_placed(syn, key, now)
        return _decisions.Forward(chosen.instance, _tokens.token_of(*key))

    def _hold_or_reset(
        self, waiting: _backlog.Waiting, route: _routes.Route, now: float
    ) -> _decisions.Decision:
        """Hold a SYN that an upstream can take in time; reset others."""
        ready_at = self._candidates.next_ready_at(route, now)
        is_in_time = ready_at < self._pending.gives_up_at(waiting.sent_at)
        if not is_in_time or len(self._backlog) >= self._cfg.max_held_syns:
            return _decisions.Reset(_Reason.NO_UPSTREAM)
        self._backlog.put(waiting)
        return _decisions.Drop(_Reason.WAITING)

    def _penalty(
        self, item: discovery.KnownInstance, is_retry: bool, now: float
    ) -> float:
        """Return the load by which an upstream is deprioritized."""
        level = self.suspicions.level(item.instance.key, now)
        is_remote = is_retry and item.instance.zone != self._zone
        return self._cfg.deprioritized_load * max(level, is_remote)

    def _decide_gone(
        self, known: discovery.KnownInstance, now: float
    ) -> _decisions.Decision:
        """Reset a flow of a gone upstream once its process must have ended."""
        if now - known.changed_at < self._cfg.exit_grace_s:
            return _decisions.Drop(_Reason.UPSTREAM_GONE)
        return _decisions.Reset(_Reason.UPSTREAM_GONE)

    def _track(
        self,
        packet: _held_packets.Packet,
        upstream: _flows.InstanceKey,
        route: _routes.Route,
        now: float,
    ) -> None:
        """Update the table of flows for a packet that is forwarded."""
        flow = self._flows.get(packet.flow)
        if flow is not None and flow.phase is _flows.Phase.OPENING:
            self.suspicions.on_answered(upstream)
            after_s = now - flow.placed_at
            self.events.add(_events.Answered(packet.flow, upstream, after_s))
            if flow.upstream == upstream and len(flow.tried) == 1:
                self._pending.on_answered(after_s)
        if packet.has_ended:
            if flow is not None and flow.phase is not _flows.Phase.CLOSED:
                self.events.add_ended(
                    packet.flow, flow, _events.Ending.CLOSED, now
                )
            self._flows.on_closed(packet.flow, upstream, now)
        else:
            expires_at = now + route.timeout_ms / _MS_PER_S
            busy_s = self._cfg.answer_end_s
            if packet.has_data:
                target_s = route.target_ms / _MS_PER_S
                busy_s = self._cfg.busy_targets * (target_s or math.inf)
            busy_until = min(expires_at, now + busy_s)
            self._flows.on_packet(
                packet.flow, upstream, expires_at, busy_until
            )

    def reportable_suspects(
        self, now: float
    ) -> tuple[_flows.InstanceKey, ...]:
        """Return the suspected upstreams to report to other hosts."""
        return self.suspicions.reportable(self._roster, now)
