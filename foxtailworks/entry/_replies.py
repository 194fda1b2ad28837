"""What callers are told, with the counters and histograms of it."""

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
RETRY_SPREAD_S = 2.0
US_PER_S = 1_000_000

# What a core of requests tells a caller in the end.
Final: typing.TypeAlias = requests.Answer | requests.Refuse | requests.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One message of a caller and what belongs to it."""

    route: _services.Route
    """The service that it was sent to."""
    packet: proxyv2.Packet
    """As it came."""
    req: coap.Request
    """What it asks for."""
    request_class: contracts.RequestClass
    """Its class in the contract."""
    received_at: float
    """When it came to this host."""
    deadline_at: float
    """When the caller stops waiting."""
    attempt: requests.AttemptId
    """Shared by the message and its retransmissions only."""

    def remaining_ms(self, now: float) -> int:
        """Return the time until the deadline, in milliseconds."""
        return int((self.deadline_at - now) * 1000)


class Replies:
    """Answers calls through the fabric."""

    def __init__(
        self,
        fabric: _fabric.Fabric,
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
        self._latest: tuple[bytes, coap.UpstreamAnswer | None] = (b"", None)
        self.on_done: abc.Callable[[Call, bool], None] = _ignore

    def count(self, counter: observe.Counter) -> None:
        """Count one event."""
        self._metrics.count(counter)

    def retry_after_s(self) -> float:
        """Return a time to come back, spread so that few return at once."""
        return RETRY_MIN_S + RETRY_SPREAD_S * self._rng.random()

    def _send(self, call: Call, data: bytes) -> None:
        """Send a message to the caller from the service's address."""
        packet = call.packet
        self._fabric.answer(packet.target, packet.source, data)

    def answered(self, call: Call, answer: coap.UpstreamAnswer) -> None:
        """Give the caller an upstream's answer."""
        self.count(observe.Counter.REQUESTS_ANSWERED)
        self._histograms.record(
            call.route.customer,
            call.route.service.name,
            call.request_class.priority,
            int((self._clock() - call.received_at) * US_PER_S),
        )
        self._send(call, coap.answer_from_upstream(call.req, answer))
        self.on_done(call, True)

    def not_run(self, call: Call, retry_after_s: int) -> None:
        """Tell that the request didn't run and won't."""
        self.count(observe.Counter.REQUESTS_NOT_RUN)
        self._send(call, coap.not_run(call.req, retry_after_s))
        self.on_done(call, False)

    def unknown(self, call: Call, retry_after_s: int) -> None:
        """Tell that the outcome isn't known."""
        self.count(observe.Counter.REQUESTS_UNKNOWN)
        self._send(call, coap.outcome_unknown(call.req, retry_after_s))
        self.on_done(call, False)

    def conclude(self, action: Final) -> None:
        """Give a caller the final answer that a core has decided on."""
        call = action.handle
        assert isinstance(call, Call)
        if isinstance(action, requests.Answer):
            self.answered(call, self._read(action.answer))
            return
        retry_after_s = math.ceil(action.retry_after_s)
        if isinstance(action, requests.Refuse):
            self.not_run(call, retry_after_s)
        else:
            self.unknown(call, retry_after_s)

    def remember(self, data: bytes, answer: coap.UpstreamAnswer) -> None:
        """Keep an answer that is about to be given, read already."""
        self._latest = (data, answer)

    def _read(self, data: bytes) -> coap.UpstreamAnswer:
        """Return the answer in ``data``; the latest isn't read twice."""
        latest, answer = self._latest
        if answer is not None and latest is data:
            return answer
        return coap.read_answer(data)

    def passed_on(self, call: Call) -> None:
        """Note that another host answers the call."""
        self.on_done(call, True)


def _ignore(call: Call, is_good: bool) -> None:
    """Do nothing."""
