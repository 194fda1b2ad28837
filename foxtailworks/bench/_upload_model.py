"""Model of uploads and small requests that share a host's slow link.

A host of the newswire deployment forwards both over 2 Mbit/s.  All packets of
an upload that fit into the caller's window arrive at once.  The link has a
queue of its own, in front of which the host sends at once or through the
product's shaper.  Time is virtual.
"""

from collections import abc
import dataclasses
import heapq
import itertools
import random
import typing

from foxtailworks import ids
from foxtailworks import shaping

LINK_BYTES_PER_S = 250_000.0
"""Rate of the host's link: 2 Mbit/s."""
UPLOAD_PACKETS = 17
"""Packets of an upload of 20 KB."""
WINDOW = 16
"""Most packets of an upload in flight."""
FULL_BYTES = 1244
"""Datagram of a full packet to an upstream."""
SMALL_BYTES = (44, 160)
"""Datagrams of a small request, one after the other: SYN and request."""
SMALL_PER_S = 30.0
"""Small requests that the host forwards in a second."""
POLL_BYTES = 120
"""Datagram of a poll, which goes past the queue."""
POLL_EVERY_S = 1 / 5.7
"""Seconds between the polls of a host with 8 coordinators."""
ROUND_TRIP_S = 0.002
"""Time from the link to the upstream and back to the caller."""
WORK_S = 0.004
"""Time an upstream needs for a request."""
FIRST_TIMEOUT_S = 0.2
"""Time after which a caller sends a packet again."""
LONGEST_TIMEOUT_S = 1.6
"""Bound of that time, which doubles with each copy."""
GIVES_UP_S = 5.0
"""Time after which a caller gives a request up."""
UPLOAD_TARGET_S = 0.5
"""Time within which an upload is in time."""
SMALL_TARGET_S = 0.2
"""Time within which a small request is in time: none of its packets was lost
and sent again."""
TIMER_LATE_S = 0.004
"""Most by which a timer of the event loop is late on half a core."""
_TARGET = ids.Address("10.0.0.1", 80)

Sender: typing.TypeAlias = abc.Callable[[shaping.Packet], shaping.Packet]
"""Changes a packet before it is queued, to leave out a part of the design."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkQueue:
    """Queue of the link itself, by the delay of a packet that enters it."""

    name: str
    """Name for figures."""
    accepts_s: float
    """Delay up to which all packets are accepted."""
    full_s: float
    """Delay from which on none is; between both, packets drop at random."""


TAIL = LinkQueue("tail_20ms", 0.02, 0.02)
"""A queue that holds four full packets and drops the others."""
RANDOM = LinkQueue("random_50ms", 0.05, 0.25)
"""A queue that drops at random, as the model of the coordinators' tests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How the host sends callers' packets."""

    name: str
    """Name for figures."""
    rate_factor: float | None = 1.0
    """Rate that the shaper is told, as a share of the link's; None to send
    without a queue."""
    change: Sender = lambda packet: packet
    """Change of each packet before it is queued."""


@dataclasses.dataclass
class Outcome:
    """What callers got; for those that gave up, the time until then."""

    uploads_s: list[float] = dataclasses.field(default_factory=list)
    """Seconds to the answer of each upload."""
    smalls_s: list[float] = dataclasses.field(default_factory=list)
    """Seconds to the answer of each small request."""
    lost: int = 0
    """Callers' packets that the link's own queue dropped."""
    sent: int = 0
    """Callers' packets offered to the link's own queue."""
    dropped: int = 0
    """Callers' packets that the shaper dropped, except repeated ones."""

    def uploads_in_time(self) -> float:
        """Return the share of uploads answered in time."""
        return _share_within(self.uploads_s, UPLOAD_TARGET_S)

    def smalls_in_time(self) -> float:
        """Return the share of small requests answered in time."""
        return _share_within(self.smalls_s, SMALL_TARGET_S)


def _share_within(times_s: list[float], limit_s: float) -> float:
    """Return the share of the times that are within a limit."""
    return sum(item <= limit_s for item in times_s) / len(times_s)


class _Request:
    """A caller's request: its packets, and which of them were received."""

    def __init__(
        self,
        sizes: tuple[int, ...],
        window: int,
        started_at: float,
        times_s: list[float],
    ) -> None:
        self.sizes = sizes
        self.window = window
        self.started_at = started_at
        self.times_s = times_s
        self.received: set[int] = set()
        self.acknowledged: set[int] = set()
        self.next_index = 0
        self.has_ended = False


