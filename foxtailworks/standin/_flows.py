"""Simulated caller of flow services: one socket for each long flow."""

import asyncio
import collections
import dataclasses
import random
import typing

from foxtailworks import ids
from foxtailworks.standin import _records

RETRANSMIT_S = 0.4
MAX_SENDS = 6


@dataclasses.dataclass(frozen=True)
class FlowPlan:
    """Parameters of a caller of flows."""

    target: ids.Address
    """Address of the service."""
    service: str
    """Name of the service, for the records."""
    name: str
    """Prefix of flow ids."""
    count: int
    """Number of flows to open."""
    seconds: float
    """Time of the run in seconds; flows start in its first quarter
    and last for three quarters."""
    interval_s: float = 0.5
    """Mean time between two datagrams of a flow, in seconds."""


class _Flow(asyncio.DatagramProtocol):
    """One flow, with a socket of its own."""

    def __init__(self, flow: str) -> None:
        self.flow = flow
        self.upstreams: collections.OrderedDict[str, None]
        self.upstreams = collections.OrderedDict()
        self.crossed = 0
        self._pending: dict[str, asyncio.Future[None]] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record the answering upstream; count answers to other flows."""
        upstream, _, rest = data.decode(errors="replace").partition("|")
        _, _, echo = rest.partition("|")
        flow, _, sequence = echo.partition("#")
        if flow != self.flow:
            self.crossed += 1
            return
        self.upstreams[upstream] = None
        fut = self._pending.get(sequence)
        if fut is not None and not fut.done():
            fut.set_result(None)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the datagram is retransmitted."""

    async def exchange(self, sequence: int) -> bool:
        """Send one datagram, again until it is answered.

        :return: whether it was answered within ``MAX_SENDS``
        """
        key = str(sequence)
        fut = asyncio.get_running_loop().create_future()
        self._pending[key] = fut
        assert self.transport is not None
        try:
            for _ in range(MAX_SENDS):
                self.transport.sendto(f"{self.flow}#{key}".encode())
                done, _ = await asyncio.wait((fut,), timeout=RETRANSMIT_S)
                if done:
                    return True
            return False
        finally:
            del self._pending[key]


class FlowCaller:
    """Opens the flows of a plan and records their answers."""

    def __init__(
        self,
        plan: FlowPlan,
        rng: random.Random,
        write: typing.Callable[[_records.FlowRecord], None],
    ) -> None:
        self._plan = plan
        self._rng = rng
        self._write = write

    async def run(self) -> None:
        """Run all flows concurrently to their end."""
        await asyncio.gather(
            *(self._run_one(number) for number in range(self._plan.count))
        )

    async def _run_one(self, number: int) -> None:
        """Exchange datagrams on one flow for its time, then record it."""
        loop = asyncio.get_running_loop()
        target = self._plan.target
        await asyncio.sleep(self._rng.random() * self._plan.seconds / 4)
        transport, flow = await loop.create_datagram_endpoint(
            lambda: _Flow(f"{self._plan.name}-{number}"),
            remote_addr=(target.ip, target.port),
        )
        end = loop.time() + self._plan.seconds * 3 / 4
        sent = 0
        answered = 0
        while loop.time() < end:
            sent += 1
            answered += await flow.exchange(sent)
            pause_s = self._rng.expovariate(1 / self._plan.interval_s)
            await asyncio.sleep(pause_s)
        transport.close()
        self._write(
            _records.FlowRecord(
                flow=flow.flow,
                service=self._plan.service,
                sent=sent,
                answered=answered,
                upstreams=tuple(flow.upstreams),
                crossed=flow.crossed,
            )
        )
