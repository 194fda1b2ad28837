"""Polls of edge hosts that wait until there is time to answer them.

Answers overload of a coordinator: polls must not delay messages of the
agreement, and one host's repeated polls must not delay those of others.
"""

from collections import abc
import dataclasses
import typing

from foxtailworks import ids
from foxtailworks import polling

MAX_WAITING = 4096
"""Maximum number of hosts whose polls wait; polls of others are dropped and
repeated by their senders."""
VALID_S = 1.0
"""Time after which a poll is dropped: its sender has repeated it or no longer
needs this coordinator."""

Answer: typing.TypeAlias = abc.Callable[[polling.Poll, ids.Address], bool]
"""Function that answers a poll; false if there is no time for it now."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """The latest poll of a host."""

    msg: polling.Poll
    """The poll."""
    since: float
    """Time of the first of its polls that wasn't answered, monotonic
    seconds."""
    received_at: float
    """Time of this poll."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delays:
    """What happened to polls that weren't answered at once."""

    waiting: int
    """Number of polls that wait."""
    dropped: int
    """Polls dropped since the last report."""
    longest_s: float
    """Longest time that one has waited until now."""


class WaitingPolls:
    """One poll for each host, answered in the order in which hosts began.

    A newer poll of a host replaces the earlier one and keeps its turn.
    """

    def __init__(self) -> None:
        self._waiting: dict[ids.Address, _Waiting] = {}
        self._dropped = 0

    def __len__(self) -> int:
        """Return the number of polls that wait."""
        return len(self._waiting)

    def put(self, msg: polling.Poll, src: ids.Address, now: float) -> None:
        """Add a poll."""
        old = self._waiting.get(src)
        if old is None and len(self._waiting) >= MAX_WAITING:
            self._dropped += 1
            return
        since = now if old is None else old.since
        self._waiting[src] = _Waiting(msg, since, now)

    def answer(self, answer: Answer, now: float) -> None:
        """Answer the polls that there is time for.

        Those that need an encoding don't delay the ones behind them that
        need none.
        """
        for src, item in list(self._waiting.items()):
            if now - item.received_at > VALID_S:
                self._dropped += 1
            elif not answer(item.msg, src):
                continue
            del self._waiting[src]

    def take_delays(self, now: float) -> Delays | None:
        """Return what to report since the last call; None for nothing."""
        if not self._waiting and not self._dropped:
            return None
        dropped, self._dropped = self._dropped, 0
        longest_s = max(
            (now - item.since for item in self._waiting.values()), default=0.0
        )
        return Delays(len(self._waiting), dropped, longest_s)
