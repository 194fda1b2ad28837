"""Decides which packets a slow link carries next."""

import dataclasses

from foxtailworks.shaping import _bucket
from foxtailworks.shaping import _flow_queues
from foxtailworks.shaping import _packet

RATE_SHARE = 0.95
"""Share of the link's rate that is used: the link's own queue, which drops
what it doesn't accept, stays short although timers are late."""
BURST_BYTES = 2 * _packet.FULL_BYTES
"""Bytes sent at once after a pause: a timer that is late by up to 5 ms costs
no throughput, and the link's own queue accepts two packets."""
MAX_QUEUED_BYTES = 64 << 10
"""Limit of all queued packets: 0.28 s of a link of 2 Mbit/s."""
MAX_AGE_S = 1.0
"""Age from which a packet is dropped; its caller has sent it again after 0.2 s
and 0.6 s."""
BULK_SHARE = 0.1
"""Least share of the bytes that bulk gets while small packets wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What to do after a packet or a time was processed."""

    packets: tuple[_packet.Packet, ...]
    """Packets to send now, in this order."""
    next_at: float | None
    """Time of the next packet in monotonic seconds; None if none waits."""


@dataclasses.dataclass(slots=True)
class Counters:
    """What became of the packets."""

    sent_bytes: int = 0
    """Bytes of the packets that were sent, with their headers."""
    charged_bytes: int = 0
    """Bytes that others sent on the link, with their headers."""
    dropped: dict[_packet.DropReason, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(_packet.DropReason, 0)
    )
    """Packets that weren't sent, by reason."""


@dataclasses.dataclass(slots=True)
class _Queued:
    """A queued packet."""

    packet: _packet.Packet
    """The last copy of the packet."""
    since: float
    """Time when this copy came, in monotonic seconds."""


class Shaper:
    """Queue of a link that keeps within a rate.

    Small packets go ahead of bulk, and bulk flows take turns.

    :param link_bytes_per_s: rate of the link
    """

    def __init__(self, link_bytes_per_s: float) -> None:
        rate = link_bytes_per_s * RATE_SHARE
        self._bucket = _bucket.Bucket(rate, BURST_BYTES)
        self._queued: dict[_packet.Key, _Queued] = {}
        """All queued packets, the oldest first."""
        self._small: dict[_packet.Key, _packet.Packet] = {}
        self._bulk = _flow_queues.FlowQueues()
        self._bulk_credit = 0.0
        self.queued_bytes = 0
        """Bytes of the queued packets, with their headers."""
        self.counters = Counters()

    def oldest_age_s(self, now: float) -> float:
        """Return the age of the oldest queued packet; 0 if there is none."""
        for item in self._queued.values():
            return now - item.since
        return 0.0

    def put(self, packet: _packet.Packet, now: float) -> Step:
        """Process a packet that is to be sent."""
        self._drop_old(now)
        self._enqueue(packet, now)
        while self.queued_bytes > MAX_QUEUED_BYTES:
            self._drop_for_room()
        return self._send_due(now)

    def advance(self, now: float) -> Step:
        """Process the time of the next packet."""
        self._drop_old(now)
        return self._send_due(now)

    def charge(self, size: int, now: float) -> None:
        """Count a datagram that was sent past the queue.

        :param size: bytes of the datagram without headers
        """
        taken = size + _packet.HEADER_BYTES
        self._bucket.refill(now)
        self._bucket.take(taken)
        self.counters.charged_bytes += taken

    def flush(self) -> tuple[_packet.Packet, ...]:
        """Remove and return all queued packets, to be sent at once."""
        packets: list[_packet.Packet] = []
        while self._queued:
            packets.append(self._take(self._next()))
        return tuple(packets)

    def _enqueue(self, packet: _packet.Packet, now: float) -> None:
        """Add a packet; one that repeats a queued one takes its position."""
        key = packet.key
        old = self._queued.pop(key, None)
        if old is not None:
            self.queued_bytes -= old.packet.size
            self.counters.dropped[_packet.DropReason.REPEATED] += 1
        self._queued[key] = _Queued(packet, now)
        self.queued_bytes += packet.size
        is_next = packet.is_small and packet.flow not in self._bulk
        if key in self._small or is_next:
            self._small[key] = packet
        else:
            self._bulk.put(packet)

    def _send_due(self, now: float) -> Step:
        """Return the packets for which the rate suffices."""
        self._bucket.refill(now)
        due: list[_packet.Packet] = []
        while self._queued:
            packet = self._next()
            wait_s = self._bucket.wait_s(packet.size)
            if wait_s > 0:
                return Step(tuple(due), now + wait_s)
            self._bucket.take(packet.size)
            due.append(self._take(packet))
        return Step(tuple(due), None)

    def _next(self) -> _packet.Packet:
        """Return the queued packet that is sent next."""
        if not self._bulk:
            return next(iter(self._small.values()))
        head = self._bulk.head()
        if not self._small or self._bulk_credit >= head.size:
            return head
        return next(iter(self._small.values()))

    def _take(self, packet: _packet.Packet) -> _packet.Packet:
        """Remove the next packet, which is sent."""
        key, size = packet.key, packet.size
        if key in self._small:
            del self._small[key]
            if self._bulk:
                self._bulk_credit += size * BULK_SHARE / (1 - BULK_SHARE)
        else:
            self._bulk_credit = max(0.0, self._bulk_credit - size)
            self._release(self._bulk.remove_head())
        self._forget(key)
        self.counters.sent_bytes += size
        return packet

    def _release(self, freed: list[_packet.Packet]) -> None:
        """Let small packets go ahead that no longer wait behind bulk."""
        self._small.update((packet.key, packet) for packet in freed)
        if not self._bulk:
            self._bulk_credit = 0.0

    def _forget(self, key: _packet.Key) -> None:
        """Remove a packet from the account of those that are queued."""
        self.queued_bytes -= self._queued.pop(key).packet.size

    def _drop(
        self, packet: _packet.Packet, reason: _packet.DropReason
    ) -> None:
        """Drop a queued packet."""
        if self._small.pop(packet.key, None) is None:
            self._release(self._bulk.remove(packet))
        self._forget(packet.key)
        self.counters.dropped[reason] += 1

    def _drop_old(self, now: float) -> None:
        """Drop the packets that have waited too long."""
        while self._queued:
            oldest = next(iter(self._queued.values()))
            if now - oldest.since <= MAX_AGE_S:
                return
            self._drop(oldest.packet, _packet.DropReason.OLD)

    def _drop_for_room(self) -> None:
        """Drop the oldest bulk packet of the longest flow, else a small one.

        A retransmission of a small packet, such as a SYN, delays a whole
        request, and bulk packets take most of the room.
        """
        if self._bulk:
            bulk = (p for p in self._bulk.longest() if not p.is_small)
            packet = min(bulk, key=lambda p: self._queued[p.key].since)
        else:
            packet = next(iter(self._small.values()))
        self._drop(packet, _packet.DropReason.FULL)
