"""Simulated fabric: sends every packet to a random live entry host."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import functools
import random

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import proxyv2
from foxtailworks import udp

# An entry host without a heartbeat for so long gets no packets.
HEARTBEAT_TIMEOUT_S = 2.0
# Payload of the datagram with which an entry host withdraws.
WITHDRAW = b"withdraw"


@dataclasses.dataclass
class FabricCounts:
    """Counters of packets, printed at the end."""

    handed: int = 0
    """Packets sent to an entry host."""
    dropped: int = 0
    """Packets dropped: no live host, malformed, or the simulated loss."""
    returned: int = 0
    """Answers sent to callers from a service's address."""


class Fabric:
    """Listens on the services' addresses and distributes their packets.

    :param rng: chooses the entry host and the packets to drop
    :param loss: probability that a packet is dropped, 0 to 1
    """

    def __init__(self, rng: random.Random, loss: float = 0.0) -> None:
        self._rng = rng
        self._loss = loss
        self._entries: dict[ids.Address, float] = {}
        self._service_ports: dict[ids.Address, udp.Socket] = {}
        self._entry_port: udp.Socket | None = None
        self.counts = FabricCounts()

    @contextlib.asynccontextmanager
    async def opened(
        self, inner: ids.Address, services: tuple[ids.Address, ...]
    ) -> abc.AsyncIterator[None]:
        """Open the sockets for the entry hosts and for each service.

        :param inner: address that the entry hosts send to
        :param services: addresses that callers send to
        """
        async with contextlib.AsyncExitStack() as stack:
            port = udp.open_socket(inner.ip, inner.port, self._from_entry)
            self._entry_port = await stack.enter_async_context(port)
            for service in services:
                receive = functools.partial(self._from_caller, service)
                port = udp.open_socket(service.ip, service.port, receive)
                self._service_ports[service] = await stack.enter_async_context(
                    port
                )
            yield

    def _live(self, now: float) -> list[ids.Address]:
        """Return the entry hosts with a recent heartbeat."""
        return [
            entry
            for entry, last_heartbeat_at in self._entries.items()
            if now - last_heartbeat_at < HEARTBEAT_TIMEOUT_S
        ]

    def _from_caller(
        self, service: ids.Address, data: bytes, caller: ids.Address
    ) -> None:
        """Send a caller's packet to a random live entry host."""
        now = asyncio.get_running_loop().time()
        entries = self._live(now)
        if not entries or self._rng.random() < self._loss:
            self.counts.dropped += 1
            return
        entry = self._rng.choice(entries)
        assert self._entry_port is not None
        packet = proxyv2.encode(caller, service, data)
        self._entry_port.send(packet, entry)
        self.counts.handed += 1

    def _from_entry(self, data: bytes, entry: ids.Address) -> None:
        """Handle a heartbeat, a withdrawal or an answer to a caller."""
        try:
            packet = proxyv2.decode(data)
        except errors.FoxtailError:
            self.counts.dropped += 1
            return
        if packet.source == packet.target:
            self._handle_heartbeat(packet, entry)
            return
        service_port = self._service_ports.get(packet.source)
        if service_port is None or self._rng.random() < self._loss:
            self.counts.dropped += 1
            return
        service_port.send(packet.payload, packet.target)
        self.counts.returned += 1

    def _handle_heartbeat(
        self, packet: proxyv2.Packet, entry: ids.Address
    ) -> None:
        """Record the time of a heartbeat, or remove a withdrawn host."""
        if packet.payload == WITHDRAW:
            self._entries.pop(entry, None)
            return
        self._entries[entry] = asyncio.get_running_loop().time()
