"""Simulated upstreams: one answers CoAP requests, one echoes flows."""

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
MAX_ENTRIES = 20_000
SHED_MAX_AGE_S = 1


@dataclasses.dataclass(frozen=True)
class UpstreamPlan:
    """Parameters of a simulated upstream."""

    name: str
    """Name in answers and records."""
    service: str
    """Service that it belongs to."""
    address: ids.Address
    """UDP address on which it listens."""
    slots: int = 3
    """Number of requests that run concurrently."""
    queue: int = 60
    """Maximum number of waiting requests; more are shed."""
    service_ms: float = 2.0
    """Time that one request runs, in milliseconds."""
    body_bytes: int = 0
    """Bytes in the answer to GET beyond name and request id."""


class _BoundedDict(collections.OrderedDict[typing.Any, typing.Any]):
    """A dict of bounded size that evicts its oldest entry."""

    def put(self, key: typing.Any, value: typing.Any) -> None:
        """Store ``value`` and evict the oldest entry when full."""
        self[key] = value
        if len(self) > MAX_ENTRIES:
            self.popitem(last=False)


class RequestUpstream:
    """Runs CoAP requests in slots, with shedding, cancels and deadlines."""

    def __init__(
        self,
        plan: UpstreamPlan,
        write: typing.Callable[[_records.RunRecord], None],
    ) -> None:
        self._plan = plan
        self._write = write
        self._slots = asyncio.Semaphore(plan.slots)
        self._answers = _BoundedDict()
        self._cancelled = _BoundedDict()
        self._started = _BoundedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        self.port: udp.Socket | None = None
        self.running = 0

    @property
    def load(self) -> float:
        """Number of requests here, divided by the slots."""
        return len(self._tasks) / self._plan.slots

    def receive(self, data: bytes, addr: ids.Address) -> None:
        """Handle one message; a retransmission gets the same answer again."""
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
        """Send one datagram to ``addr``."""
        assert self.port is not None
        self.port.send(data, addr)

    async def _serve(
        self, req: coap.Request, addr: ids.Address, received_at: float
    ) -> None:
        """Run, cancel or shed one request and send its answer."""
        if req.path == "/cancel":
            answer = self._cancel(req)
        elif len(self._tasks) > self._plan.slots + self._plan.queue:
            answer = self._shed(req, "full")
        else:
            answer = await self._run(req, received_at)
        data = answer.encode()
        self._answers.put((addr, req.message_id), data)
        self._send(data, addr)

    def _cancel(self, req: coap.Request) -> aiocoap.Message:
        """Guarantee that a request never starts, unless it has started.

        If it has finished, the reply contains its answer.
        """
        token = req.raw.payload
        if token in self._started:
            stored = self._started[token] or b""
            return self._reply(req, aiocoap.CONFLICT, stored)
        self._cancelled.put(token, True)
        return self._reply(req, aiocoap.CHANGED, b"never")

    def _shed(self, req: coap.Request, reason: str) -> aiocoap.Message:
        """Return the reply that the request was not run and won't be."""
        answer = self._reply(req, aiocoap.SERVICE_UNAVAILABLE, reason.encode())
        answer.opt.max_age = SHED_MAX_AGE_S
        return answer

    async def _run(
        self, req: coap.Request, received_at: float
    ) -> aiocoap.Message:
        """Run the request in a slot, unless too late or cancelled."""
        async with self._slots:
            waited_ms = (time.monotonic() - received_at) * 1000
            limit = req.deadline_ms
            if limit is not None and waited_ms > limit:
                return self._shed(req, "deadline passed")
            if req.token in self._cancelled:
                return self._shed(req, "cancelled")
            self._started.put(req.token, None)
            self._record_run(req)
            await asyncio.sleep(self._plan.service_ms / 1000)
            answer = self._result(req)
            self._started.put(req.token, answer.encode())
            return answer

    def _record_run(self, req: coap.Request) -> None:
        """Write a record that the request runs now."""
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
        """Return the answer: upstream, request id and body."""
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
        """Return an answer piggybacked on the acknowledgement."""
        return coap.compose(
            aiocoap.ACK, req.message_id, code, req.token, payload
        )


def _request_id(req: coap.Request) -> str:
    """Return the request id from the query of the URI."""
    for item in req.raw.opt.uri_query:
        if item.startswith("id="):
            return str(item[3:])
    return "-"


class FlowUpstream:
    """Echoes datagrams of flows, with its name and their number."""

    def __init__(self, plan: UpstreamPlan) -> None:
        self._plan = plan
        self._datagram_counts: dict[ids.Address, int] = {}
        self.port: udp.Socket | None = None

    @property
    def load(self) -> float:
        """Number of flows here, divided by the slots."""
        return len(self._datagram_counts) / self._plan.slots

    def receive(self, data: bytes, addr: ids.Address) -> None:
        """Echo one datagram to the caller that its PROXY header names."""
        try:
            packet = proxyv2.decode(data)
        except errors.FoxtailError:
            return
        count = self._datagram_counts.get(packet.source, 0) + 1
        self._datagram_counts[packet.source] = count
        head = f"{self._plan.name}|{count}|".encode()
        answer = proxyv2.encode(
            packet.target, packet.source, head + packet.payload
        )
        assert self.port is not None
        self.port.send(answer, addr)
