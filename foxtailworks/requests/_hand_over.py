"""Hand-over of a member's records to other members before a restart."""

import dataclasses
import typing

from foxtailworks import ids
from foxtailworks.requests import _fences
from foxtailworks.requests import _messages

RESEND_INTERVAL_S = 0.5
TIMEOUT_S = 3.0


@dataclasses.dataclass(slots=True)
class _ReceivedHandOver:
    """The records received from one host that leaves or has left."""

    keys: set[tuple[ids.RequestKey, bool]] = dataclasses.field(
        default_factory=set
    )
    """Stored keys; true for those with fenced attempts only."""
    complete_incarnation: int = 0
    """Incarnation whose records are all stored here; 0 for none."""
    next_incarnation: int = 0
    """The one incarnation that may rely on them; 0 for none yet."""


class ReceivedHandOvers:
    """Hand-overs received from other members.

    Only the first incarnation that queries it may rely on a hand-over: what
    that one grants is not part of it.
    """

    def __init__(self) -> None:
        self._hosts: dict[ids.HostId, _ReceivedHandOver] = {}

    def add_key(
        self, host: ids.HostId, key: ids.RequestKey, is_fence: bool
    ) -> None:
        """Register a stored record or fence of a leaving host."""
        received = self._hosts.setdefault(host, _ReceivedHandOver())
        received.keys.add((key, is_fence))

    def on_complete(
        self, host: ids.HostId, message: _messages.HandOverComplete
    ) -> _messages.HandOverAck | None:
        """Return an acknowledgement once all of its records are stored."""
        received = self._hosts.setdefault(host, _ReceivedHandOver())
        if message.incarnation > received.complete_incarnation:
            if len(received.keys) < message.count:
                return None
            received.complete_incarnation = message.incarnation
            received.next_incarnation = 0
            received.keys.clear()
        return _messages.HandOverAck(message.incarnation)

    def has_hand_over(self, host: ids.HostId, incarnation: int) -> bool:
        """Return whether ``incarnation`` may rely on a complete hand-over."""
        received = self._hosts.get(host)
        if received is None or incarnation <= received.complete_incarnation:
            return False
        if received.complete_incarnation and not received.next_incarnation:
            received.next_incarnation = incarnation
        return received.next_incarnation == incarnation


class HandOverSender:
    """Sends a member's records and resends the unacknowledged ones.

    :param now: start of the hand-over, in monotonic seconds
    :param incarnation: incarnation of the leaving process
    :param parts: the records that each host must store
    """

    def __init__(
        self,
        now: float,
        incarnation: ids.Incarnation,
        parts: dict[ids.HostId, list[_messages.HandOver]],
    ) -> None:
        self._deadline_at = now + TIMEOUT_S
        self._incarnation = incarnation
        self._unacknowledged = parts
        self._send_at = now

    def is_done(self, now: float) -> bool:
        """Return whether every host has acknowledged or time is up."""
        return not self._unacknowledged or now >= self._deadline_at

    def on_ack(self, host: ids.HostId, ack: _messages.HandOverAck) -> None:
        """Record that ``host`` has stored its part."""
        if ack.incarnation == self._incarnation:
            self._unacknowledged.pop(host, None)

    def messages_due(
        self, now: float
    ) -> typing.Iterator[tuple[ids.HostId, _messages.Message]]:
        """Yield the messages that are due, with their receivers."""
        if now < self._send_at or self.is_done(now):
            return
        self._send_at = now + RESEND_INTERVAL_S
        for host, part in self._unacknowledged.items():
            for message in part:
                yield host, message
            yield (
                host,
                _messages.HandOverComplete(self._incarnation, len(part)),
            )


def fenced_by_key(
    fences: _fences.Fences,
) -> dict[ids.RequestKey, tuple[_messages.AttemptId, ...]]:
    """Return the fenced attempts of each key, oldest first."""
    found: dict[ids.RequestKey, tuple[_messages.AttemptId, ...]] = {}
    for attempt, key in fences.items():
        found[key] = (*found.get(key, ()), attempt)
    return found
