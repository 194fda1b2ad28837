"""The path of requests that may be repeated."""

from collections import abc
import functools
import math

import xxhash

from foxtailworks import coap
from foxtailworks.entry import _choice
from foxtailworks.entry import _exchanges
from foxtailworks.entry import _replies
from foxtailworks import ids
from foxtailworks import upstreams

TOKEN_BYTES = 8


class IdempotentPath:
    """Places each request where all blocks of its body go."""

    def __init__(
        self,
        choice: _choice.Choice,
        directory: upstreams.Directory,
        exchanges: _exchanges.Exchanges,
        replies: _replies.Replies,
        clock: abc.Callable[[], float],
    ) -> None:
        self._choice = choice
        self._directory = directory
        self._exchanges = exchanges
        self._replies = replies
        self._clock = clock
        self._serial = 0

    def take(self, call: _replies.Call, now: float) -> None:
        """Take a request in and send it to its upstream."""
        body = f"{call.packet.source}{call.req.path}".encode()
        digest = xxhash.xxh3_64_intdigest(body)
        item = self._choice.by_hash(call.route.key, digest)
        upstream = self._directory.get(item) if item is not None else None
        if upstream is None or not self._exchanges.has_room():
            retry_s = math.ceil(self._replies.retry_after_s())
            self._replies.not_run(call, retry_s)
            return
        self._serial += 1
        token = b"i" + self._serial.to_bytes(TOKEN_BYTES - 1, "big")
        remaining_ms = call.remaining_ms(now)
        self._choice.on_sent(upstream.id)
        self._exchanges.send(
            token,
            upstream.address,
            lambda message_id: coap.forward_request(
                call.req, token, message_id, remaining_ms, None
            ),
            functools.partial(self._take_answer, call, upstream.id, now),
            now,
            remaining_ms / 1000,
        )

    def _take_answer(
        self,
        call: _replies.Call,
        upstream: ids.UpstreamId,
        sent_at: float,
        answer: coap.UpstreamAnswer,
        data: bytes,
    ) -> None:
        """Pass the upstream's answer to the caller."""
        now = self._clock()
        latency_ms = (now - sent_at) * 1000
        outcome = _replies.outcome_of(answer)
        self._choice.on_ended(upstream, outcome, latency_ms)
        self._replies.answered(call, answer)
