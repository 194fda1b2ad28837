"""Coordinator of keyed requests, which run at most once."""

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
_ACTIVE_STATES = frozenset(_State) - {
    _State.REFUSED,
    _State.ANSWERED,
    _State.UNKNOWN,
}


class Coordinator(_handlers.Handlers):
    """Runs each keyed request at most once over all hosts.

    Any number of hosts may coordinate the same key at the same time: only the
    one whose claim a majority has granted places it.  Each event returns the
    actions for the program, which carries them out at once and in order.
    """

    def __len__(self) -> int:
        """Return the number of keys in progress or recently finished."""
        return len(self._entries)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return not any(
            e.state in _ACTIVE_STATES for e in self._entries.values()
        )

    def state_of(self, key: ids.RequestKey) -> _State | None:
        """Return the state of ``key`` at this host, if it has one."""
        entry = self._entries.get(key)
        return entry.state if entry else None

    def set_live_hosts(self, hosts: typing.Collection[ids.HostId]) -> None:
        """Set the hosts believed to be live; the belief may be wrong."""
        self._live_hosts = frozenset(hosts) | {self._host}

    def route(self, key: ids.RequestKey) -> ids.HostId | None:
        """Return the host to forward a request to; none to handle it here."""
        if key in self._entries:
            return None
        for host in self._groups.members(key):
            if host == self._host and not self._is_leaving:
                return None
            if host in self._live_hosts and host != self._host:
                return host
        return None

    def request(self, now: float, arrival: _actions.KeyedRequest) -> _Actions:
        """Process a request, its retransmission or its retry."""
        entry = self._entries.get(arrival.key)
        if entry is None or entry.state is _State.UNKNOWN:
            if self.may_read_stale_datagrams(now):
                return (self._reject(arrival),)
        if entry is None:
            entry = self._new_entry(arrival)
            if entry is None or not entry.join(now, arrival):
                return (self._reject(arrival),)
            self._begin(now, entry, arrival.queued_s)
        else:
            self._join(now, entry, arrival)
        return self._flush(now)

    def may_read_stale_datagrams(self, now: float) -> bool:
        """Return whether a request read now may have waited during a freeze.

        Such a request starts nothing and isn't forwarded: its caller may have
        been answered meanwhile that nothing ran.
        """
        return self._freeze_detector.may_read_stale_datagrams(now)

    def refuse(
        self, now: float, arrival: _actions.KeyedRequest, retry_after_s: float
    ) -> _Actions:
        """Refuse a request that admission control rejects.

        A request whose key is in progress joins it instead, at no cost.
        """
        if arrival.key in self._entries:
            return self.request(now, arrival)
        entry = self._new_entry(arrival)
        if entry is None or not entry.join(now, arrival):
            return (self._reject(arrival),)
        entry.retry_after_s = retry_after_s
        self._start_refusal(now, entry)
        return self._flush(now)

    def receive(
        self, now: float, sender: ids.HostId, message: _messages.Message
    ) -> _Actions:
        """Process a message of another host."""
        self._dispatch(now, sender, message)
        return self._flush(now)

    def on_answer(
        self,
        now: float,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
        answer: bytes,
    ) -> _Actions:
        """Process an upstream's complete answer to one placement."""
        entry = self._entries.get(key)
        if entry is None or entry.state is _State.ANSWERED:
            return ()
        if self._has_placement(entry, claim):
            self._record_answer(now, entry, claim, answer)
        return self._flush(now)

    def on_shed(
        self,
        now: float,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
        retry_after_s: float = 0.0,
    ) -> _Actions:
        """Process that an upstream didn't run a placement and won't."""
        entry = self._entries.get(key)
        if entry is None or entry.claim != claim or not entry.upstream:
            return ()
        entry.retry_after_s = retry_after_s
        entry.excluded.add(entry.upstream)
        self._on_not_run(now, entry)
        return self._flush(now)

    def on_cancel_result(
        self,
        now: float,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
        result: _actions.CancelResult,
        answer: bytes | None = None,
    ) -> _Actions:
        """Process an upstream's reply to a cancellation."""
        entry = self._entries.get(key)
        if entry is None or not self._has_placement(entry, claim):
            return ()
        if result is _actions.CancelResult.STARTED:
            if answer is not None and entry.state is not _State.ANSWERED:
                self._record_answer(now, entry, claim, answer)
        elif entry.claim == claim and entry.upstream:
            self._on_not_run(now, entry)
        else:
            entry.pending_placements = {
                p for p in entry.pending_placements if p.claim != claim
            }
            self._continue_if_proven(now, entry)
        return self._flush(now)

    def on_upstream_lost(
        self, now: float, upstream: ids.UpstreamId
    ) -> _Actions:
        """Abandon the requests that were placed on a dead upstream."""
        for entry in self._entries.values():
            if entry.state is _State.PLACED and entry.upstream == upstream:
                self._abandon(now, entry)
        return self._flush(now)

    def on_caller_cancelled(
        self, now: float, key: ids.RequestKey, attempt: _messages.AttemptId
    ) -> _Actions:
        """Remove a caller's attempt; cancel the placement if none is left."""
        entry = self._entries.get(key)
        if entry is None or entry.waiters.pop(attempt, None) is None:
            return ()
        if not entry.waiters and entry.state is _State.PLACED:
            self._cancel_placement(entry)
            self._abandon(now, entry)
        return self._flush(now)

    def tick(self, now: float) -> _Actions:
        """Process the due timers; call it twenty times a second."""
        self._freeze_detector.tick(now)
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
        """Return the runs that this host must count, each of them once.

        Of all hosts that receive an outcome, only the one that was the first
        to record it at a majority counts the run.
        """
        runs = tuple(self._completed_runs)
        self._completed_runs.clear()
        return runs

    def leave(self) -> None:
        """Accept no new requests, and finish those in progress."""
        self._is_leaving = True

    def hand_over(self, now: float) -> _Actions:
        """Send this member's records to the others and stop granting.

        Ticks resend lost messages until :meth:`is_handed_over`.
        """
        self._store.hand_over(now)
        return self.tick(now)

    def is_handed_over(self, now: float) -> bool:
        """Return whether the hand-over is over and the process may end."""
        return self._store.is_handed_over(now)

    def saved_state(self, now: float) -> _saved_state.SavedState | None:
        """Return the state for this host's next start, if it is complete.

        :raises FoxtailError: ``INTERNAL`` before :meth:`hand_over`
        """
        return self._store.saved_state(now)

    def restore(
        self, saved_state: _saved_state.SavedState, now: float
    ) -> None:
        """Restore the state saved at the last stop of this host.

        :raises FoxtailError: ``INTERNAL`` if it belongs to another host
        """
        self._store.restore(saved_state, now)

    def _new_entry(
        self, arrival: _actions.KeyedRequest
    ) -> _entry.Entry | None:
        """Return a new entry; none when the table is full."""
        if len(self._entries) >= MAX_ENTRIES:
            return None
        entry = _entry.Entry(
            arrival.key, arrival.service, arrival.attempt, arrival.retention_s
        )
        self._entries[arrival.key] = entry
        return entry

    def _reject(self, arrival: _actions.KeyedRequest) -> _actions.Action:
        """Return an unknown outcome: without an entry nothing is proven."""
        retry_s = _base.REFUSED_KEY_S + self._rng.random()
        return _actions.Unknown(arrival.attempt, arrival.handle, retry_s)

    def _begin(
        self, now: float, entry: _entry.Entry, queued_s: float = 0.0
    ) -> None:
        """Claim a key, or refuse an attempt queued too long for its fence."""
        if queued_s > _transitions.MAX_QUEUED_S:
            self._start_refusal(now, entry)
        else:
            self._claim_key(now, entry)

    def _join(
        self, now: float, entry: _entry.Entry, arrival: _actions.KeyedRequest
    ) -> None:
        """Add an attempt to the entry of its key."""
        is_retransmission = arrival.attempt in entry.refused_attempts
        if not entry.join(now, arrival):
            self._out.append(self._reject(arrival))
        elif entry.state is _State.ANSWERED:
            self._report_outcome(entry)
        elif entry.state is _State.REFUSED and is_retransmission:
            self._report_refused(now, entry, (arrival.attempt,))
        elif entry.state is _State.REFUSED:
            self._start_refusal(now, entry)
        elif entry.state is _State.UNKNOWN:
            self._retry_unknown(now, entry, arrival)

    def _retry_unknown(
        self, now: float, entry: _entry.Entry, arrival: _actions.KeyedRequest
    ) -> None:
        """Determine the outcome of an abandoned key for a retry."""
        placement = entry.placement
        if placement is not None:
            entry.pending_placements = {placement}
            self._resolve(now, entry)
            return
        entry.attempt = arrival.attempt
        entry.placement_count = 0
        entry.poll_count = 0
        self._begin(now, entry, arrival.queued_s)

    def _has_placement(
        self, entry: _entry.Entry, claim: _messages.ClaimId
    ) -> bool:
        """Return whether ``entry`` has a placement under ``claim``."""
        if entry.claim == claim and entry.upstream:
            return True
        return any(item.claim == claim for item in entry.pending_placements)

    def _on_not_run(self, now: float, entry: _entry.Entry) -> None:
        """Proceed after the own placement provably didn't run."""
        claim = entry.claim
        entry.pending_placements.clear()
        if entry.state is _State.ANSWERED:
            return
        if entry.state not in (_State.PLACED, _State.RESOLVING):
            self._withdraw_claim(entry)
            return
        entry.discard_claim()
        if entry.waiters and claim is not None:
            self._claim_key(now, entry, (claim,))
        else:
            self._withdraw_claim(entry)
            self._abandon(now, entry)
