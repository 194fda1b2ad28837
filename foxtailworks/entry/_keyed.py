"""Data path of keyed requests, which run at most once."""

from collections import abc
import dataclasses
import functools
import typing

from foxtailworks import coap
from foxtailworks.entry import _attempts
from foxtailworks.entry import _cluster_view
from foxtailworks.entry import _exchanges
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _selector
from foxtailworks import ids
from foxtailworks import requests
from foxtailworks import upstreams

TOKEN_BYTES = 8
CANCEL_LIFETIME_S = 10.0
# An answer after the deadline still gives the outcome of the request.
LATE_ANSWER_S = 30.0
MAX_HOPS = 3


class KeyedPath:
    """Passes requests to the coordinator and executes its actions."""

    def __init__(
        self,
        coordinator: requests.Coordinator,
        cluster_view: _cluster_view.ClusterView,
        directory: upstreams.Directory,
        selector: _selector.UpstreamSelector,
        exchanges: _exchanges.Exchanges,
        peers: _peers.PeerTransport,
        replies: _replies.Replies,
        clock: abc.Callable[[], float],
        offer: abc.Callable[[_replies.Call], None],
    ) -> None:
        self._offer = offer
        self._coordinator = coordinator
        self._cluster_view = cluster_view
        self._directory = directory
        self._selector = selector
        self._exchanges = exchanges
        self._peers = peers
        self._replies = replies
        self._clock = clock

    def on_call(self, call: _replies.Call, now: float) -> None:
        """Forward, admit or queue a request of a caller or another host."""
        key = call.req.request_key(call.route.key, call.packet.source)
        if self._coordinator.may_read_stale_datagrams(now):
            self.on_admitted(call)
            return
        host = self._coordinator.route(key)
        if host is not None and call.packet.hops < MAX_HOPS:
            self._relay_to(call, host)
            return
        if self._coordinator.state_of(key) is not None:
            self.on_admitted(call)
        else:
            self._offer(call)

    def on_admitted(self, call: _replies.Call) -> None:
        """Pass on an admitted call or one whose key is known."""
        now = self._clock()
        self.perform(self._coordinator.request(now, _keyed_request(call, now)))

    def on_rejected(self, call: _replies.Call, retry_after_s: float) -> None:
        """Refuse a call that admission control rejected."""
        now = self._clock()
        request = _keyed_request(call, now)
        self.perform(self._coordinator.refuse(now, request, retry_after_s))

    def on_message(self, src: ids.Address, msg: typing.Any) -> None:
        """Pass a message of another host to the coordinator."""
        host = self._cluster_view.host_at(src)
        if host is not None:
            now = self._clock()
            self.perform(self._coordinator.receive(now, host, msg))

    def on_tick(self, now: float) -> None:
        """Run the time-dependent steps of the coordinator."""
        self.perform(self._coordinator.tick(now))

    def perform(self, actions: abc.Iterable[object]) -> None:
        """Execute the actions that the coordinator has returned."""
        for action in actions:
            self._perform(action)

    @functools.singledispatchmethod
    def _perform(self, action: object) -> None:
        """Raise an error for an unknown kind of action."""
        raise TypeError(f"unknown action {type(action).__name__}")

    @_perform.register
    def _send(self, action: requests.Send) -> None:
        """Send a message of the coordinator to another host."""
        address = self._cluster_view.address_of(action.host)
        if address is not None:
            self._peers.send(address, action.message)

    @_perform.register
    def _place(self, action: requests.Place) -> None:
        """Send the request to its upstream."""
        call = action.handle
        assert isinstance(call, _replies.Call)
        upstream = self._directory.get(action.upstream)
        if upstream is None or not self._exchanges.has_room():
            self._report_not_sent(action)
            return
        token = _token(action.claim)
        self._exchanges.send(
            token,
            upstream.address,
            lambda message_id: coap.forward_request(
                call.req, token, message_id, action.remaining_ms, action.key
            ),
            _attempts.UpstreamAttempt(
                self._selector,
                action.upstream,
                functools.partial(self._on_answer, action),
                self._clock,
            ),
            self._clock(),
            action.remaining_ms / 1000 + LATE_ANSWER_S,
        )

    def _report_not_sent(self, action: requests.Place) -> None:
        """Report to the coordinator that nothing was sent."""
        now = self._clock()
        self.perform(
            self._coordinator.on_shed(now, action.key, action.claim, 1.0)
        )

    def _on_answer(
        self, action: requests.Place, answer: coap.UpstreamAnswer, data: bytes
    ) -> None:
        """Report the upstream's answer to the coordinator."""
        now = self._clock()
        key, claim = action.key, action.claim
        if answer.is_shed:
            retry_s = float(answer.retry_after_s)
            self.perform(self._coordinator.on_shed(now, key, claim, retry_s))
        else:
            self._replies.cache_decoded(data, answer)
            self.perform(self._coordinator.on_answer(now, key, claim, data))

    @_perform.register
    def _cancel(self, action: requests.Cancel) -> None:
        """Ask the upstream never to start a placement."""
        upstream = self._directory.get(action.upstream)
        if upstream is not None:
            self._exchanges.cancel(
                _token(action.claim),
                upstream.address,
                action.key,
                _CancelResponseHandler(self, action),
                self._clock(),
                CANCEL_LIFETIME_S,
            )

    def on_cancel_response(
        self,
        action: requests.Cancel,
        answer: coap.UpstreamAnswer,
    ) -> None:
        """Report the result of a cancellation to the coordinator."""
        never_started = coap.is_cancel_confirmed(answer)
        result = (
            requests.CancelResult.NEVER_STARTED
            if never_started
            else requests.CancelResult.STARTED
        )
        inner = bytes(answer.raw.payload) if not never_started else b""
        self.perform(
            self._coordinator.on_cancel_result(
                self._clock(),
                action.key,
                action.claim,
                result,
                inner or None,
            )
        )

    @_perform.register(requests.Answer)
    @_perform.register(requests.Refuse)
    @_perform.register(requests.Unknown)
    def _conclude(self, action: _replies.FinalAction) -> None:
        """Send the caller the final answer."""
        self._replies.conclude(action)

    @_perform.register
    def _forward(self, action: requests.Forward) -> None:
        """Forward the request to the host that keeps its answer."""
        assert isinstance(action.handle, _replies.Call)
        self._relay_to(action.handle, action.host)

    def _relay_to(self, call: _replies.Call, host: ids.HostId) -> None:
        """Relay the request's datagram to a host."""
        address = self._cluster_view.address_of(host)
        if address is not None:
            hops = call.packet.hops + 1
            packet = dataclasses.replace(call.packet, hops=hops)
            self._peers.relay(address, packet)
            self._replies.on_forwarded(call)


class _CancelResponseHandler(_exchanges.IgnoredResponse):
    """Handles an upstream's answer to a cancellation."""

    def __init__(self, path: KeyedPath, action: requests.Cancel) -> None:
        self._path = path
        self._action = action

    def on_answer(self, answer: coap.UpstreamAnswer, data: bytes) -> None:
        """Pass the answer to the data path."""
        self._path.on_cancel_response(self._action, answer)


def _token(claim: requests.ClaimId) -> bytes:
    """Return the CoAP token of a placement."""
    return claim.to_bytes(TOKEN_BYTES, "big")


def _keyed_request(call: _replies.Call, now: float) -> requests.KeyedRequest:
    """Convert a call to a request of the coordinator."""
    return requests.KeyedRequest(
        key=call.req.request_key(call.route.key, call.packet.source),
        attempt=call.attempt,
        service=call.route.key,
        remaining_ms=call.remaining_ms(now),
        handle=call,
        retention_s=float(call.route.service.key_retention_s),
        queued_s=now - call.received_at,
    )
