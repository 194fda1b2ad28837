"""What one host has told another of its exceptions, and what it holds."""

from collections import abc
import dataclasses
import typing

from foxtailworks import ids
from foxtailworks.placement import _digest
from foxtailworks.placement import _messages

RESEND_S = 1.0
"""An unacknowledged message is sent again after so long, then twice it."""
MAX_RESEND_S = 16.0
"""Longest time between two tries."""
MAX_UNACKED = 16
"""Messages on the way to one host."""
STALE_PART = 0.25
"""A new generation starts when more of the old one has ended."""
STALE_MIN = 64
"""Ended exceptions that may stay in any case."""

Marks = dict[int, ids.UpstreamId]


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """What a whole generation refers to."""

    hosts: int
    """Hash of the view of hosts."""
    upstreams: int
    """Hash of the set of upstreams."""


@dataclasses.dataclass(slots=True)
class _Sent:
    """A message that isn't acknowledged yet."""

    message: _messages.Digest | _messages.Synced
    due: float
    wait: float


class Outgoing:
    """Brings one host to know the exceptions meant for it.

    :param epoch: incarnation of this host
    :param numbers: grows over all hosts, so that no number comes twice
    """

    def __init__(self, epoch: int, numbers: abc.Iterator[int]) -> None:
        self._epoch = epoch
        self._numbers = numbers
        self.to_epoch = 0
        """Incarnation of the other host, 0 until it told."""
        self._generation = next(numbers)
        self._told: Marks = {}
        self._pending: dict[ids.UpstreamId, set[int]] = {}
        self._unacked: dict[int, _Sent] = {}
        self._goal: Goal | None = None
        self._reached: Goal | None = None

    @property
    def reached(self) -> Goal | None:
        """The last goal that the other host acknowledged."""
        return self._reached

    @property
    def goal(self) -> Goal | None:
        """What the present generation refers to."""
        return self._goal

    @property
    def is_done(self) -> bool:
        """Whether all that is known was acknowledged."""
        return (
            not self._pending
            and not self._unacked
            and self._goal is not None
            and self._goal == self._reached
        )

    @property
    def told(self) -> int:
        """How many exceptions the other host is told of."""
        return len(self._told)

    def tells_of(self, mark: int) -> bool:
        """Return whether the other host is told of a flow."""
        return mark in self._told

    def restart(self) -> None:
        """Forget what was told: the other host has started empty."""
        self._generation = next(self._numbers)
        self._told = {}
        self._pending = {}
        self._unacked = {}
        self._goal = None
        self._reached = None

    def add(self, mark: int, upstream: ids.UpstreamId) -> None:
        """Tell of one more exception."""
        before = self._told.get(mark)
        if before == upstream:
            return
        if before in self._pending:
            self._pending[before].discard(mark)
            if not self._pending[before]:
                del self._pending[before]
        self._told[mark] = upstream
        self._pending.setdefault(upstream, set()).add(mark)

    def set_all(self, wanted: Marks, goal: Goal) -> None:
        """Tell of ``wanted``, which is whole under ``goal``."""
        ended = sum(1 for mark in self._told if mark not in wanted)
        if ended > STALE_MIN + STALE_PART * len(wanted):
            self.restart()
        for mark, upstream in wanted.items():
            self.add(mark, upstream)
        self._goal = goal

    def acknowledge(self, seqs: abc.Iterable[int]) -> None:
        """Note what arrived."""
        for seq in seqs:
            sent = self._unacked.pop(seq, None)
            if sent and isinstance(sent.message, _messages.Synced):
                self._reached = Goal(
                    sent.message.hosts, sent.message.upstreams
                )

    def messages(
        self,
        now: float,
        notices: tuple[typing.Any, typing.Any],
        may_finish: bool,
    ) -> abc.Iterator[_messages.Message]:
        """Yield what to send now, the most urgent first.

        :param notices: deaths and joins for a host that starts
        :param may_finish: whether a generation may be declared whole
        """
        for sent in list(self._unacked.values()):
            if sent.due <= now:
                sent.wait = min(2 * sent.wait, MAX_RESEND_S)
                sent.due = now + sent.wait
                yield sent.message
        while self._pending and len(self._unacked) < MAX_UNACKED:
            yield self._track(self._next_digest(), now)
        if not may_finish or self._pending or self._unacked:
            return
        if self._goal is None or self._goal == self._reached:
            return
        yield self._track(self._synced(self._goal, notices), now)

    def _next_digest(self) -> _messages.Digest:
        """Return pending exceptions of one upstream."""
        upstream, marks = next(iter(self._pending.items()))
        flows = next(_digest.pack(marks, _messages.MAX_MARKS_BYTES))
        marks.difference_update(_digest.unpack(flows))
        if not marks:
            del self._pending[upstream]
        return _messages.Digest(
            self._epoch,
            self.to_epoch,
            self._generation,
            next(self._numbers),
            upstream,
            flows,
        )

    def _synced(
        self, goal: Goal, notices: tuple[typing.Any, typing.Any]
    ) -> _messages.Synced:
        """Return the message that declares the generation whole."""
        return _messages.Synced(
            self._epoch,
            self.to_epoch,
            self._generation,
            next(self._numbers),
            goal.hosts,
            goal.upstreams,
            *notices,
        )

    def _track(
        self, message: _messages.Digest | _messages.Synced, now: float
    ) -> _messages.Message:
        """Expect an acknowledgement of ``message``."""
        self._unacked[message.seq] = _Sent(message, now + RESEND_S, RESEND_S)
        return message


