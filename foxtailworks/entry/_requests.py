"""The path of requests: read, sort by kind, answer."""

from collections import abc
import math
import random

from foxtailworks import coap
from foxtailworks.entry import _admission
from foxtailworks.entry import _choice
from foxtailworks.entry import _cores
from foxtailworks.entry import _exchanges
from foxtailworks.entry import _fabric
from foxtailworks.entry import _flow_admission
from foxtailworks.entry import _idempotent
from foxtailworks.entry import _keyed_side
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _services
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import observe
from foxtailworks import placement
from foxtailworks import proxyv2
from foxtailworks import requests
from foxtailworks import upstreams

MS_PER_S = 1000
ATTEMPT_BYTES = 8


class RequestPath:
    """Sorts callers' messages and owns the paths of requests."""

    def __init__(
        self,
        cores: _cores.Cores,
        services: _services.ServiceIndex,
        peers: _peers.Peers,
        fabric: _fabric.Fabric,
        metrics: observe.Metrics,
        incarnation: ids.Incarnation,
        rng: random.Random,
        clock: abc.Callable[[], float],
        memory: requests.SavedState | None,
    ) -> None:
        self._cores = cores
        self._services = services
        self._fabric = fabric
        self._metrics = metrics
        self._clock = clock
        self.histograms = observe.Histograms()
        self.exchanges = _exchanges.Exchanges(
            rng.randrange(_exchanges.MESSAGE_IDS), metrics
        )
        self._replies = _replies.Replies(
            fabric, metrics, self.histograms, rng, clock
        )
        zone = cores.members.me.zone
        self._choice = _choice.Choice(
            cores.directory, services, zone, rng, clock
        )
        shares = limits.Shares(cores.members.me.id, clock(), False, rng)
        self.flow_gates = _flow_admission.FlowGates(
            cores.placer, shares, metrics
        )
        self._jobs = limits.JobCounter()
        self.gate = _admission.RequestAdmission(
            shares,
            cores.views,
            peers,
            metrics,
            rng,
            clock,
            self._admitted,
            self._rejected,
        )
        self._replies.on_done = self.gate.done
        self._bodies = requests.BodyRouter(cores.members.me.id)
        self._idempotent = _idempotent.IdempotentPath(
            requests.IdempotentRequests(
                cores.members.me.id, incarnation, self._choice, rng
            ),
            self._bodies,
            self._choice,
            cores.directory,
            cores.views,
            self.exchanges,
            peers,
            self._replies,
            clock,
        )
        self.in_flight = self._choice.in_flight
        self.keyed = _keyed_side.KeyedSide(
            cores,
            self._choice,
            self.exchanges,
            peers,
            self._replies,
            incarnation,
            rng,
            clock,
            self.gate.offer,
            memory,
        )

    # Limits and hosts.

    def update_limits(self) -> None:
        """Derive this host's shares anew from contracts and rosters."""
        divisor = self.keyed.share_divisor()
        self.gate.set_limits(self._services.all(), divisor)
        self.flow_gates.set_routes(self._services.all())

    def set_alive(self) -> None:
        """Take in which hosts are held to be live."""
        live = self._cores.members.live()
        views = (placement.HostView(item.id, item.zone) for item in live)
        self._choice.set_hosts(self._cores.members.me.id, views)
        names = [item.id for item in live]
        self._bodies.set_live_hosts(names)
        self.gate.set_alive(names)
        self.keyed.set_alive(names)

    def upstream_gone(self, upstream: ids.UpstreamId) -> None:
        """Give up on what was placed on an upstream that has ended."""
        self._idempotent.upstream_gone(upstream)
        self.keyed.upstream_gone(upstream)

    # Messages.

    def take(self, route: _services.Route, packet: proxyv2.Packet) -> None:
        """Take a caller's message, from the fabric or another host."""
        kind = coap.kind_of(packet.payload)
        if kind is coap.Kind.PING:
            answer = coap.reset(packet.payload)
            self._fabric.answer(packet.target, packet.source, answer)
        elif kind is coap.Kind.REQUEST:
            self._take_request(route, packet)
        else:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)

    def _take_request(
        self, route: _services.Route, packet: proxyv2.Packet
    ) -> None:
        """Read a request and give it to the path of its kind."""
        self._metrics.count(observe.Counter.REQUESTS_RECEIVED)
        try:
            req = coap.read_request(packet.payload)
        except errors.FoxtailError:
            self._refuse_malformed(packet)
            return
        now = self._clock()
        call = _make_call(route, packet, req, now)
        if req.method.is_idempotent:
            self.gate.offer(call)
        else:
            self.keyed.take(call, now)

    def _admitted(self, call: _replies.Call) -> None:
        """Go on with a call that was let in."""
        if call.req.method.is_idempotent:
            self._idempotent.take(call, self._clock())
        else:
            self.keyed.admitted(call)

    def _rejected(self, call: _replies.Call, retry_after_s: float) -> None:
        """Refuse a call that wasn't let in."""
        if call.req.method is coap.Method.GET:
            self._replies.not_run(call, math.ceil(retry_after_s))
        elif call.req.method.is_idempotent:
            # A copy may run at another host, and it changes something.
            self._replies.unknown(call, math.ceil(retry_after_s))
        else:
            self.keyed.rejected(call, retry_after_s)

    def _refuse_malformed(self, packet: proxyv2.Packet) -> None:
        """Answer a request that can't be read."""
        self._metrics.count(observe.Counter.REQUESTS_MALFORMED)
        answer = coap.bad_request(packet.payload)
        if answer is not None:
            self._fabric.answer(packet.target, packet.source, answer)

    def on_message(self, src: ids.Address, msg: requests.Message) -> None:
        """Take another host's message about requests."""
        if isinstance(msg, requests.BodyBindRequest | requests.BodyBinding):
            self._idempotent.on_message(src, msg)
        else:
            self.keyed.on_message(src, msg)

    def on_tick(self, now: float) -> None:
        """Let time pass."""
        self.exchanges.on_tick(now)
        self.gate.on_tick(now)
        self.flow_gates.on_tick(now)
        self._count_jobs()
        self._idempotent.on_tick(now)
        if self.keyed.on_tick(now, self._others()):
            self.update_limits()

    def _count_jobs(self) -> None:
        """Count keyed requests that ran, once each for each customer."""
        for ran in self.keyed.take_completed_runs():
            route = self._services.get(ran.service)
            if route is not None and self._jobs.count_once(
                route.customer, ran.claim
            ):
                self._metrics.count(observe.Counter.JOBS_PLACED)

    def load(self, item: upstreams.Upstream) -> float:
        """Return the share of an upstream's slots that this host uses."""
        return self.in_flight(item.id) / item.slots

    def jobs(self) -> dict[ids.CustomerId, int]:
        """Return the jobs that this host has counted for each customer."""
        customers = {item.customer for item in self._services.all()}
        return {item: self._jobs.total(item) for item in sorted(customers)}

    def _others(self) -> tuple[ids.HostId, ...]:
        """Return the other live hosts."""
        members = self._cores.members
        live = (item.id for item in members.live())
        return tuple(item for item in live if item != members.me.id)

    def retries(self) -> int:
        """Return how often a repeatable request was placed again."""
        return self._idempotent.retries()

    def is_idle(self) -> bool:
        """Tell whether nothing is under way."""
        if len(self.exchanges) or not self._idempotent.is_idle():
            return False
        return self.keyed.is_idle()


def _make_call(
    route: _services.Route,
    packet: proxyv2.Packet,
    req: coap.Request,
    now: float,
) -> _replies.Call:
    """Return a call with its class and deadline."""
    kind = route.class_of(req)
    deadline_ms = req.deadline_ms or kind.deadline_ms
    attempt = req.attempt_id(packet.source)[:ATTEMPT_BYTES]
    return _replies.Call(
        route=route,
        packet=packet,
        req=req,
        request_class=kind,
        received_at=now,
        deadline_at=now + deadline_ms / MS_PER_S,
        attempt=requests.AttemptId(int.from_bytes(attempt, "big")),
    )
