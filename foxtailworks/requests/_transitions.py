"""State transitions that take a key to its outcome."""

import typing

from foxtailworks.requests import _actions
from foxtailworks.requests import _ballot
from foxtailworks.requests import _base
from foxtailworks.requests import _entry
from foxtailworks.requests import _groups
from foxtailworks.requests import _messages

CLAIM_WINDOW_S = 1.0
REFUSE_WINDOW_S = 0.3
# Enough for one attempt if a majority is believed to be unreachable.
UNREACHABLE_WINDOW_S = 0.12
RESOLVE_WINDOW_S = 1.0
CANCEL_RESEND_S = 0.1
MAX_QUEUED_S = 0.5
POLL_S = 0.04
MAX_POLL_S = 0.4
MAX_POLL_DELAY_S = 0.3
DEADLINE_MARGIN_S = 0.02
RESOLVE_MARGIN_S = 0.5
ANSWERED_LINGER_S = 5.0
MAX_PLACEMENTS = 3
MAX_KEPT_BYTES = 8 << 20

_State = _entry.State
_Verdict = _messages.Verdict


class Transitions(_base.CoordinatorBase):
    """State transitions of entries; :class:`Coordinator` feeds them events."""

    def _claim_key(
        self,
        now: float,
        entry: _entry.Entry,
        replaces: tuple[_messages.ClaimId, ...] = (),
        window_s: float = CLAIM_WINDOW_S,
    ) -> None:
        """Claim the right to place the key at a majority."""
        upstream = self._choose(entry.service, entry.excluded)
        if upstream is None or entry.placement_count >= MAX_PLACEMENTS:
            self._start_refusal(now, entry)
            return
        if now >= entry.deadline_at - DEADLINE_MARGIN_S:
            self._start_refusal(now, entry)
            return
        entry.state = _State.CLAIMING
        entry.upstream = upstream
        entry.pending_placements.clear()
        resolvable_after_s = entry.deadline_at - now + RESOLVE_MARGIN_S
        replaces = tuple(dict.fromkeys(entry.discarded_claims + replaces))
        self._send_claim(
            now, entry, resolvable_after_s, window_s, replaces, ()
        )

    def _fence_claims(
        self,
        now: float,
        entry: _entry.Entry,
        granted_claims: list[_messages.GrantedClaim],
    ) -> None:
        """Replace the claims of hosts that needn't be waited for."""
        unresolved = _unresolved_placements(granted_claims)
        if len(unresolved) > _messages.MAX_UNRESOLVED:
            self._abandon(now, entry)
            return
        entry.state = _State.FENCING
        entry.upstream = _messages.NO_UPSTREAM
        entry.pending_placements = set(unresolved)
        entry.replaced_attempts.update(item.attempt for item in granted_claims)
        replaces = tuple(sorted({item.claim for item in granted_claims}))
        resolvable_after_s = CLAIM_WINDOW_S + RESOLVE_WINDOW_S
        self._send_claim(
            now,
            entry,
            resolvable_after_s,
            CLAIM_WINDOW_S,
            replaces,
            unresolved,
        )

    def _send_claim(
        self,
        now: float,
        entry: _entry.Entry,
        resolvable_after_s: float,
        window_s: float,
        replaces: tuple[_messages.ClaimId, ...],
        unresolved: tuple[_messages.Placement, ...],
    ) -> None:
        """Create a claim and send it to all members."""
        entry.claim = self._new_claim_id()
        keep_s = (
            max(entry.retention_s, resolvable_after_s)
            + _groups.RETENTION_MARGIN_S
        )
        claim = _messages.Claim(
            entry.key,
            entry.claim,
            entry.attempt,
            self._host,
            self._incarnation,
            self._groups.epoch,
            entry.upstream,
            int(resolvable_after_s * 1000),
            int(keep_s * 1000),
            replaces,
            unresolved,
            entry.proven_unstarted,
        )
        self._start_ballot(now, entry, claim, window_s)

    def _place(self, now: float, entry: _entry.Entry) -> None:
        """Send the request to its upstream unless its deadline has passed."""
        left_s = entry.deadline_at - now
        if left_s <= DEADLINE_MARGIN_S or entry.claim is None:
            self._start_refusal(now, entry)
            return
        entry.state = _State.PLACED
        entry.ballot = None
        entry.placement_count += 1
        handle = next(iter(entry.waiters.values())).handle
        self._out.append(
            _actions.Place(
                entry.key,
                entry.claim,
                entry.upstream,
                int(left_s * 1000),
                handle,
            )
        )
        self._wake(entry, self._next_deadline(entry))

    def _poll_later(self, now: float, entry: _entry.Entry) -> None:
        """Wait with backoff before the next claim on the key."""
        if entry.state is _State.CLAIMING:
            self._withdraw_claim(entry)
        entry.state = _State.WAITING
        entry.ballot = None
        entry.poll_count += 1
        pause_s = min(POLL_S * 2 ** min(entry.poll_count, 8), MAX_POLL_S)
        pause_s *= 0.5 + self._rng.random() / 2
        entry.until = now + pause_s
        self._wake(entry, min(entry.until, self._next_deadline(entry)))

    def _resolve(self, now: float, entry: _entry.Entry) -> None:
        """Cancel the pending placements, to learn whether they started."""
        entry.state = _State.RESOLVING
        entry.ballot = None
        entry.until = now + RESOLVE_WINDOW_S
        self._send_cancels(now, entry)
        self._continue_if_proven(now, entry)

    def _send_cancels(self, now: float, entry: _entry.Entry) -> None:
        """Cancel every placement that may still have started."""
        for item in sorted(
            entry.pending_placements, key=lambda item: item.claim
        ):
            cancel = _actions.Cancel(entry.key, item.claim, item.upstream)
            self._out.append(cancel)
        wake_at = min(now + CANCEL_RESEND_S, entry.until)
        self._wake(entry, wake_at)

    def _continue_if_proven(self, now: float, entry: _entry.Entry) -> None:
        """Claim the key again once no placement can have started."""
        if entry.pending_placements or entry.state is not _State.RESOLVING:
            return
        replaces = () if entry.claim is None else (entry.claim,)
        entry.proven_unstarted = replaces
        if entry.waiters:
            self._claim_key(now, entry, replaces)
        else:
            entry.discard_claim()
            self._withdraw_claim(entry)
            self._abandon(now, entry)

    def _start_refusal(self, now: float, entry: _entry.Entry) -> None:
        """Request a majority to fence the attempts, so that they never run."""
        attempts = tuple(sorted(entry.replaced_attempts | set(entry.waiters)))
        if len(attempts) > _messages.MAX_ATTEMPTS:
            self._abandon(now, entry)
            return
        entry.discard_claim()
        entry.state = _State.REFUSING
        message = _messages.Withdraw(
            entry.key,
            entry.discarded_claims,
            self._groups.epoch,
            attempts,
            int(_base.REFUSED_KEY_S * 1000),
            entry.proven_unstarted,
        )
        self._start_ballot(now, entry, message, REFUSE_WINDOW_S)

    def _report_refused(
        self, now: float, entry: _entry.Entry, fenced: typing.Iterable[int]
    ) -> None:
        """Refuse the fenced attempts as not run."""
        entry.state = _State.REFUSED
        entry.ballot = None
        for attempt in map(_messages.AttemptId, fenced):
            waiter = entry.waiters.pop(attempt, None)
            entry.refused_attempts.add(attempt)
            if waiter is not None:
                self._out.append(
                    _actions.Refuse(
                        attempt, waiter.handle, self._retry_after(entry)
                    )
                )
        self._report_unknown(entry, list(entry.waiters))
        entry.until = now + _base.REFUSED_KEY_S
        self._wake(entry, entry.until)

    def _abandon(self, now: float, entry: _entry.Entry) -> None:
        """Report to all waiting attempts that the outcome isn't known."""
        entry.state = _State.UNKNOWN
        entry.ballot = None
        self._report_unknown(entry, list(entry.waiters))
        may_run = entry.upstream or entry.pending_placements
        entry.until = now + (
            entry.retention_s if may_run else _base.REFUSED_KEY_S
        )
        self._wake(entry, entry.until)

    def _finish(
        self, now: float, entry: _entry.Entry, outcome: _messages.Outcome
    ) -> None:
        """Report the outcome to all waiting attempts."""
        entry.state = _State.ANSWERED
        entry.ballot = None
        entry.outcome = outcome
        entry.until = now + ANSWERED_LINGER_S
        self._report_outcome(entry)
        self._wake(entry, entry.until)

    def _record_answer(
        self,
        now: float,
        entry: _entry.Entry,
        claim: _messages.ClaimId,
        answer: bytes,
    ) -> None:
        """Finish with an upstream's answer and record it at the members."""
        is_small = len(answer) <= _messages.MAX_ANSWER_BYTES
        outcome = _messages.Outcome(
            claim,
            answer if is_small else None,
            self._host,
            self._incarnation,
        )
        if is_small or self._kept_bytes + len(answer) <= MAX_KEPT_BYTES:
            entry.kept_answer = answer
            self._kept_bytes += len(answer)
        self._finish(now, entry, outcome)
        if not is_small:
            entry.until = now + entry.retention_s
        keep_s = entry.retention_s + _groups.RETENTION_MARGIN_S
        message = _messages.RecordOutcome(
            entry.key, outcome, int(keep_s * 1000)
        )
        self._start_ballot(now, entry, message, entry.retention_s)

    def _withdraw_claim(self, entry: _entry.Entry) -> None:
        """Withdraw the own claim, which was never placed."""
        entry.discard_claim()
        message = _messages.Withdraw(
            entry.key,
            entry.discarded_claims,
            self._groups.epoch,
            proven_unstarted=entry.proven_unstarted,
        )
        for host in self._groups.members(entry.key):
            self._send(host, message)

    def _start_ballot(
        self,
        now: float,
        entry: _entry.Entry,
        message: _messages.Claim
        | _messages.Withdraw
        | _messages.RecordOutcome,
        window_s: float,
    ) -> None:
        """Send a message to all members and collect their verdicts."""
        groups = self._groups.of(entry.key)
        if not isinstance(message, _messages.RecordOutcome):
            window_s = self._limit_window(groups, window_s)
        ballot = _ballot.Ballot(
            groups,
            self._groups.members(entry.key),
            message,
            now + window_s,
            now + _ballot.FIRST_RESEND_S,
        )
        entry.ballot = ballot
        self._wake(entry, min(ballot.resend_at, ballot.until))
        for host in ballot.members:
            self._send(host, message)

    def _limit_window(
        self, groups: tuple[_groups.Group, ...], window_s: float
    ) -> float:
        """Return the window, shorter if some group has no live majority."""
        for group in groups:
            live_count = sum(
                host in self._live_hosts for host in group.members
            )
            if live_count < group.majority:
                return min(window_s, UNREACHABLE_WINDOW_S)
        return window_s

    def _resend(self, now: float, entry: _entry.Entry) -> None:
        """Resend the message to members that haven't replied."""
        ballot = entry.ballot
        if ballot is None:
            return
        if now >= ballot.resend_at:
            for host in ballot.pending_members:
                self._send(host, ballot.message)
            ballot.back_off(now)
        self._wake(entry, min(ballot.resend_at, ballot.until))


def _unresolved_placements(
    granted_claims: list[_messages.GrantedClaim],
) -> tuple[_messages.Placement, ...]:
    """Return every placement that the granted claims may have made."""
    found: set[_messages.Placement] = set()
    for item in granted_claims:
        found.update(item.unresolved)
        if item.upstream:
            found.add(_messages.Placement(item.claim, item.upstream))
    return tuple(sorted(found, key=lambda item: item.claim))