@dataclasses.dataclass(slots=True, eq=False)
class _Generation:
    """Shared by all exceptions that came in one generation."""

    origin: ids.HostId
    epoch: int
    valid: bool = True


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Held:
    """Where a flow stands, by one host; shared by all of one message."""

    upstream: ids.UpstreamId
    generation: _Generation
    seq: int
    older: "_Held | None" = None

    def first_valid(self) -> "_Held | None":
        """Return the latest that hasn't ended."""
        item: _Held | None = self
        while item is not None and not item.generation.valid:
            item = item.older
        return item

    def after(self, older: "_Held | None") -> "_Held":
        """Return this one, with the one of another host behind it.

        Of one host's the later sent counts, not the later received.  No
        more than two are kept: the heir's and the last owner's.
        """
        if older is None:
            return self
        if older.generation.origin == self.generation.origin:
            return self if self.seq > older.seq else older
        older = dataclasses.replace(older, older=None)
        return dataclasses.replace(self, older=older)


@dataclasses.dataclass(slots=True)
class _Origin:
    """What came from one host."""

    epoch: int
    generations: dict[tuple[int, int], _Generation]
    whole: tuple[int, int] = (0, 0)
    synced_seq: int = 0
    goal: Goal | None = None
    gone_at: float | None = None


class Incoming:
    """Exceptions that other hosts told this host of.

    :param cap: most exceptions kept; more are dropped and counted
    """

    def __init__(self, cap: int) -> None:
        self._cap = cap
        self._held: dict[int, _Held] = {}
        self._origins: dict[ids.HostId, _Origin] = {}
        self.dropped = 0
        """Exceptions that found no room."""

    def __len__(self) -> int:
        """Return how many exceptions are kept, ended ones included."""
        return len(self._held)

    def lookup(self, mark: int) -> ids.UpstreamId | None:
        """Return where the flow with this fingerprint stands."""
        found = self._held.get(mark)
        item = found.first_valid() if found is not None else None
        return item.upstream if item is not None else None

    def goal_of(self, origin: ids.HostId) -> Goal | None:
        """Return what the last whole generation of a host refers to."""
        known = self._origins.get(origin)
        return known.goal if known else None

    def forget_goals(self) -> None:
        """Take no host for synced any more."""
        for known in self._origins.values():
            known.goal = None

    def take_digest(self, origin: ids.HostId, msg: _messages.Digest) -> bool:
        """Keep the exceptions in ``msg``.

        :returns: whether to acknowledge it
        """
        known = self._origin(origin, msg.epoch)
        if known is None:
            return False
        key = (msg.epoch, msg.generation)
        if key < known.whole:
            return True
        if key not in known.generations:
            known.generations[key] = _Generation(origin, msg.epoch)
        item = _Held(msg.upstream, known.generations[key], msg.seq)
        for mark in _digest.unpack(msg.flows):
            if len(self._held) >= self._cap and mark not in self._held:
                self.dropped += 1
                continue
            older = self._held.get(mark)
            if older is not None:
                older = older.first_valid()
            self._held[mark] = item.after(older)
        return True

    def take_synced(self, origin: ids.HostId, msg: _messages.Synced) -> bool:
        """End the generations before the one that is whole.

        :returns: whether to acknowledge it
        """
        known = self._origin(origin, msg.epoch)
        if known is None:
            return False
        whole = (msg.epoch, msg.generation)
        if whole < known.whole or msg.seq < known.synced_seq:
            return True
        known.whole = whole
        known.synced_seq = msg.seq
        for key in [k for k in known.generations if k < whole]:
            known.generations.pop(key).valid = False
        known.goal = Goal(msg.hosts, msg.upstreams)
        return True

    def _origin(self, origin: ids.HostId, epoch: int) -> _Origin | None:
        """Return the state of a host, or None for a late message."""
        known = self._origins.get(origin)
        if known is None:
            known = _Origin(epoch, {})
            self._origins[origin] = known
        if epoch < known.epoch:
            return None
        if epoch > known.epoch:
            known.epoch = epoch
            known.goal = None
            known.synced_seq = 0
        return known

    def items(
        self,
    ) -> abc.Iterator[tuple[int, ids.UpstreamId, ids.HostId, int]]:
        """Yield fingerprint, upstream, origin and its epoch of each."""
        for mark, held in list(self._held.items()):
            item = held.first_valid()
            if item is not None:
                from_ = item.generation
                yield mark, item.upstream, from_.origin, from_.epoch

    def sweep(
        self, present: abc.Container[ids.HostId], keep_s: float, now: float
    ) -> None:
        """Drop what ended, and what came from hosts dead for long."""
        for host, known in list(self._origins.items()):
            if host in present:
                known.gone_at = None
                continue
            if known.gone_at is None:
                known.gone_at = now
            if now - known.gone_at > keep_s:
                del self._origins[host]
                for generation in known.generations.values():
                    generation.valid = False
        ended = [m for m, i in self._held.items() if not i.first_valid()]
        for mark in ended:
            del self._held[mark]
