"""A caller of request services: an unmodified aiocoap client."""

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

BODY_DEADLINE_S = 20.0
BACKOFF_MAX_S = 3.0
# A client has one confirmable message out to an address at a time, so a
# lost one holds up all that it has to say.
CALLERS = 48
GIVE_UP_S = 45.0


@dataclasses.dataclass(frozen=True)
class RequestPlan:
    """What a caller sends."""

    target: ids.Address
    """The service's address."""
    service: str
    """Name of the service, for the records."""
    name: str
    """Prefix of request ids."""
    count: int
    """Requests to send."""
    rate: float
    """Requests a second."""
    post_share: float
    """Share of POST among them, 0 to 1."""
    duplicate_share: float
    """Share of POST sent a second time at once under the same key."""
    get_path: str = "list"
    """Path of GET."""
    post_path: str = "checkin"
    """Path of POST."""
    body_bytes: int = 0
    """Body that GET must bring beyond the id."""
    attempts: int = 6
    """Times that a request is sent again after "not run" or "unknown"."""
    deadline_ms: int = 5000
    """Deadline option of each message."""


def _option(number: coap.Option, value: bytes) -> object:
    """Return an option by its number."""
    return optiontypes.OpaqueOption(numbers.OptionNumber(int(number)), value)


class RequestCaller:
    """Sends a plan's requests and records what came back."""

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
        """Send at the planned rate and wait for every outcome."""
        for _ in range(CALLERS):
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
        """Send one request, again when told to, and record the outcome."""
        plan = self._plan
        request = f"{plan.name}-{number}"
        post = self._rng.random() < plan.post_share
        twice = post and self._rng.random() < plan.duplicate_share
        began = time.time()
        sends = [self._until_final(request, post)]
        if twice:
            sends.append(self._until_final(request, post))
        results = await asyncio.gather(*sends)
        outcome, upstream = _merge([item[:2] for item in results])
        self._write(
            _records.CallRecord(
                request=request,
                service=plan.service,
                method="POST" if post else "GET",
                outcome=outcome,
                latency_ms=(time.time() - began) * 1000,
                attempts=sum(item[2] for item in results),
                at=began,
                upstream=upstream,
            )
        )

    async def _until_final(
        self, request: str, post: bool
    ) -> tuple[str, str, int]:
        """Send until whole, refused for good, or out of attempts."""
        outcome = "lost"
        upstream = ""
        until = time.monotonic() + GIVE_UP_S
        for attempt in range(1, self._plan.attempts + 1):
            if time.monotonic() > until:
                break
            outcome, upstream, pause_s = await self._send(request, post)
            if outcome in ("whole", "crossed", "refused"):
                break
            await asyncio.sleep(min(pause_s, BACKOFF_MAX_S))
        return outcome, upstream, attempt

    def _message(self, request: str, post: bool) -> aiocoap.Message:
        """Return a new message for the request."""
        plan = self._plan
        path = plan.post_path if post else plan.get_path
        msg = aiocoap.Message(
            code=aiocoap.POST if post else aiocoap.GET,
            uri=f"coap://{plan.target}/{path}?id={request}",
            payload=request.encode() if post else b"",
        )
        deadline = plan.deadline_ms.to_bytes(4, "big")
        msg.opt.add_option(_option(coap.Option.DEADLINE_MS, deadline))
        if post:
            key = request.encode()[-32:]
            msg.opt.add_option(_option(coap.Option.IDEMPOTENCY_KEY, key))
        return msg

    async def _send(self, request: str, post: bool) -> tuple[str, str, float]:
        """Send one message: outcome, who answered, seconds to wait."""
        context = self._rng.choice(self._contexts)
        msg = self._message(request, post)
        try:
            answer = await asyncio.wait_for(
                context.request(msg).response, BODY_DEADLINE_S
            )
        except (coap_error.Error, TimeoutError, OSError):
            return "lost", "", 0.1
        return self._judge(request, post, answer)

    def _judge(
        self, request: str, post: bool, answer: aiocoap.Message
    ) -> tuple[str, str, float]:
        """Compare an answer with the request that it should belong to."""
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
        got, _, body = rest.partition(" ")
        if got != request or not self._whole(upstream, post, body):
            return "crossed", upstream, 0.0
        return "whole", upstream, 0.0

    def _whole(self, upstream: str, post: bool, body: str) -> bool:
        """Tell whether a body is complete and of one upstream."""
        if post or not self._plan.body_bytes:
            return True
        fill = f"{upstream}/{self._plan.get_path}"
        count = self._plan.body_bytes // len(fill) + 1
        return body == (fill * count)[: self._plan.body_bytes]


def _merge(results: list[tuple[str, str]]) -> tuple[str, str]:
    """Return the outcome of a request that was sent twice.

    A whole answer to either says that it ran; two of them must agree.
    """
    wholes = [item for item in results if item[0] == "whole"]
    if any(item[0] == "crossed" for item in results):
        return "crossed", ""
    if len({item[1] for item in wholes}) > 1:
        return "crossed", ""
    if wholes:
        return wholes[0]
    for outcome in ("unknown", "lost"):
        if any(item[0] == outcome for item in results):
            return outcome, ""
    return results[0]
