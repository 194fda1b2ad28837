"""What the steps of a coordinator share: sending, waking, telling."""

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

# Longer than an attempt may be on its way to its placement at any host:
# held back, polled late, and claimed.
QUIET_S = 2.5
RETRY_SPREAD_S = 2.0

Chooser = typing.Callable[
    [ids.ServiceId, typing.Collection[ids.UpstreamId]], ids.UpstreamId | None
]


class Base:
    """Entries of a coordinator, its outgoing actions and its timers.

    :param host: this host
    :param incarnation: of this start of the process
    :param groups: the groups of keys
    :param store: this host's own memory as a member
    :param choose: upstream for a service, but for some; none if there is none
    :param rng: spreads retries
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
        self._alive: frozenset[ids.HostId] = frozenset(
            item for item, _ in groups.roster.hosts
        )
        self._wakes: list[tuple[float, int, ids.RequestKey]] = []
        self._serial = itertools.count(1)
        self._kept_bytes = 0
        self._ran: list[_actions.CompletedRun] = []
        self._is_leaving = False
        self._freezes = _freezes.Stops()
        self._inbox: list[_messages.Message] = []
        self._out: list[_actions.Action] = []

    def _tell_outcome(self, entry: _entry.Entry) -> None:
        """Answer what waits, or pass it on to who keeps the answer."""
        outcome = entry.outcome
        if outcome is None:
            return
        answer = outcome.answer if entry.kept is None else entry.kept
        elsewhere = outcome.kept_by
        for attempt, waiter in entry.waiters.items():
            if answer is not None:
                action: _actions.Action = _actions.Answer(
                    attempt, waiter.handle, answer
                )
            elif elsewhere != self._host and elsewhere in self._alive:
                action = _actions.Forward(attempt, waiter.handle, elsewhere)
            else:
                action = _actions.Unknown(
                    attempt, waiter.handle, self._retry_after(entry), True
                )
            self._out.append(action)
        entry.waiters.clear()

    def _tell_unknown(
        self, entry: _entry.Entry, attempts: list[_messages.AttemptId]
    ) -> None:
        """Tell some that the outcome isn't known."""
        for attempt in attempts:
            waiter = entry.waiters.pop(attempt)
            self._out.append(
                _actions.Unknown(
                    attempt, waiter.handle, self._retry_after(entry)
                )
            )

    def _expire_waiters(self, now: float, entry: _entry.Entry) -> None:
        """Tell those whose deadline has passed."""
        late = [
            attempt
            for attempt, waiter in entry.waiters.items()
            if waiter.deadline_at <= now
        ]
        self._tell_unknown(entry, late)

    def _send(self, host: ids.HostId, message: _messages.Message) -> None:
        """Send to a host; what is for this one is taken in at the end."""
        if host == self._host:
            self._inbox.append(message)
        else:
            self._out.append(_actions.Send(host, message))

    def _wake(self, entry: _entry.Entry, at: float) -> None:
        """Look at the entry again at ``at``; an earlier call is replaced."""
        entry.wake_at = at
        heapq.heappush(self._wakes, (at, next(self._serial), entry.key))

    def _next_deadline(self, entry: _entry.Entry) -> float:
        """Return when the first of those that wait must be told."""
        return min(
            (w.deadline_at for w in entry.waiters.values()),
            default=entry.until,
        )

    def _retry_after(self, entry: _entry.Entry) -> float:
        """Return a spread time to come back."""
        base_s = max(entry.retry_after_s, QUIET_S)
        return base_s + RETRY_SPREAD_S * self._rng.random()

    def _new_claim_id(self) -> _messages.ClaimId:
        """Return an id that no other claim of the key has."""
        name = f"{self._host}|{self._incarnation}|{next(self._serial)}"
        return _messages.ClaimId(xxhash.xxh3_64_intdigest(name.encode()))
