"""Takes requests that may not be repeated to one outcome each."""

import heapq
import typing

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _base
from foxtailworks.requests import _entry
from foxtailworks.requests import _handlers
from foxtailworks.requests import _messages
from foxtailworks.requests import _saved_state
from foxtailworks.requests import _transitions

MAX_ENTRIES = 20_000
_State = _entry.State
_Actions = tuple[_actions.Action, ...]
_BUSY = frozenset(_State) - {_State.REFUSED, _State.ANSWERED, _State.UNKNOWN}


class Coordinator(_handlers.Replies):
    """Runs each keyed request at most once over all hosts.

    Any number of hosts may coordinate the same key at the same time: only
    who holds the claim of a majority places it.  Each event returns the
    actions for the program, which carries them out at once and in order.
    """

    def __len__(self) -> int:
        """Return how many keys are under way or lately done."""
        return len(self._entries)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is under way."""
        return not any(e.state in _BUSY for e in self._entries.values())

    def state_of(self, key: ids.RequestKey) -> _State | None:
        """Return where ``key`` stands at this host."""
        entry = self._entries.get(key)
        return entry.state if entry else None

    def set_live_hosts(self, hosts: typing.Collection[ids.HostId]) -> None:
        """Take in which hosts are held to be alive; it may be wrong."""
        self._alive = frozenset(hosts) | {self._host}

    def route(self, key: ids.RequestKey) -> ids.HostId | None:
        """Return the host to pass a request on to; none to keep it."""
        if key in self._entries:
            return None
        for host in self._groups.members(key):
            if host == self._host and not self._is_leaving:
                return None
            if host in self._alive and host != self._host:
                return host
        return None

    def request(self, now: float, arrival: _actions.KeyedRequest) -> _Actions:
        """Take in a request, its retransmission or its retry."""
        entry = self._entries.get(arrival.key)
        if entry is None or entry.state is _State.UNKNOWN:
            if self.may_read_stale_datagrams(now):
                return (self._turn_away(arrival),)
        if entry is None:
            entry = self._open(arrival)
            if entry is None or not entry.join(now, arrival):
                return (self._turn_away(arrival),)
            self._begin(now, entry, arrival.queued_s)
        else:
            self._join(now, entry, arrival)
        return self._flush(now)

    def may_read_stale_datagrams(self, now: float) -> bool:
        """Tell whether this process was stopped while a request came.

        Such a one begins nothing and is passed on to nobody: its caller may
        have been told meanwhile that nothing ran.
        """
        return self._freezes.may_read_stale_datagrams(now)

    def refuse(
        self, now: float, arrival: _actions.KeyedRequest, retry_after_s: float
    ) -> _Actions:
        """Refuse a request that admission doesn't let in.

        A key that is under way is joined instead: that costs nothing.
        """
        if arrival.key in self._entries:
            return self.request(now, arrival)
        entry = self._open(arrival)
        if entry is None or not entry.join(now, arrival):
            return (self._turn_away(arrival),)
        entry.retry_after_s = retry_after_s
        self._refuse_key(now, entry)
        return self._flush(now)

    def receive(
        self, now: float, sender: ids.HostId, message: _messages.Message
    ) -> _Actions:
        """Take in a message of another host."""
        self._dispatch(now, sender, message)
        return self._flush(now)

    def on_answer(
        self,
        now: float,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
        answer: bytes,
    ) -> _Actions:
        """Take in an upstream's whole answer to one placement."""
        entry = self._entries.get(key)
        if entry is None or entry.state is _State.ANSWERED:
            return ()
        if self._knows(entry, claim):
            self._record(now, entry, claim, answer)
        return self._flush(now)

    def on_shed(
        self,
        now: float,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
        retry_after_s: float = 0.0,
    ) -> _Actions:
        """Take in that an upstream didn't run a placement and won't."""
        entry = self._entries.get(key)
        if entry is None or entry.claim != claim or not entry.upstream:
            return ()
        entry.retry_after_s = retry_after_s
        entry.excluded.add(entry.upstream)
        self._not_run(now, entry)
        return self._flush(now)

    def on_cancel_result(
        self,
        now: float,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
        result: _actions.CancelResult,
        answer: bytes | None = None,
    ) -> _Actions:
        """Take in what an upstream says to a cancellation."""
        entry = self._entries.get(key)
        if entry is None or not self._knows(entry, claim):
            return ()
        if result is _actions.CancelResult.STARTED:
            if answer is not None and entry.state is not _State.ANSWERED:
                self._record(now, entry, claim, answer)
        elif entry.claim == claim and entry.upstream:
            self._not_run(now, entry)
        else:
            entry.pending = {p for p in entry.pending if p.claim != claim}
            self._go_on_if_proven(now, entry)
        return self._flush(now)

    def on_upstream_lost(
        self, now: float, upstream: ids.UpstreamId
    ) -> _Actions:
        """Give up at once on what was placed on a dead upstream."""
        for entry in self._entries.values():
            if entry.state is _State.PLACED and entry.upstream == upstream:
                self._give_up(now, entry)
        return self._flush(now)

    def on_caller_cancelled(
        self, now: float, key: ids.RequestKey, attempt: _messages.AttemptId
    ) -> _Actions:
        """Take in that a caller has given up; pass it on if it was alone."""
        entry = self._entries.get(key)
        if entry is None or entry.waiters.pop(attempt, None) is None:
            return ()
        if not entry.waiters and entry.state is _State.PLACED:
            self._cancel_placed(entry)
            self._give_up(now, entry)
        return self._flush(now)

    def tick(self, now: float) -> _Actions:
        """Do what is due; call it twenty times a second."""
        self._freezes.tick(now)
        while self._wakes and self._wakes[0][0] <= now:
            at, _, key = heapq.heappop(self._wakes)
            entry = self._entries.get(key)
            if entry is not None and entry.wake_at == at:
                self._on_wake(now, entry)
        self._groups.tick(now)
        for host, message in self._store.tick(now):
            self._send(host, message)
        return self._flush(now)

    def take_completed_runs(self) -> tuple[_actions.CompletedRun, ...]:
        """Return the runs that this host must count; each comes once.

        Of all hosts that learn of a run, only the one that was the first
        to record it at a majority counts it.
        """
        ran = tuple(self._ran)
        self._ran.clear()
        return ran

    def leave(self) -> None:
        """Take no new requests; go on with those under way."""
        self._is_leaving = True

    def hand_over(self, now: float) -> _Actions:
        """Give this member's records to the others and grant no more.

        Ticks repeat what was lost until :meth:`is_handed_over`.
        """
        self._store.hand_over(now)
        return self.tick(now)

    def is_handed_over(self, now: float) -> bool:
        """Return whether the process may end."""
        return self._store.is_handed_over(now)

    def saved_state(self, now: float) -> _saved_state.SavedState | None:
        """Return what this host's next start may read back, if it is whole.

        :raises FoxtailError: ``INTERNAL`` before :meth:`hand_over`
        """
        return self._store.saved_state(now)

    def restore(self, memory: _saved_state.SavedState, now: float) -> None:
        """Go on with what this host remembered when it last stopped.

        :raises FoxtailError: ``INTERNAL`` when it is another host's
        """
        self._store.restore(memory, now)

    def _open(self, arrival: _actions.KeyedRequest) -> _entry.Entry | None:
        """Return a new entry; none when there are too many."""
        if len(self._entries) >= MAX_ENTRIES:
            return None
        entry = _entry.Entry(
            arrival.key, arrival.service, arrival.attempt, arrival.retention_s
        )
        self._entries[arrival.key] = entry
        return entry

    def _turn_away(self, arrival: _actions.KeyedRequest) -> _actions.Action:
        """Answer what there is no room for: nothing can be proven."""
        retry_s = _base.QUIET_S + self._rng.random()
        return _actions.Unknown(arrival.attempt, arrival.handle, retry_s)

    def _begin(
        self, now: float, entry: _entry.Entry, waited_s: float = 0.0
    ) -> None:
        """Claim a key, unless its attempt is too old for the fences."""
        if waited_s > _transitions.MAX_WAITED_S:
            self._refuse_key(now, entry)
        else:
            self._claim_key(now, entry)

    def _join(
        self, now: float, entry: _entry.Entry, arrival: _actions.KeyedRequest
    ) -> None:
        """Let an attempt share what another one of its key has begun."""
        is_again = arrival.attempt in entry.refused
        if not entry.join(now, arrival):
            self._out.append(self._turn_away(arrival))
        elif entry.state is _State.ANSWERED:
            self._tell_outcome(entry)
        elif entry.state is _State.REFUSED and is_again:
            self._tell_refused(now, entry, (arrival.attempt,))
        elif entry.state is _State.REFUSED:
            self._refuse_key(now, entry)
        elif entry.state is _State.UNKNOWN:
            self._ask_again(now, entry, arrival)

    def _ask_again(
        self, now: float, entry: _entry.Entry, arrival: _actions.KeyedRequest
    ) -> None:
        """Try to learn the outcome for a caller that asks again."""
        placement = entry.placement
        if placement is not None:
            entry.pending = {placement}
            self._resolve(now, entry)
            return
        entry.attempt = arrival.attempt
        entry.tries = 0
        entry.polls = 0
        self._begin(now, entry, arrival.queued_s)

    def _knows(self, entry: _entry.Entry, claim: _messages.ClaimId) -> bool:
        """Return whether a placement of ``entry`` goes by ``claim``."""
        if entry.claim == claim and entry.upstream:
            return True
        return any(item.claim == claim for item in entry.pending)

    def _not_run(self, now: float, entry: _entry.Entry) -> None:
        """Go on after the own placement was proven not to have run."""
        claim = entry.claim
        entry.pending.clear()
        if entry.state is _State.ANSWERED:
            return
        if entry.state not in (_State.PLACED, _State.RESOLVING):
            self._withdraw(entry)
            return
        entry.bury()
        if entry.waiters and claim is not None:
            self._claim_key(now, entry, (claim,))
        else:
            self._withdraw(entry)
            self._give_up(now, entry)
