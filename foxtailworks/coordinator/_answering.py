"""Answers the polls of edge hosts as far as there is time for it."""

from collections import abc

from foxtailworks.coordinator import _edge_hosts
from foxtailworks.coordinator import _waiting_polls
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import polling
from foxtailworks import revisions

LOG_INTERVAL_S = 1.0
"""Shortest interval between two log lines on polls that wait."""

_EVENTS = logs.Events("coordinator")

Committed = abc.Callable[[], tuple[revisions.State, bool]]
"""Function that returns the newest state known to be committed, and whether
this coordinator knows a leader."""


class Answering:
    """Answers a poll at once, or lets it wait for its turn.

    :param committed: returns what answers tell of the agreement
    :param send: sends the datagrams of an answer
    :param clock: returns monotonic seconds
    """

    def __init__(
        self,
        edge_hosts: _edge_hosts.EdgeHosts,
        committed: Committed,
        send: abc.Callable[[tuple[bytes, ...], ids.Address], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._edge_hosts = edge_hosts
        self._committed = committed
        self._send = send
        self._clock = clock
        self._polls = _waiting_polls.WaitingPolls()
        self._next_log_at = float("-inf")

    def on_poll(self, msg: polling.Poll, src: ids.Address) -> None:
        """Answer a poll unless earlier ones wait."""
        is_next = not self._polls
        self._polls.put(msg, src, self._clock())
        if is_next:
            self._polls.answer(self._answer, self._clock())

    def answer(
        self, msg: polling.Poll, src: ids.Address
    ) -> polling.PollAnswer:
        """Return the answer to a poll, whatever time it takes."""
        return self._edge_hosts.answer(
            msg, src, *self._committed(), self._clock()
        )

    def on_tick(self, now: float) -> None:
        """Answer the polls that wait, and log that some do."""
        self._polls.answer(self._answer, now)
        if now < self._next_log_at:
            return
        delays = self._polls.take_delays(now)
        if delays is not None:
            self._next_log_at = now + LOG_INTERVAL_S
            _EVENTS.warning(
                "polls_delayed",
                waiting=delays.waiting,
                dropped=delays.dropped,
                seconds=delays.longest_s,
            )

    def _answer(self, msg: polling.Poll, src: ids.Address) -> bool:
        """Answer a poll; return false if there is no time for it now."""
        now = self._clock()
        if not self._edge_hosts.has_time_for(msg, now):
            return False
        state, is_current = self._committed()
        datagrams = self._edge_hosts.encoded_answer(
            msg, src, state, is_current, now
        )
        if datagrams is None:
            return False
        self._send(datagrams, src)
        return True
