"""What this host has told another one of its flows."""

import collections
from collections import abc
import dataclasses

from foxtailworks.placement import _digest
from foxtailworks.placement import _messages
from foxtailworks.placement import _standing

RESEND_S = 1.0
"""An unacknowledged message is sent again after so long, then twice it."""
MAX_RESEND_S = 16.0
"""Longest time between two tries."""
MAX_UNACKED = 16
"""Messages on the way to one host."""
STALE_PART = 1.0
"""A new generation starts when more flows have ended than are open."""
STALE_MIN = 64
"""Ended flows that may stay in any case."""
FULL_BATCH = 128
"""Flows that stand by the table are told when there are so many."""
BATCH_WAIT_S = 20.0
"""Fewer of them are told after so long."""

Notices = tuple[
    tuple[_messages.DeadHost, ...], tuple[_messages.JoinedHost, ...]
]


@dataclasses.dataclass(slots=True)
class _Sent:
    """A message that isn't acknowledged yet."""

    message: _messages.Digest | _messages.Synced
    due: float
    wait: float


class Outgoing:
    """Brings one host to know the flows that it may have to take over.

    Flows off the table are told at once; the others in batches, so that
    the other host can tell an old flow from a new one.

    :param epoch: incarnation of this host
    :param numbers: grows over all hosts, so that no number comes twice
    """

    def __init__(self, epoch: int, numbers: abc.Iterator[int]) -> None:
        self._epoch = epoch
        self._numbers = numbers
        self.to_epoch = 0
        """Incarnation of the other host, 0 until it told."""
        self.goal: _standing.Goal | None = None
        """What the present generation refers to."""
        self.reached: _standing.Goal | None = None
        """The last goal that the other host acknowledged."""
        self._begin()

    def _begin(self) -> None:
        """Begin a generation: the other host knows nothing of it."""
        self._generation = next(self._numbers)
        self._told: _standing.Marks = {}
        self._pending: dict[_standing.Standing, set[int]] = {}
        self._ready: collections.deque[tuple[_standing.Standing, bytes]] = (
            collections.deque()
        )
        self._unacked: dict[int, _Sent] = {}
        self._batch_due: float | None = None
        self._is_whole = False
        self._is_refused = False

    def restart(self) -> None:
        """Forget what was told: the other host has started empty."""
        self._begin()
        self.goal = None
        self.reached = None

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send nor to wait for."""
        return not (self._pending or self._ready or self._unacked)

    @property
    def is_done(self) -> bool:
        """Whether all that is known was acknowledged."""
        return (
            self.is_empty
            and self._is_whole
            and self.goal is not None
            and self.goal == self.reached
        )

    @property
    def told(self) -> int:
        """How many flows the other host is told of."""
        return len(self._told)

    def standing_of(self, mark: int) -> _standing.Standing | None:
        """Return what the other host is told of a flow."""
        return self._told.get(mark)

    def add(self, mark: int, standing: _standing.Standing) -> None:
        """Tell of one more flow."""
        before = self._told.get(mark)
        if before == standing:
            return
        if before in self._pending:
            self._pending[before].discard(mark)
        self._told[mark] = standing
        self._pending.setdefault(standing, set()).add(mark)
        self._is_whole = False

    def set_all(self, wanted: _standing.Marks, goal: _standing.Goal) -> None:
        """Tell of ``wanted``, which is all under ``goal``."""
        ended = sum(1 for mark in self._told if mark not in wanted)
        if ended > STALE_MIN + STALE_PART * len(wanted):
            self._begin()
        self._is_refused = False
        for mark, standing in wanted.items():
            self.add(mark, standing)
        self.goal = goal

    def acknowledge(self, seqs: abc.Iterable[int]) -> None:
        """Note what arrived."""
        for seq in seqs:
            sent = self._unacked.pop(seq, None)
            if sent and isinstance(sent.message, _messages.Synced):
                msg = sent.message
                self.reached = _standing.Goal(msg.hosts, msg.upstreams)
                self._is_whole = msg.is_whole and self._is_all_told()

    def refuse(self, seqs: abc.Iterable[int]) -> None:
        """Take back what the other host can't make sense of."""
        for seq in seqs:
            sent = self._unacked.pop(seq, None)
            if sent is None or not isinstance(sent.message, _messages.Digest):
                continue
            self._is_refused = True
            self._is_whole = False
            for mark in _digest.unpack(sent.message.flows):
                told = self._told.get(mark)
                if told is not None and not told.upstream:
                    del self._told[mark]

    def messages(
        self, now: float, notices: Notices, may_finish: bool, hurry: bool
    ) -> abc.Iterator[_messages.Message]:
        """Yield what to send now, the most urgent first.

        :param notices: deaths and joins for a host that starts
        :param may_finish: whether a generation may be declared whole
        :param hurry: whether not to wait for batches to fill
        """
        for sent in list(self._unacked.values()):
            if sent.due <= now:
                sent.wait = min(2 * sent.wait, MAX_RESEND_S)
                sent.due = now + sent.wait
                yield sent.message
        while len(self._unacked) < MAX_UNACKED:
            if not self._ready and not self._make_ready(now, hurry):
                break
            yield self._track(self._next_digest(), now)
        if may_finish and self.goal is not None and self._may_sync():
            yield self._track(self._synced(self.goal, notices), now)

    def _make_ready(self, now: float, hurry: bool) -> bool:
        """Pack what is to be sent now.

        :returns: whether there is anything
        """
        for standing in list(self._pending):
            if not self._pending[standing]:
                del self._pending[standing]
            elif standing.upstream:
                self._pack(standing)
                return True
        if not self._pending:
            self._batch_due = None
            return False
        if self._batch_due is None:
            self._batch_due = now + BATCH_WAIT_S
        standing, marks = next(iter(self._pending.items()))
        if len(marks) < FULL_BATCH and now < self._batch_due and not hurry:
            return False
        self._pack(standing)
        return True

    def _pack(self, standing: _standing.Standing) -> None:
        """Pack all pending flows that stand at one place."""
        marks = self._pending.pop(standing)
        for flows in _digest.pack(marks, _messages.MAX_MARKS_BYTES):
            self._ready.append((standing, flows))

    def _next_digest(self) -> _messages.Digest:
        """Return the next packed digest."""
        standing, flows = self._ready.popleft()
        return _messages.Digest(
            self._epoch,
            self.to_epoch,
            self._generation,
            next(self._numbers),
            standing.upstream,
            standing.view,
            standing.is_indirect,
            flows,
        )

    def _may_sync(self) -> bool:
        """Return whether to declare what was told so far.

        Flows off the table must have arrived.  The others may lag behind;
        when they have arrived too, it is declared once more.
        """
        if self._ready or self._unacked:
            return False
        if any(standing.upstream for standing in self._pending):
            return False
        if self.goal != self.reached:
            return True
        return self._is_all_told() and not self._is_whole

    def _is_all_told(self) -> bool:
        """Return whether nothing waits or was refused."""
        return not self._pending and not self._is_refused

    def _synced(
        self, goal: _standing.Goal, notices: Notices
    ) -> _messages.Synced:
        """Return the message that declares what was told."""
        return _messages.Synced(
            self._epoch,
            self.to_epoch,
            self._generation,
            next(self._numbers),
            goal.hosts,
            goal.upstreams,
            self._is_all_told(),
            *notices,
        )

    def _track(
        self, message: _messages.Digest | _messages.Synced, now: float
    ) -> _messages.Message:
        """Expect an acknowledgement of ``message``."""
        self._unacked[message.seq] = _Sent(message, now + RESEND_S, RESEND_S)
        return message