class Model:
    """One run of the load over one link.

    :param load: bytes of uploads as a share of the shaper's rate
    """

    def __init__(
        self, load: float, queue: LinkQueue, policy: Policy, seed: int
    ) -> None:
        # The arrivals are the same for all policies.
        self._arrivals = random.Random(seed)
        self._chance = random.Random(seed + 1)
        self._queue = queue
        self._policy = policy
        self._shaper = (
            None
            if policy.rate_factor is None
            else shaping.Shaper(LINK_BYTES_PER_S * policy.rate_factor)
        )
        per_upload = UPLOAD_PACKETS * (FULL_BYTES + shaping.HEADER_BYTES)
        self._uploads_per_s = load * 0.95 * LINK_BYTES_PER_S / per_upload
        self._link_free_at = 0.0
        self._timer_at: float | None = None
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._serials = itertools.count()
        self._flows = itertools.count()
        self._now = 0.0
        self._by_packet: dict[bytes, tuple[_Request, int]] = {}
        self.outcome = Outcome()

    def run(self, seconds: float) -> Outcome:
        """Simulate arrivals for some seconds, until all have ended."""
        self._arrive_at_random(
            self._uploads_per_s, self._start_upload, seconds
        )
        self._arrive_at_random(SMALL_PER_S, self._start_small, seconds)
        for number in range(int(seconds / POLL_EVERY_S)):
            self._at(number * POLL_EVERY_S, self._send_poll)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        if self._shaper is not None:
            dropped = self._shaper.counters.dropped
            self.outcome.dropped = (
                dropped[shaping.DropReason.FULL]
                + dropped[shaping.DropReason.OLD]
            )
        return self.outcome

    def _arrive_at_random(
        self, rate: float, start: abc.Callable[[], None], seconds: float
    ) -> None:
        """Schedule Poisson arrivals."""
        at = self._arrivals.expovariate(rate)
        while at < seconds:
            self._at(at, start)
            at += self._arrivals.expovariate(rate)

    def _at(self, when: float, action: abc.Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (when, next(self._serials), action))

    def _start_upload(self) -> None:
        """Let an upload arrive."""
        sizes = (FULL_BYTES,) * UPLOAD_PACKETS
        self._start(sizes, WINDOW, self.outcome.uploads_s)

    def _start_small(self) -> None:
        """Let a small request arrive."""
        self._start(SMALL_BYTES, 1, self.outcome.smalls_s)

    def _start(
        self, sizes: tuple[int, ...], window: int, times_s: list[float]
    ) -> None:
        """Start a request and schedule its caller's end of patience."""
        request = _Request(sizes, window, self._now, times_s)
        flow = next(self._flows).to_bytes(4, "big")
        self._at(self._now + GIVES_UP_S, lambda: self._give_up(request))
        self._fill_window(request, flow)

    def _give_up(self, request: _Request) -> None:
        """End a request that wasn't answered."""
        if not request.has_ended:
            request.has_ended = True
            request.times_s.append(GIVES_UP_S)

    def _fill_window(self, request: _Request, flow: bytes) -> None:
        """Send the packets for which the caller's window has room."""
        while (
            request.next_index < len(request.sizes)
            and request.next_index - len(request.acknowledged) < request.window
        ):
            index = request.next_index
            request.next_index += 1
            body = flow + index.to_bytes(4, "big")
            data = bytes(request.sizes[index])
            packet = shaping.Packet(flow, body, data, _TARGET)
            self._by_packet[body] = request, index
            self._transmit(packet, FIRST_TIMEOUT_S)

    def _transmit(self, packet: shaping.Packet, timeout_s: float) -> None:
        """Let a caller's packet arrive at the host; repeat it if needed."""
        request, index = self._by_packet[packet.body]
        if request.has_ended or index in request.acknowledged:
            return
        longer_s = min(2 * timeout_s, LONGEST_TIMEOUT_S)
        self._at(
            self._now + timeout_s, lambda: self._transmit(packet, longer_s)
        )
        if self._shaper is None:
            self._offer(packet)
        else:
            changed = self._policy.change(packet)
            self._carry_out(self._shaper.put(changed, self._now))

    def _carry_out(self, step: shaping.Step) -> None:
        """Send what the shaper decided and set the timer."""
        for packet in step.packets:
            self._offer(packet)
        if step.next_at is None or (
            self._timer_at is not None and self._timer_at <= step.next_at
        ):
            return
        self._timer_at = step.next_at
        late_s = self._chance.uniform(0, TIMER_LATE_S)
        at = step.next_at
        self._at(at + late_s, lambda: self._on_timer(at))

    def _on_timer(self, due_at: float) -> None:
        """Let the shaper send what is due, unless the timer was replaced."""
        if self._shaper is not None and self._timer_at == due_at:
            self._timer_at = None
            self._carry_out(self._shaper.advance(self._now))

    def _offer(self, packet: shaping.Packet) -> None:
        """Put a packet into the link's own queue."""
        self.outcome.sent += 1
        arrives_at = self._pass_link(packet.size)
        if arrives_at is None:
            self.outcome.lost += 1
            return
        self._at(arrives_at, lambda: self._receive(packet))

    def _pass_link(self, size: int) -> float | None:
        """Return when bytes have passed the link; None if they are lost."""
        start = max(self._now, self._link_free_at)
        excess_s = start - self._now - self._queue.accepts_s
        range_s = self._queue.full_s - self._queue.accepts_s
        if excess_s > range_s * self._chance.random():
            return None
        self._link_free_at = start + size / LINK_BYTES_PER_S
        return self._link_free_at

    def _send_poll(self) -> None:
        """Send a message of the host itself."""
        if self._shaper is not None:
            self._shaper.charge(POLL_BYTES, self._now)
        self._pass_link(POLL_BYTES + shaping.HEADER_BYTES)

    def _receive(self, packet: shaping.Packet) -> None:
        """Let an upstream receive a packet and acknowledge it."""
        request, index = self._by_packet[packet.body]
        request.received.add(index)
        self._at(
            self._now + ROUND_TRIP_S, lambda: self._acknowledge(packet.body)
        )

    def _acknowledge(self, body: bytes) -> None:
        """Let a caller receive an acknowledgement."""
        request, index = self._by_packet[body]
        if request.has_ended or index in request.acknowledged:
            return
        request.acknowledged.add(index)
        if len(request.acknowledged) < len(request.sizes):
            self._fill_window(request, body[:4])
            return
        request.has_ended = True
        request.times_s.append(self._now + WORK_S - request.started_at)
