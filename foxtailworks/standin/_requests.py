"""Simulated caller of request services: an unmodified aiocoap client."""

import asyncio
import dataclasses
import random
import time
import typing

import aiocoap
from aiocoap import error as coap_error
from aiocoap import numbers
from aiocoap import optiontypes

from foxtailworks import coap
from foxtailworks import ids
from foxtailworks.standin import _records

ANSWER_TIMEOUT_S = 20.0
MAX_BACKOFF_S = 3.0
# A context has one confirmable message in flight to an address at a time, so
# a lost message delays all later ones; several contexts avoid that.
CLIENT_CONTEXTS = 48
RETRY_TIMEOUT_S = 45.0


@dataclasses.dataclass(frozen=True)
class RequestPlan:
    """Parameters of a caller of requests."""

    target: ids.Address
    """Address of the service."""
    service: str
    """Name of the service, for the records."""
    name: str
    """Prefix of request ids."""
    count: int
    """Number of requests to send."""
    rate: float
    """Mean number of requests a second."""
    post_share: float
    """Probability that a request is a POST, 0 to 1."""
    duplicate_share: float
    """Probability that a POST is sent twice at once, with one key."""
    get_path: str = "list"
    """Path of GET requests."""
    post_path: str = "checkin"
    """Path of POST requests."""
    body_bytes: int = 0
    """Bytes that the answer to GET must have beyond the id."""
    attempts: int = 6
    """Messages sent at most for a request without a final outcome."""
    deadline_ms: int = 5000
    """Value of the deadline option of each message, in milliseconds."""


def _option(number: coap.Option, value: bytes) -> object:
    """Return a CoAP option with an opaque value."""
    return optiontypes.OpaqueOption(numbers.OptionNumber(int(number)), value)


class RequestCaller:
    """Sends the requests of a plan and records their outcomes."""

    def __init__(
        self,
        plan: RequestPlan,
        rng: random.Random,
        write: typing.Callable[[_records.CallRecord], None],
    ) -> None:
        self._plan = plan
        self._rng = rng
        self._write = write
        self._contexts: list[aiocoap.Context] = []

    async def run(self) -> None:
        """Send at the planned rate and wait for all outcomes."""
        for _ in range(CLIENT_CONTEXTS):
            context = await aiocoap.Context.create_client_context()
            self._contexts.append(context)
        tasks = []
        for number in range(self._plan.count):
            tasks.append(asyncio.ensure_future(self._call(number)))
            await asyncio.sleep(self._rng.expovariate(self._plan.rate))
        await asyncio.gather(*tasks)
        for context in self._contexts:
            await context.shutdown()

    async def _call(self, number: int) -> None:
        """Send one request, with retries, and record the outcome."""
        plan = self._plan
        request = f"{plan.name}-{number}"
        is_post = self._rng.random() < plan.post_share
        is_duplicated = is_post and self._rng.random() < plan.duplicate_share
        started_at = time.time()
        sends = [self._send_until_final(request, is_post)]
        if is_duplicated:
            sends.append(self._send_until_final(request, is_post))
        results = await asyncio.gather(*sends)
        outcome, upstream = _merge_outcomes([item[:2] for item in results])
        self._write(
            _records.CallRecord(
                request=request,
                service=plan.service,
                method="POST" if is_post else "GET",
                outcome=outcome,
                latency_ms=(time.time() - started_at) * 1000,
                attempts=sum(item[2] for item in results),
                at=started_at,
                upstream=upstream,
            )
        )

    async def _send_until_final(
        self, request: str, is_post: bool
    ) -> tuple[str, str, int]:
        """Send until the outcome is final or attempts or time run out.

        :return: outcome, upstream that answered, messages sent
        """
        outcome = "lost"
        upstream = ""
        give_up_at = time.monotonic() + RETRY_TIMEOUT_S
        for attempt in range(1, self._plan.attempts + 1):
            if time.monotonic() > give_up_at:
                break
            outcome, upstream, pause_s = await self._send(request, is_post)
            if outcome in ("whole", "crossed", "refused"):
                break
            await asyncio.sleep(min(pause_s, MAX_BACKOFF_S))
        return outcome, upstream, attempt

    def _message(self, request: str, is_post: bool) -> aiocoap.Message:
        """Return a new message for the request."""
        plan = self._plan
        path = plan.post_path if is_post else plan.get_path
        msg = aiocoap.Message(
            code=aiocoap.POST if is_post else aiocoap.GET,
            uri=f"coap://{plan.target}/{path}?id={request}",
            payload=request.encode() if is_post else b"",
        )
        deadline = plan.deadline_ms.to_bytes(4, "big")
        msg.opt.add_option(_option(coap.Option.DEADLINE_MS, deadline))
        if is_post:
            key = request.encode()[-32:]
            msg.opt.add_option(_option(coap.Option.IDEMPOTENCY_KEY, key))
        return msg

    async def _send(
        self, request: str, is_post: bool
    ) -> tuple[str, str, float]:
        """Send one message and wait for its answer.

        :return: outcome, upstream that answered, seconds to wait
        """
        context = self._rng.choice(self._contexts)
        msg = self._message(request, is_post)
        try:
            answer = await asyncio.wait_for(
                context.request(msg).response, ANSWER_TIMEOUT_S
            )
        except (coap_error.Error, TimeoutError, OSError):
            return "lost", "", 0.1
        return self._classify(request, is_post, answer)

    def _classify(
        self, request: str, is_post: bool, answer: aiocoap.Message
    ) -> tuple[str, str, float]:
        """Compare an answer with the request that it should belong to.

        :return: as ``_send``
        """
        pause_s = float(answer.opt.max_age or 0) or 0.1
        if answer.code is aiocoap.SERVICE_UNAVAILABLE:
            return "not_run", "", pause_s
        if answer.code is aiocoap.TOO_MANY_REQUESTS:
            return "not_run", "", pause_s
        if answer.code is aiocoap.GATEWAY_TIMEOUT:
            return "unknown", "", pause_s
        if not answer.code.is_successful():
            return "refused", "", 0.0
        upstream, _, rest = answer.payload.decode().partition(" ")
        answered_id, _, body = rest.partition(" ")
        if answered_id != request or not self._is_complete(
            upstream, is_post, body
        ):
            return "crossed", upstream, 0.0
        return "whole", upstream, 0.0

    def _is_complete(self, upstream: str, is_post: bool, body: str) -> bool:
        """Return whether a body is complete and from one upstream only."""
        if is_post or not self._plan.body_bytes:
            return True
        fill = f"{upstream}/{self._plan.get_path}"
        count = self._plan.body_bytes // len(fill) + 1
        return body == (fill * count)[: self._plan.body_bytes]


def _merge_outcomes(results: list[tuple[str, str]]) -> tuple[str, str]:
    """Return the outcome of a request that was sent twice.

    A complete answer to either send is the outcome; if both have one, they
    must come from the same upstream, else the answers are crossed.
    """
    complete = [item for item in results if item[0] == "whole"]
    if any(item[0] == "crossed" for item in results):
        return "crossed", ""
    if len({item[1] for item in complete}) > 1:
        return "crossed", ""
    if complete:
        return complete[0]
    for outcome in ("unknown", "lost"):
        if any(item[0] == outcome for item in results):
            return outcome, ""
    return results[0]
