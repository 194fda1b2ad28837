"""The host's own link: sends packets when the shaper allows it."""

import asyncio
from collections import abc
import typing

from foxtailworks import ids
from foxtailworks import shaping

MAX_QUEUED_MBPS = 100.0
"""Fastest link whose packets are queued: an upload of 17 packets takes 2 ms on
it, which the queues of network devices hold."""
MIN_DELAY_S = 0.001
"""Shortest timer; the event loop rounds delays to milliseconds, and the
shaper's burst makes up for one that is late."""
_BYTES_PER_MBIT = 125_000


class Port(typing.Protocol):
    """Sends datagrams."""

    def send(self, data: bytes, target: ids.Address) -> None:
        """Send one datagram; delivery is not guaranteed."""


class Link:
    """Queue of callers' packets in front of a slow link.

    :param mbps: rate of the link in Mbit/s
    :param clock: monotonic seconds
    """

    def __init__(self, mbps: float, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._shaper = shaping.Shaper(mbps * _BYTES_PER_MBIT)
        self._port: Port | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    @classmethod
    def for_rate(
        cls, mbps: float | None, clock: abc.Callable[[], float]
    ) -> typing.Self | None:
        """Return the queue of a link; None for a fast or unknown one."""
        if mbps is None or not 0 < mbps <= MAX_QUEUED_MBPS:
            return None
        return cls(mbps, clock)

    @property
    def counters(self) -> shaping.Counters:
        """Return what became of the packets."""
        return self._shaper.counters

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of the queued packets, with their headers."""
        return self._shaper.queued_bytes

    @property
    def oldest_age_s(self) -> float:
        """Return the age of the oldest queued packet; 0 if none waits."""
        return self._shaper.oldest_age_s(self._clock())

    def attach(self, port: Port) -> None:
        """Set the port to send through."""
        self._port = port

    def send(self, packet: shaping.Packet) -> None:
        """Send a packet when its turn has come."""
        self._carry_out(self._shaper.put(packet, self._clock()))

    def charge(self, size: int) -> None:
        """Count a datagram that was sent past the queue.

        :param size: bytes of the datagram without headers
        """
        self._shaper.charge(size, self._clock())

    def close(self) -> None:
        """Send all that waits at once, before the port is closed."""
        self._cancel_timer()
        self._send(self._shaper.flush())

    def _carry_out(self, step: shaping.Step) -> None:
        """Send the packets that are due and set the timer for the next."""
        self._send(step.packets)
        if step.next_at is None:
            self._cancel_timer()
        elif self._timer is None or step.next_at < self._timer_at:
            self._cancel_timer()
            delay_s = max(MIN_DELAY_S, step.next_at - self._clock())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._on_timer)
            self._timer_at = step.next_at

    def _on_timer(self) -> None:
        """Send what is due."""
        self._timer = None
        self._carry_out(self._shaper.advance(self._clock()))

    def _cancel_timer(self) -> None:
        """Cancel the timer if there is one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send(self, packets: abc.Iterable[shaping.Packet]) -> None:
        """Send packets through the port."""
        assert self._port is not None
        for packet in packets:
            self._port.send(packet.data, packet.target)
