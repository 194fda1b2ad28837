"""The path of requests that may not be repeated."""

from collections import abc
import dataclasses
import functools
import typing

from foxtailworks import coap
from foxtailworks.entry import _choice
from foxtailworks.entry import _exchanges
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _tries
from foxtailworks.entry import _views
from foxtailworks import ids
from foxtailworks import requests
from foxtailworks import upstreams

TOKEN_BYTES = 8
CANCEL_LIFETIME_S = 10.0
# An answer that comes after the deadline still tells the outcome.
LATE_ANSWER_S = 30.0
MAX_HOPS = 3


class KeyedPath:
    """Feeds the coordinator and carries out its actions."""

    def __init__(
        self,
        coordinator: requests.Coordinator,
        views: _views.Views,
        directory: upstreams.Directory,
        choice: _choice.Choice,
        exchanges: _exchanges.Exchanges,
        peers: _peers.Peers,
        replies: _replies.Replies,
        clock: abc.Callable[[], float],
        offer: abc.Callable[[_replies.Call], None],
    ) -> None:
        self._offer = offer
        self._coordinator = coordinator
        self._views = views
        self._directory = directory
        self._choice = choice
        self._exchanges = exchanges
        self._peers = peers
        self._replies = replies
        self._clock = clock

    def take(self, call: _replies.Call, now: float) -> None:
        """Take a request in, from a caller or from another host."""
        key = call.req.request_key(call.route.key, call.packet.source)
        if self._coordinator.may_read_stale_datagrams(now):
            self.admitted(call)
            return
        host = self._coordinator.route(key)
        if host is not None and call.packet.hops < MAX_HOPS:
            self._pass_on(call, host)
            return
        if self._coordinator.state_of(key) is not None:
            self.admitted(call)
        else:
            self._offer(call)

    def admitted(self, call: _replies.Call) -> None:
        """Go on with a call that was let in, or that joins its key."""
        now = self._clock()
        self.perform(self._coordinator.request(now, _arrival(call, now)))

    def rejected(self, call: _replies.Call, retry_after_s: float) -> None:
        """Refuse a call that admission didn't let in."""
        now = self._clock()
        arrival = _arrival(call, now)
        self.perform(self._coordinator.refuse(now, arrival, retry_after_s))

    def on_message(self, src: ids.Address, msg: typing.Any) -> None:
        """Take a message of another host in."""
        host = self._views.host_at(src)
        if host is not None:
            now = self._clock()
            self.perform(self._coordinator.receive(now, host, msg))

    def on_tick(self, now: float) -> None:
        """Let time pass."""
        self.perform(self._coordinator.tick(now))

    def perform(self, actions: abc.Iterable[object]) -> None:
        """Carry out what the coordinator asks for."""
        for action in actions:
            self._perform(action)

    @functools.singledispatchmethod
    def _perform(self, action: object) -> None:
        """Refuse an action of a kind that isn't known."""
        raise TypeError(f"unknown action {type(action).__name__}")

    @_perform.register
    def _send(self, action: requests.Send) -> None:
        """Send a message to another host."""
        address = self._views.address_of(action.host)
        if address is not None:
            self._peers.send(address, action.message)

    @_perform.register
    def _place(self, action: requests.Place) -> None:
        """Send the request to its upstream."""
        call = action.handle
        assert isinstance(call, _replies.Call)
        upstream = self._directory.get(action.upstream)
        if upstream is None or not self._exchanges.has_room():
            self._not_placed(action)
            return
        token = _token(action.claim)
        self._exchanges.send(
            token,
            upstream.address,
            lambda message_id: coap.forward_request(
                call.req, token, message_id, action.remaining_ms, action.key
            ),
            _tries.Try(
                self._choice,
                action.upstream,
                functools.partial(self._take_answer, action),
                self._clock,
            ),
            self._clock(),
            action.remaining_ms / 1000 + LATE_ANSWER_S,
        )

    def _not_placed(self, action: requests.Place) -> None:
        """Tell the coordinator that nothing was sent."""
        now = self._clock()
        self.perform(
            self._coordinator.on_shed(now, action.key, action.claim, 1.0)
        )

    def _take_answer(
        self, action: requests.Place, answer: coap.UpstreamAnswer, data: bytes
    ) -> None:
        """Take the upstream's answer to a placement."""
        now = self._clock()
        key, claim = action.key, action.claim
        if answer.is_shed:
            retry_s = float(answer.retry_after_s)
            self.perform(self._coordinator.on_shed(now, key, claim, retry_s))
        else:
            self._replies.remember(data, answer)
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
                _Cancelling(self, action),
                self._clock(),
                CANCEL_LIFETIME_S,
            )

    def take_cancelled(
        self,
        action: requests.Cancel,
        answer: coap.UpstreamAnswer,
    ) -> None:
        """Take what the upstream says to a cancellation."""
        never = coap.is_cancel_confirmed(answer)
        result = (
            requests.CancelResult.NEVER_STARTED
            if never
            else requests.CancelResult.STARTED
        )
        inner = bytes(answer.raw.payload) if not never else b""
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
    def _conclude(self, action: _replies.Final) -> None:
        """Give the caller the final answer."""
        self._replies.conclude(action)

    @_perform.register
    def _pass_to(self, action: requests.Forward) -> None:
        """Pass the request on to the host that keeps its answer."""
        assert isinstance(action.handle, _replies.Call)
        self._pass_on(action.handle, action.host)

    def _pass_on(self, call: _replies.Call, host: ids.HostId) -> None:
        """Pass the request's datagram on."""
        address = self._views.address_of(host)
        if address is not None:
            hops = call.packet.hops + 1
            packet = dataclasses.replace(call.packet, hops=hops)
            self._peers.relay(address, packet)
            self._replies.passed_on(call)


class _Cancelling(_exchanges.Unheeded):
    """Awaits what an upstream says to a cancellation."""

    def __init__(self, path: KeyedPath, action: requests.Cancel) -> None:
        self._path = path
        self._action = action

    def on_answer(self, answer: coap.UpstreamAnswer, data: bytes) -> None:
        """Pass the answer on."""
        self._path.take_cancelled(self._action, answer)


def _token(claim: requests.ClaimId) -> bytes:
    """Return the token under which a placement is sent."""
    return claim.to_bytes(TOKEN_BYTES, "big")


def _arrival(call: _replies.Call, now: float) -> requests.KeyedRequest:
    """Return a call as the coordinator takes it."""
    return requests.KeyedRequest(
        key=call.req.request_key(call.route.key, call.packet.source),
        attempt=call.attempt,
        service=call.route.key,
        remaining_ms=call.remaining_ms(now),
        handle=call,
        retention_s=float(call.route.service.key_retention_s),
        queued_s=now - call.received_at,
    )
