"""Upstreams: one that answers CoAP requests, one that echoes flows."""

import asyncio
import collections
import dataclasses
import time
import typing

import aiocoap
from aiocoap import optiontypes

from foxtailworks import coap
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import proxyv2
from foxtailworks.standin import _records
from foxtailworks import udp

BLOCK_EXPONENT = 6
BLOCK_BYTES = 1 << (BLOCK_EXPONENT + 4)
REMEMBERED = 20_000
SHED_MAX_AGE_S = 1


@dataclasses.dataclass(frozen=True)
class UpstreamPlan:
    """How a stand-in upstream behaves."""

    name: str
    """Shown in answers and records."""
    service: str
    """Service that it belongs to."""
    address: ids.Address
    """Where it listens."""
    slots: int = 3
    """Requests that run at once."""
    queue: int = 60
    """Requests that wait at most; more are shed."""
    service_ms: float = 2.0
    """Time that one request runs."""
    body_bytes: int = 0
    """Size of the body that is answered to GET beyond its id."""


class _Remembered(collections.OrderedDict[typing.Any, typing.Any]):
    """A bounded memory; the oldest entry goes first."""

    def put(self, key: typing.Any, value: typing.Any) -> None:
        """Keep ``value``, dropping the oldest when full."""
        self[key] = value
        if len(self) > REMEMBERED:
            self.popitem(last=False)


class RequestUpstream:
    """Runs CoAP requests in slots; sheds, cancels, keeps deadlines."""

    def __init__(
        self,
        plan: UpstreamPlan,
        write: typing.Callable[[_records.RunRecord], None],
    ) -> None:
        self._plan = plan
        self._write = write
        self._slots = asyncio.Semaphore(plan.slots)
        self._answers = _Remembered()
        self._cancelled = _Remembered()
        self._started = _Remembered()
        self._tasks: set[asyncio.Task[None]] = set()
        self.port: udp.Socket | None = None
        self.running = 0

    @property
    def load(self) -> float:
        """Requests here by slots."""
        return len(self._tasks) / self._plan.slots

    def take(self, data: bytes, addr: ids.Address) -> None:
        """Take one message; a retransmission gets the answer again."""
        try:
            req = coap.read_request(data)
        except errors.FoxtailError:
            return
        exchange = (addr, req.message_id)
        if exchange in self._answers:
            answer = self._answers[exchange]
            if answer is not None:
                self._send(answer, addr)
            return
        self._answers.put(exchange, None)
        task = asyncio.ensure_future(self._serve(req, addr, time.monotonic()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, data: bytes, addr: ids.Address) -> None:
        """Send one message."""
        assert self.port is not None
        self.port.send(data, addr)

    async def _serve(
        self, req: coap.Request, addr: ids.Address, came: float
    ) -> None:
        """Answer one request."""
        if req.path == "/cancel":
            answer = self._cancel(req)
        elif len(self._tasks) > self._plan.slots + self._plan.queue:
            answer = self._shed(req, "full")
        else:
            answer = await self._run(req, came)
        data = answer.encode()
        self._answers.put((addr, req.message_id), data)
        self._send(data, addr)

    def _cancel(self, req: coap.Request) -> aiocoap.Message:
        """Promise never to start a placement, unless it has started.

        The answer of one that is done comes along.
        """
        placement = req.raw.payload
        if placement in self._started:
            done = self._started[placement] or b""
            return self._reply(req, aiocoap.CONFLICT, done)
        self._cancelled.put(placement, True)
        return self._reply(req, aiocoap.CHANGED, b"never")

    def _shed(self, req: coap.Request, why: str) -> aiocoap.Message:
        """Confirm that the request was not run and won't be."""
        answer = self._reply(req, aiocoap.SERVICE_UNAVAILABLE, why.encode())
        answer.opt.max_age = SHED_MAX_AGE_S
        return answer

    async def _run(self, req: coap.Request, came: float) -> aiocoap.Message:
        """Wait for a slot and run, unless too late or cancelled."""
        async with self._slots:
            waited_ms = (time.monotonic() - came) * 1000
            limit = req.deadline_ms
            if limit is not None and waited_ms > limit:
                return self._shed(req, "deadline passed")
            if req.token in self._cancelled:
                return self._shed(req, "cancelled")
            self._started.put(req.token, None)
            self._note(req)
            await asyncio.sleep(self._plan.service_ms / 1000)
            answer = self._result(req)
            self._started.put(req.token, answer.encode())
            return answer

    def _note(self, req: coap.Request) -> None:
        """Write down that the request runs now."""
        self._write(
            _records.RunRecord(
                upstream=self._plan.name,
                service=self._plan.service,
                request=_request_id(req),
                method=req.method.name,
                at=time.time(),
            )
        )

    def _result(self, req: coap.Request) -> aiocoap.Message:
        """Return the answer: who ran it, which request, and the body."""
        body = f"{self._plan.name} {_request_id(req)} ".encode()
        if req.method is coap.Method.GET and self._plan.body_bytes:
            fill = f"{self._plan.name}{req.path}".encode()
            count = self._plan.body_bytes // len(fill) + 1
            body += (fill * count)[: self._plan.body_bytes]
        code = (
            aiocoap.CONTENT
            if req.method is coap.Method.GET
            else aiocoap.CHANGED
        )
        start = req.block * BLOCK_BYTES
        answer = self._reply(req, code, body[start : start + BLOCK_BYTES])
        if len(body) > BLOCK_BYTES:
            more = start + BLOCK_BYTES < len(body)
            answer.opt.block2 = optiontypes.BlockOption.BlockwiseTuple(
                req.block, more, BLOCK_EXPONENT
            )
            answer.opt.etag = self._plan.name.encode()[-8:]
        return answer

    def _reply(
        self, req: coap.Request, code: aiocoap.Code, payload: bytes
    ) -> aiocoap.Message:
        """Return a piggybacked answer."""
        return coap.compose(
            aiocoap.ACK, req.message_id, code, req.token, payload
        )


def _request_id(req: coap.Request) -> str:
    """Return the id that the caller put into the query."""
    for item in req.raw.opt.uri_query:
        if item.startswith("id="):
            return str(item[3:])
    return "-"


class FlowUpstream:
    """Echoes datagrams of flows, with its name and its own count."""

    def __init__(self, plan: UpstreamPlan) -> None:
        self._plan = plan
        self._seen: dict[ids.Address, int] = {}
        self.port: udp.Socket | None = None

    @property
    def load(self) -> float:
        """Flows here by slots."""
        return len(self._seen) / self._plan.slots

    def take(self, data: bytes, addr: ids.Address) -> None:
        """Answer one datagram to the caller that its header names."""
        try:
            packet = proxyv2.decode(data)
        except errors.FoxtailError:
            return
        count = self._seen.get(packet.source, 0) + 1
        self._seen[packet.source] = count
        head = f"{self._plan.name}|{count}|".encode()
        answer = proxyv2.encode(
            packet.target, packet.source, head + packet.payload
        )
        assert self.port is not None
        self.port.send(answer, addr)
