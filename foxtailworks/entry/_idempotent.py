"""Data path of idempotent requests."""

import collections
from collections import abc
import dataclasses
import functools
import math

from foxtailworks import coap
from foxtailworks.entry import _attempts
from foxtailworks.entry import _cluster_view
from foxtailworks.entry import _exchanges
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _selector
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import requests
from foxtailworks import upstreams

TOKEN_BYTES = 8
CANCEL_LIFETIME_S = 2.0
MAX_LARGE_PATHS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _FirstBlock:
    """An answer held back until its body is bound to an upstream."""

    call: _replies.Call
    answer: coap.UpstreamAnswer
    upstream: ids.UpstreamId


class IdempotentPath:
    """Drives the core of idempotent requests and the body router.

    The first block of a body of unknown size goes to any upstream; its answer
    is held back until the body's owner has bound the body to an upstream.
    """

    def __init__(
        self,
        core: requests.IdempotentRequests,
        bodies: requests.BodyRouter,
        selector: _selector.UpstreamSelector,
        directory: upstreams.Directory,
        cluster_view: _cluster_view.ClusterView,
        exchanges: _exchanges.Exchanges,
        peers: _peers.PeerTransport,
        replies: _replies.Replies,
        clock: abc.Callable[[], float],
    ) -> None:
        self._core = core
        self._bodies = bodies
        self._selector = selector
        self._directory = directory
        self._cluster_view = cluster_view
        self._exchanges = exchanges
        self._peers = peers
        self._replies = replies
        self._clock = clock
        self._large: collections.OrderedDict[tuple[ids.ServiceId, str], None]
        self._large = collections.OrderedDict()

    def on_call(self, call: _replies.Call, now: float) -> None:
        """Route a request by its body, or place it at once."""
        is_large = (call.route.key, call.req.resource) in self._large
        if call.req.block or is_large:
            proposal = None
            if not call.req.block:
                proposal = self._selector(call.route.key, ())
            body = _body_of(call)
            self.perform(self._bodies.route_block(now, body, call, proposal))
        else:
            self._place(call, None)

    def _place(
        self, call: _replies.Call, upstream: ids.UpstreamId | None
    ) -> None:
        """Pass a request to the core, for one upstream or for any."""
        now = self._clock()
        request = requests.IdempotentRequest(
            attempt=call.attempt,
            service=call.route.key,
            remaining_ms=call.remaining_ms(now),
            handle=call,
            is_safe=call.req.method is coap.Method.GET,
            upstream=upstream,
        )
        self.perform(self._core.request(now, request))

    def on_message(self, src: ids.Address, msg: object) -> None:
        """Process another host's message about a body."""
        host = self._cluster_view.host_at(src)
        now = self._clock()
        if isinstance(msg, requests.BodyBindRequest) and host is not None:
            self.perform(self._bodies.on_bind_request(now, host, msg))
        elif isinstance(msg, requests.BodyBinding):
            self.perform(self._bodies.on_binding(now, msg))

    def on_upstream_lost(self, upstream: ids.UpstreamId) -> None:
        """Retry the requests of a lost upstream elsewhere."""
        self._bodies.on_upstream_lost(upstream)
        self.perform(self._core.on_upstream_lost(self._clock(), upstream))

    def on_tick(self, now: float) -> None:
        """Run the time-dependent steps of both cores."""
        self.perform(self._core.tick(now))
        self.perform(self._bodies.tick(now))

    def retries(self) -> int:
        """Return the number of retries since the start."""
        return sum(item.spent for item in self._core.budgets.values())

    def is_idle(self) -> bool:
        """Return whether no request is under way."""
        return len(self._core) == 0

    # Actions.

    def perform(self, actions: abc.Iterable[object]) -> None:
        """Execute the actions that the cores have returned."""
        for action in actions:
            self._perform(action)

    @functools.singledispatchmethod
    def _perform(self, action: object) -> None:
        """Raise an error for an unknown kind of action."""
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "unknown action", kind=type(action).__name__
        )

    @_perform.register
    def _send_try(self, action: requests.PlaceIdempotent) -> None:
        """Send the request to its upstream."""
        call = action.handle
        assert isinstance(call, _replies.Call)
        upstream = self._directory.get(action.upstream)
        now = self._clock()
        if upstream is None or not self._exchanges.has_room():
            self.perform(self._core.on_shed(now, action.token))
            return
        token = action.token.to_bytes(TOKEN_BYTES, "big")
        self._exchanges.send(
            token,
            upstream.address,
            lambda message_id: coap.forward_request(
                call.req, token, message_id, action.remaining_ms, None
            ),
            _attempts.UpstreamAttempt(
                self._selector,
                action.upstream,
                functools.partial(self._on_answer, action, call),
                self._clock,
            ),
            now,
            action.remaining_ms / 1000,
        )

    def _on_answer(
        self,
        action: requests.PlaceIdempotent,
        call: _replies.Call,
        answer: coap.UpstreamAnswer,
        data: bytes,
    ) -> None:
        """Pass the answer to the core, or bind its body first."""
        now = self._clock()
        if answer.is_shed:
            retry_s = float(answer.retry_after_s)
            self.perform(self._core.on_shed(now, action.token, retry_s))
            return
        name = (call.route.key, call.req.resource)
        if answer.more_blocks and not call.req.block:
            self._remember_large(name)
            first = _FirstBlock(call, answer, action.upstream)
            self._end_quietly(action.token, data)
            body = _body_of(call)
            self.perform(
                self._bodies.route_block(now, body, first, action.upstream)
            )
            return
        self._replies.cache_decoded(data, answer)
        self.perform(self._core.on_answer(action.token, data))

    def _remember_large(self, name: tuple[ids.ServiceId, str]) -> None:
        """Record that a resource has a body of several blocks."""
        self._large[name] = None
        if len(self._large) > MAX_LARGE_PATHS:
            self._large.popitem(last=False)

    def _end_quietly(
        self, token: requests.PlacementToken, data: bytes
    ) -> None:
        """End a request in the core without sending its answer."""
        for action in self._core.on_answer(token, data):
            if not isinstance(action, requests.Answer):
                self._perform(action)

    @_perform.register
    def _cancel(self, action: requests.CancelIdempotent) -> None:
        """Cancel a request that no caller waits for."""
        token = action.token.to_bytes(TOKEN_BYTES, "big")
        self._exchanges.discard(token)
        upstream = self._directory.get(action.upstream)
        if upstream is not None:
            self._exchanges.cancel(
                token,
                upstream.address,
                None,
                _exchanges.IgnoredResponse(),
                self._clock(),
                CANCEL_LIFETIME_S,
            )

    @_perform.register(requests.Answer)
    @_perform.register(requests.Refuse)
    @_perform.register(requests.Unknown)
    def _conclude(self, action: _replies.FinalAction) -> None:
        """Send the caller the final answer."""
        self._replies.conclude(action)

    @_perform.register
    def _send(self, action: requests.Send) -> None:
        """Send a message about a body to another host."""
        address = self._cluster_view.address_of(action.host)
        if address is not None:
            self._peers.send(address, action.message)

    @_perform.register
    def _bound(self, action: requests.BlockRoute) -> None:
        """Continue a request or answer with the upstream of its body."""
        if isinstance(action.handle, _FirstBlock):
            self._release(action.handle, action.upstream)
            return
        call = action.handle
        assert isinstance(call, _replies.Call)
        if action.upstream is None:
            retry_s = math.ceil(self._replies.retry_after_s())
            self._replies.send_not_run(call, retry_s)
        else:
            self._place(call, action.upstream)

    def _release(
        self, first: _FirstBlock, upstream: ids.UpstreamId | None
    ) -> None:
        """Send a first block, or fetch it from the bound upstream."""
        if upstream == first.upstream:
            self._replies.send_answer(first.call, first.answer)
        elif upstream is not None:
            self._place(first.call, upstream)
        else:
            retry_s = math.ceil(self._replies.retry_after_s())
            self._replies.send_unknown(first.call, retry_s)


def _body_of(call: _replies.Call) -> int:
    """Return the digest that identifies the body of a request."""
    return requests.body_id(
        call.route.key, str(call.packet.source), call.req.resource
    )
