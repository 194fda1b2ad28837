"""A fabric that hands every packet to any live entry host."""

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

# An entry host that has not been heard for so long gets no packets.
BEAT_TIMEOUT_S = 2.0
# Payload of the datagram by which an entry host withdraws itself.
WITHDRAW = b"withdraw"


@dataclasses.dataclass
class FabricCounts:
    """What passed through."""

    handed: int = 0
    """Packets handed to an entry host."""
    dropped: int = 0
    """Packets dropped: no live host, malformed, or by the set loss."""
    returned: int = 0
    """Answers sent out from a service's address."""


class Fabric:
    """Owns the services' addresses and sprays what comes in.

    :param rng: chooses the entry host and the packets to drop
    :param loss: share of the packets that are dropped, 0 to 1
    """

    def __init__(self, rng: random.Random, loss: float = 0.0) -> None:
        self._rng = rng
        self._loss = loss
        self._entries: dict[ids.Address, float] = {}
        self._outer: dict[ids.Address, udp.Socket] = {}
        self._inner: udp.Socket | None = None
        self.counts = FabricCounts()

    @contextlib.asynccontextmanager
    async def opened(
        self, inner: ids.Address, services: tuple[ids.Address, ...]
    ) -> abc.AsyncIterator[None]:
        """Hold the side of the entry hosts and each service's address."""
        async with contextlib.AsyncExitStack() as stack:
            port = udp.open_socket(inner.ip, inner.port, self._from_entry)
            self._inner = await stack.enter_async_context(port)
            for service in services:
                take = functools.partial(self._from_caller, service)
                port = udp.open_socket(service.ip, service.port, take)
                self._outer[service] = await stack.enter_async_context(port)
            yield

    def _live(self, now: float) -> list[ids.Address]:
        """Return the entry hosts that were heard lately."""
        return [
            entry
            for entry, heard in self._entries.items()
            if now - heard < BEAT_TIMEOUT_S
        ]

    def _from_caller(
        self, service: ids.Address, data: bytes, caller: ids.Address
    ) -> None:
        """Hand a caller's packet to a random entry host."""
        now = asyncio.get_running_loop().time()
        entries = self._live(now)
        if not entries or self._rng.random() < self._loss:
            self.counts.dropped += 1
            return
        entry = self._rng.choice(entries)
        assert self._inner is not None
        packet = proxyv2.encode(caller, service, data)
        self._inner.send(packet, entry)
        self.counts.handed += 1

    def _from_entry(self, data: bytes, entry: ids.Address) -> None:
        """Take a beat, a withdrawal, or an answer to a caller."""
        try:
            packet = proxyv2.decode(data)
        except errors.FoxtailError:
            self.counts.dropped += 1
            return
        if packet.source == packet.target:
            self._take_beat(packet, entry)
            return
        outer = self._outer.get(packet.source)
        if outer is None or self._rng.random() < self._loss:
            self.counts.dropped += 1
            return
        outer.send(packet.payload, packet.target)
        self.counts.returned += 1

    def _take_beat(self, packet: proxyv2.Packet, entry: ids.Address) -> None:
        """Note that an entry host lives, or that it withdraws."""
        if packet.payload == WITHDRAW:
            self._entries.pop(entry, None)
            return
        self._entries[entry] = asyncio.get_running_loop().time()
