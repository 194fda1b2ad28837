"""Answers to callers, with their counters and histograms."""

from collections import abc
import dataclasses
import math
import random
import typing

from foxtailworks import coap
from foxtailworks import contracts
from foxtailworks.entry import _fabric
from foxtailworks.entry import _services
from foxtailworks import observe
from foxtailworks import proxyv2
from foxtailworks import requests

RETRY_MIN_S = 1.0
RETRY_JITTER_S = 2.0
US_PER_S = 1_000_000

# Final actions of the request cores; each ends a call.
FinalAction: typing.TypeAlias = (
    requests.Answer | requests.Refuse | requests.Unknown
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One message of a caller with its service, class and deadline."""

    route: _services.Route
    """Service to which the message was sent."""
    packet: proxyv2.Packet
    """Packet as received."""
    req: coap.Request
    """Decoded request."""
    request_class: contracts.RequestClass
    """Class of the request in the contract."""
    received_at: float
    """Time at which this host received it, in monotonic seconds."""
    deadline_at: float
    """Time at which the caller times out, in monotonic seconds."""
    attempt: requests.AttemptId
    """Identifier shared by the message and its retransmissions only."""

    def remaining_ms(self, now: float) -> int:
        """Return the time until the deadline, in milliseconds."""
        return int((self.deadline_at - now) * 1000)


class Replies:
    """Sends answers to calls through the fabric."""

    def __init__(
        self,
        fabric: _fabric.FabricEndpoint,
        metrics: observe.Metrics,
        histograms: observe.Histograms,
        rng: random.Random,
        clock: abc.Callable[[], float],
    ) -> None:
        self._fabric = fabric
        self._metrics = metrics
        self._histograms = histograms
        self._rng = rng
        self._clock = clock
        self._last_decoded: tuple[bytes, coap.UpstreamAnswer | None] = (
            b"",
            None,
        )
        self.on_finished: abc.Callable[[Call, bool], None] = _do_nothing

    def count(self, counter: observe.Counter) -> None:
        """Increment a counter of the metrics."""
        self._metrics.count(counter)

    def retry_after_s(self) -> float:
        """Return seconds to retry after, with jitter against bursts."""
        return RETRY_MIN_S + RETRY_JITTER_S * self._rng.random()

    def _send(self, call: Call, data: bytes) -> None:
        """Send a message to the caller from the service's address."""
        packet = call.packet
        self._fabric.answer(packet.target, packet.source, data)

    def send_answer(self, call: Call, answer: coap.UpstreamAnswer) -> None:
        """Send the caller an upstream's answer."""
        self.count(observe.Counter.REQUESTS_ANSWERED)
        self._histograms.record(
            call.route.customer,
            call.route.service.name,
            call.request_class.priority,
            int((self._clock() - call.received_at) * US_PER_S),
        )
        self._send(call, coap.answer_from_upstream(call.req, answer))
        self.on_finished(call, True)

    def send_not_run(self, call: Call, retry_after_s: int) -> None:
        """Answer that the request didn't run and never will."""
        self.count(observe.Counter.REQUESTS_NOT_RUN)
        self._send(call, coap.not_run(call.req, retry_after_s))
        self.on_finished(call, False)

    def send_unknown(self, call: Call, retry_after_s: int) -> None:
        """Answer that the outcome of the request is unknown."""
        self.count(observe.Counter.REQUESTS_UNKNOWN)
        self._send(call, coap.outcome_unknown(call.req, retry_after_s))
        self.on_finished(call, False)

    def conclude(self, action: FinalAction) -> None:
        """Send a caller the final answer that a core has decided on."""
        call = action.handle
        assert isinstance(call, Call)
        if isinstance(action, requests.Answer):
            self.send_answer(call, self._read(action.answer))
            return
        retry_after_s = math.ceil(action.retry_after_s)
        if isinstance(action, requests.Refuse):
            self.send_not_run(call, retry_after_s)
        else:
            self.send_unknown(call, retry_after_s)

    def cache_decoded(self, data: bytes, answer: coap.UpstreamAnswer) -> None:
        """Cache the decoded answer that is about to be sent."""
        self._last_decoded = (data, answer)

    def _read(self, data: bytes) -> coap.UpstreamAnswer:
        """Return the decoded answer; the cached one isn't decoded again."""
        last_data, answer = self._last_decoded
        if answer is not None and last_data is data:
            return answer
        return coap.read_answer(data)

    def on_forwarded(self, call: Call) -> None:
        """Record that another host answers the call."""
        self.on_finished(call, True)


def _do_nothing(call: Call, is_success: bool) -> None:
    """Ignore the end of a call."""
