"""Requests that waited while a host couldn't serve, and their order.

Answers the load after an outage: callers have sent for seconds, and what
waits at all hosts together fills the upstreams' queues for longer than any
target.  Placed at once, it delays the requests that still could be in time.
So a host passes on what waited in an order, and only as much as its share of
the upstreams' slots; new requests don't wait.
"""

from collections import abc
import dataclasses
import typing

from foxtailworks import ids
from foxtailworks.steering import _held_packets
from foxtailworks.steering import _pending
from foxtailworks.steering import _routes

_MS_PER_S = 1000

Item: typing.TypeAlias = "_pending.Syn | _held_packets.Packet"


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A packet that waits to be passed on."""

    item: Item
    """SYN, or packet of an open flow."""
    sent_at: float
    """Time when the caller sent it first, as far as it shows, monotonic
    seconds."""
    expires_at: float
    """Time at which the caller repeats it or has timed out."""

    @classmethod
    def of(cls, held: _pending.HeldSyn) -> "Waiting":
        """Return a SYN that waits, with the times that its caller follows."""
        return cls(held.syn, held.sent_at, held.expires_at)


class Backlog:
    """What waited; a repetition of a packet replaces the earlier one."""

    def __init__(self) -> None:
        self._waiting: dict[bytes, Waiting] = {}

    def __len__(self) -> int:
        """Return the number of packets that wait."""
        return len(self._waiting)

    def __contains__(self, flow: object) -> bool:
        """Return whether a SYN of a flow waits."""
        return flow in self._waiting

    def put(self, waiting: Waiting) -> None:
        """Add a packet, with the time of the one that it repeats."""
        key = _key(waiting.item)
        old = self._waiting.pop(key, None)
        if old is not None and old.sent_at < waiting.sent_at:
            waiting = dataclasses.replace(waiting, sent_at=old.sent_at)
        self._waiting[key] = waiting

    def take(
        self,
        route_of: abc.Callable[[ids.Address], _routes.Route | None],
        take_room: abc.Callable[[Waiting], bool],
        now: float,
    ) -> abc.Iterator[Waiting]:
        """Remove and yield the packets to pass on now, the best first.

        :param route_of: returns the route of a destination
        :param take_room: takes room for a packet; false if there is none
        """
        routed = (
            (waiting, route_of(waiting.item.destination))
            for waiting in self._waiting.values()
        )
        alive = (
            pair for pair in routed if not _has_expired(pair[0], pair[1], now)
        )
        ordered = sorted(alive, key=lambda pair: _rank(pair[0], pair[1], now))
        self._waiting = {}
        for waiting, _ in ordered:
            if take_room(waiting):
                yield waiting
            else:
                self._waiting[_key(waiting.item)] = waiting


def _key(item: Item) -> bytes:
    """Return what a packet and its repetitions have in common.

    Copies of a SYN differ; packets of an open flow are repeated as they are.
    """
    if isinstance(item, _pending.Syn):
        return item.flow
    return item.flow + item.packet


def _has_expired(
    waiting: Waiting, route: _routes.Route | None, now: float
) -> bool:
    """Return whether the caller repeats the packet or has timed out.

    A caller that repeats a SYN shows by it that it still waits.
    """
    if now >= waiting.expires_at:
        return True
    if route is None or isinstance(waiting.item, _pending.Syn):
        return False
    return now - waiting.sent_at > route.timeout_ms / _MS_PER_S


def _rank(
    waiting: Waiting, route: _routes.Route | None, now: float
) -> tuple[bool, int, float]:
    """Return the order of a packet; the lowest goes first.

    Requests that can still be in time go before those that are late anyway;
    among equals the more urgent kind, then the one that has waited longest.
    """
    if route is None:
        return False, 0, waiting.sent_at
    is_late = now - waiting.sent_at > route.target_ms / _MS_PER_S
    return is_late, route.priority, waiting.sent_at
