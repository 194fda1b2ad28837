"""Which members have handed their whole memory over before a restart."""

import dataclasses
import typing

from foxtailworks import ids
from foxtailworks.requests import _fences
from foxtailworks.requests import _messages

RESEND_S = 0.5
PATIENCE_S = 3.0


@dataclasses.dataclass(slots=True)
class _Departure:
    """A host that is leaving or has left."""

    kept: set[tuple[ids.RequestKey, bool]] = dataclasses.field(
        default_factory=set
    )
    """Keys of the records and marks that were kept for it."""
    left: int = 0
    """Incarnation whose whole memory is kept here; 0 for none."""
    heir: int = 0
    """The one incarnation that may count on it."""


class Departures:
    """The receiving side of hand-overs.

    Only the first incarnation that asks after a hand-over may count on it:
    what that one grants is not part of it.
    """

    def __init__(self) -> None:
        self._hosts: dict[ids.HostId, _Departure] = {}

    def keep(
        self, host: ids.HostId, key: ids.RequestKey, is_mark: bool
    ) -> None:
        """Note that a record or mark of a leaving host is kept."""
        departure = self._hosts.setdefault(host, _Departure())
        departure.kept.add((key, is_mark))

    def leave(
        self, host: ids.HostId, message: _messages.Left
    ) -> _messages.LeftAck | None:
        """Return an acknowledgement once all of its records are kept."""
        departure = self._hosts.setdefault(host, _Departure())
        if message.incarnation > departure.left:
            if len(departure.kept) < message.count:
                return None
            departure.left = message.incarnation
            departure.heir = 0
            departure.kept.clear()
        return _messages.LeftAck(message.incarnation)

    def is_heir(self, host: ids.HostId, incarnation: int) -> bool:
        """Return whether ``incarnation`` may count on a hand-over."""
        departure = self._hosts.get(host)
        if departure is None or incarnation <= departure.left:
            return False
        if departure.left and not departure.heir:
            departure.heir = incarnation
        return departure.heir == incarnation


class HandOver:
    """The sending side: repeats what hosts haven't acknowledged.

    :param now: when the hand-over began
    :param incarnation: of the leaving process
    :param parts: what each host must keep
    """

    def __init__(
        self,
        now: float,
        incarnation: ids.Incarnation,
        parts: dict[ids.HostId, list[_messages.HandOver]],
    ) -> None:
        self._until = now + PATIENCE_S
        self._incarnation = incarnation
        self._parts = parts
        self._send_at = now

    def is_done(self, now: float) -> bool:
        """Return whether all have it, or it is waited for no longer."""
        return not self._parts or now >= self._until

    def acked(self, host: ids.HostId, ack: _messages.LeftAck) -> None:
        """Take in that ``host`` keeps its part."""
        if ack.incarnation == self._incarnation:
            self._parts.pop(host, None)

    def due(
        self, now: float
    ) -> typing.Iterator[tuple[ids.HostId, _messages.Message]]:
        """Return what must be sent, or sent again."""
        if now < self._send_at or self.is_done(now):
            return
        self._send_at = now + RESEND_S
        for host, part in self._parts.items():
            for message in part:
                yield host, message
            yield host, _messages.Left(self._incarnation, len(part))


def marks_by_key(
    fences: _fences.Fences,
) -> dict[ids.RequestKey, tuple[_messages.AttemptId, ...]]:
    """Return the last marked attempts of each key."""
    found: dict[ids.RequestKey, tuple[_messages.AttemptId, ...]] = {}
    for attempt, key in fences.items():
        found[key] = (*found.get(key, ()), attempt)
    return found
