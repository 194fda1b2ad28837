"""Data path of requests: decode, dispatch by kind and answer."""

from collections import abc
import math
import random

from foxtailworks import coap
from foxtailworks.entry import _admission
from foxtailworks.entry import _cores
from foxtailworks.entry import _exchanges
from foxtailworks.entry import _fabric
from foxtailworks.entry import _flow_admission
from foxtailworks.entry import _idempotent
from foxtailworks.entry import _keyed_subsystem
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _selector
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
    """Dispatches callers' messages to the data paths of requests."""

    def __init__(
        self,
        cores: _cores.Cores,
        services: _services.ServiceIndex,
        peers: _peers.PeerTransport,
        fabric: _fabric.FabricEndpoint,
        metrics: observe.Metrics,
        incarnation: ids.Incarnation,
        rng: random.Random,
        clock: abc.Callable[[], float],
        saved_state: requests.SavedState | None,
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
        self._selector = _selector.UpstreamSelector(
            cores.directory, services, zone, rng, clock
        )
        shares = limits.Shares(cores.members.me.id, clock(), False, rng)
        self.flow_admission = _flow_admission.FlowAdmission(
            cores.placer, shares, metrics
        )
        self._jobs = limits.JobCounter()
        self.admission = _admission.RequestAdmission(
            shares,
            cores.cluster_view,
            peers,
            metrics,
            rng,
            clock,
            self._on_admitted,
            self._on_rejected,
        )
        self._replies.on_finished = self.admission.on_finished
        self._bodies = requests.BodyRouter(cores.members.me.id)
        self._idempotent = _idempotent.IdempotentPath(
            requests.IdempotentRequests(
                cores.members.me.id, incarnation, self._selector, rng
            ),
            self._bodies,
            self._selector,
            cores.directory,
            cores.cluster_view,
            self.exchanges,
            peers,
            self._replies,
            clock,
        )
        self.in_flight = self._selector.in_flight
        self.keyed = _keyed_subsystem.KeyedSubsystem(
            cores,
            self._selector,
            self.exchanges,
            peers,
            self._replies,
            incarnation,
            rng,
            clock,
            self.admission.offer,
            saved_state,
        )

    # Limits and hosts.

    def update_limits(self) -> None:
        """Recompute this host's shares from contracts and rosters."""
        divisor = self.keyed.share_divisor()
        self.admission.set_limits(self._services.all(), divisor)
        self.flow_admission.set_routes(self._services.all())

    def update_live_hosts(self) -> None:
        """Pass the live hosts on to the cores."""
        live = self._cores.members.live()
        host_views = (placement.HostView(item.id, item.zone) for item in live)
        self._selector.set_hosts(self._cores.members.me.id, host_views)
        names = [item.id for item in live]
        self._bodies.set_live_hosts(names)
        self.admission.set_live_hosts(names)
        self.keyed.set_live_hosts(names)

    def on_upstream_lost(self, upstream: ids.UpstreamId) -> None:
        """End the work that was placed on a lost upstream."""
        self._idempotent.on_upstream_lost(upstream)
        self.keyed.on_upstream_lost(upstream)

    # Messages.

    def on_packet(
        self, route: _services.Route, packet: proxyv2.Packet
    ) -> None:
        """Process a caller's message from the fabric or another host."""
        kind = coap.kind_of(packet.payload)
        if kind is coap.Kind.PING:
            answer = coap.reset(packet.payload)
            self._fabric.answer(packet.target, packet.source, answer)
        elif kind is coap.Kind.REQUEST:
            self._on_request(route, packet)
        else:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)

    def _on_request(
        self, route: _services.Route, packet: proxyv2.Packet
    ) -> None:
        """Decode a request and pass it to the data path of its kind."""
        self._metrics.count(observe.Counter.REQUESTS_RECEIVED)
        try:
            req = coap.read_request(packet.payload)
        except errors.FoxtailError:
            self._reject_malformed(packet)
            return
        now = self._clock()
        call = _make_call(route, packet, req, now)
        if req.method.is_idempotent:
            self.admission.offer(call)
        else:
            self.keyed.on_call(call, now)

    def _on_admitted(self, call: _replies.Call) -> None:
        """Continue a call that admission control has admitted."""
        if call.req.method.is_idempotent:
            self._idempotent.on_call(call, self._clock())
        else:
            self.keyed.on_admitted(call)

    def _on_rejected(self, call: _replies.Call, retry_after_s: float) -> None:
        """Answer a call that admission control has rejected."""
        if call.req.method is coap.Method.GET:
            self._replies.send_not_run(call, math.ceil(retry_after_s))
        elif call.req.method.is_idempotent:
            # A retransmission may have run through another host, and the
            # request isn't safe.
            self._replies.send_unknown(call, math.ceil(retry_after_s))
        else:
            self.keyed.on_rejected(call, retry_after_s)

    def _reject_malformed(self, packet: proxyv2.Packet) -> None:
        """Answer a request that can't be decoded."""
        self._metrics.count(observe.Counter.REQUESTS_MALFORMED)
        answer = coap.bad_request(packet.payload)
        if answer is not None:
            self._fabric.answer(packet.target, packet.source, answer)

    def on_message(self, src: ids.Address, msg: requests.Message) -> None:
        """Process another host's message about requests."""
        if isinstance(msg, requests.BodyBindRequest | requests.BodyBinding):
            self._idempotent.on_message(src, msg)
        else:
            self.keyed.on_message(src, msg)

    def on_tick(self, now: float) -> None:
        """Run the time-dependent steps of all data paths."""
        self.exchanges.on_tick(now)
        self.admission.on_tick(now)
        self.flow_admission.on_tick(now)
        self._count_jobs()
        self._idempotent.on_tick(now)
        if self.keyed.on_tick(now, self._other_live_hosts()):
            self.update_limits()

    def _count_jobs(self) -> None:
        """Count completed keyed requests, each once for its customer."""
        for run in self.keyed.take_completed_runs():
            route = self._services.get(run.service)
            if route is not None and self._jobs.count_once(
                route.customer, run.claim
            ):
                self._metrics.count(observe.Counter.JOBS_PLACED)

    def load(self, item: upstreams.Upstream) -> float:
        """Return the share of an upstream's slots that this host uses."""
        return self.in_flight(item.id) / item.slots

    def jobs(self) -> dict[ids.CustomerId, int]:
        """Return the jobs that this host has counted for each customer."""
        customers = {item.customer for item in self._services.all()}
        return {item: self._jobs.total(item) for item in sorted(customers)}

    def _other_live_hosts(self) -> tuple[ids.HostId, ...]:
        """Return the other live hosts."""
        members = self._cores.members
        live = (item.id for item in members.live())
        return tuple(item for item in live if item != members.me.id)

    def retries(self) -> int:
        """Return the number of retries of idempotent requests."""
        return self._idempotent.retries()

    def is_idle(self) -> bool:
        """Return whether no request or exchange is under way."""
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
