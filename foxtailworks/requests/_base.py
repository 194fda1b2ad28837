"""State, timers and outgoing actions of a coordinator."""

import heapq
import itertools
import random
import typing

import xxhash

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _entry
from foxtailworks.requests import _freezes
from foxtailworks.requests import _groups
from foxtailworks.requests import _messages
from foxtailworks.requests import _store

# Longer than an attempt can take to reach its placement at any host: the
# time in the queue, a late poll and the claim together.
REFUSED_KEY_S = 2.5
RETRY_JITTER_S = 2.0

Chooser = typing.Callable[
    [ids.ServiceId, typing.Collection[ids.UpstreamId]], ids.UpstreamId | None
]


class CoordinatorBase:
    """Entries of a coordinator, its outgoing actions and its timers.

    :param host: this host
    :param incarnation: incarnation of this process
    :param groups: groups of hosts that decide on keys
    :param store: this host's claims and outcomes as a group member
    :param choose: returns an upstream of a service outside the excluded ones,
        or none if there is none
    :param rng: source of the jitter of retries
    """

    def __init__(
        self,
        host: ids.HostId,
        incarnation: ids.Incarnation,
        groups: _groups.KeyGroups,
        store: _store.ClaimStore,
        choose: Chooser,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._groups = groups
        self._store = store
        self._choose = choose
        self._rng = rng
        self._entries: dict[ids.RequestKey, _entry.Entry] = {}
        self._live_hosts: frozenset[ids.HostId] = frozenset(
            item for item, _ in groups.roster.hosts
        )
        self._wakes: list[tuple[float, int, ids.RequestKey]] = []
        self._serial = itertools.count(1)
        self._kept_bytes = 0
        self._completed_runs: list[_actions.CompletedRun] = []
        self._is_leaving = False
        self._freeze_detector = _freezes.FreezeDetector()
        self._inbox: list[_messages.Message] = []
        self._out: list[_actions.Action] = []

    def _report_outcome(self, entry: _entry.Entry) -> None:
        """Answer waiting attempts, or forward them to the recording host."""
        outcome = entry.outcome
        if outcome is None:
            return
        answer = (
            outcome.answer if entry.kept_answer is None else entry.kept_answer
        )
        recorder = outcome.kept_by
        for attempt, waiter in entry.waiters.items():
            if answer is not None:
                action: _actions.Action = _actions.Answer(
                    attempt, waiter.handle, answer
                )
            elif recorder != self._host and recorder in self._live_hosts:
                action = _actions.Forward(attempt, waiter.handle, recorder)
            else:
                action = _actions.Unknown(
                    attempt, waiter.handle, self._retry_after(entry), True
                )
            self._out.append(action)
        entry.waiters.clear()

    def _report_unknown(
        self, entry: _entry.Entry, attempts: list[_messages.AttemptId]
    ) -> None:
        """Report to ``attempts`` that the outcome isn't known."""
        for attempt in attempts:
            waiter = entry.waiters.pop(attempt)
            self._out.append(
                _actions.Unknown(
                    attempt, waiter.handle, self._retry_after(entry)
                )
            )

    def _expire_waiters(self, now: float, entry: _entry.Entry) -> None:
        """Report an unknown outcome to attempts past their deadline."""
        late = [
            attempt
            for attempt, waiter in entry.waiters.items()
            if waiter.deadline_at <= now
        ]
        self._report_unknown(entry, late)

    def _send(self, host: ids.HostId, message: _messages.Message) -> None:
        """Send a message; one to this host is processed at the next flush."""
        if host == self._host:
            self._inbox.append(message)
        else:
            self._out.append(_actions.Send(host, message))

    def _wake(self, entry: _entry.Entry, at: float) -> None:
        """Set the entry's timer to ``at``, in place of its previous one."""
        entry.wake_at = at
        heapq.heappush(self._wakes, (at, next(self._serial), entry.key))

    def _next_deadline(self, entry: _entry.Entry) -> float:
        """Return the earliest deadline of the waiting attempts."""
        return min(
            (w.deadline_at for w in entry.waiters.values()),
            default=entry.until,
        )

    def _retry_after(self, entry: _entry.Entry) -> float:
        """Return the seconds until a retry, with jitter."""
        base_s = max(entry.retry_after_s, REFUSED_KEY_S)
        return base_s + RETRY_JITTER_S * self._rng.random()

    def _new_claim_id(self) -> _messages.ClaimId:
        """Return an id that is unique among the claims on a key."""
        name = f"{self._host}|{self._incarnation}|{next(self._serial)}"
        return _messages.ClaimId(xxhash.xxh3_64_intdigest(name.encode()))
