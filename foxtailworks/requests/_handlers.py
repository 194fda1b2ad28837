"""Handlers for the verdicts of members and for timers."""

import functools
import typing

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _ballot
from foxtailworks.requests import _entry
from foxtailworks.requests import _messages
from foxtailworks.requests import _transitions

MAX_COMPLETED_RUNS = 10_000
_State = _entry.State
_Verdict = _messages.Verdict


class Handlers(_transitions.Transitions):
    """Advances entries on verdicts of members and on timers."""

    def _cancel_placement(self, entry: _entry.Entry) -> None:
        """Cancel the own placement at its upstream."""
        item = entry.placement
        if item is not None:
            cancel = _actions.Cancel(entry.key, item.claim, item.upstream)
            self._out.append(cancel)

    def _flush(self, now: float) -> tuple[_actions.Action, ...]:
        """Process the messages of this host to itself; return the actions."""
        while self._inbox:
            self._dispatch(now, self._host, self._inbox.pop(0))
        out = tuple(self._out)
        self._out.clear()
        return out

    def _dispatch(
        self, now: float, sender: ids.HostId, message: _messages.Message
    ) -> None:
        """Pass a reply to its entry and any other message to the store."""
        if _handler(type(message))(self, message, now, sender):
            return
        reply = self._store.receive(message, now, sender)
        if reply is not None:
            self._send(sender, reply)

    @functools.singledispatchmethod
    def _on_reply(
        self, message: object, now: float, sender: ids.HostId
    ) -> bool:
        """Process a reply; return false for any other message."""
        return False

    @_on_reply.register
    def _on_claim_reply(
        self, reply: _messages.ClaimReply, now: float, sender: ids.HostId
    ) -> bool:
        """Count a member's verdict on a claim."""
        entry = self._entries.get(reply.key)
        if entry is None:
            return True
        if (
            reply.claim in entry.discarded_claims
            and reply.verdict is _Verdict.GRANTED
        ):
            self._send(
                sender,
                _messages.Withdraw(
                    entry.key, (reply.claim,), self._groups.epoch
                ),
            )
        ballot = entry.ballot
        if entry.claim != reply.claim or ballot is None:
            return True
        ballot.verdicts[sender] = reply.verdict
        if reply.granted_claim is not None:
            ballot.granted_claims[sender] = reply.granted_claim
        if reply.outcome is not None:
            self._adopt_outcome(now, entry, reply.outcome)
        else:
            self._count_claim(now, entry, ballot)
        return True

    @_on_reply.register
    def _on_withdraw_reply(
        self, reply: _messages.WithdrawReply, now: float, sender: ids.HostId
    ) -> bool:
        """Count a member's verdict on a request to fence attempts."""
        entry = self._entries.get(reply.key)
        ballot = entry.ballot if entry else None
        if entry is None or ballot is None:
            return True
        query = ballot.message
        if not isinstance(query, _messages.Withdraw):
            return True
        if query.attempts != reply.attempts:
            return True
        ballot.verdicts[sender] = reply.verdict
        if reply.outcome is not None:
            self._adopt_outcome(now, entry, reply.outcome)
        elif ballot.is_won and now <= ballot.until:
            self._report_refused(now, entry, reply.attempts)
        elif ballot.is_lost:
            self._abandon(now, entry)
        return True

    @_on_reply.register
    def _on_outcome_ack(
        self, reply: _messages.OutcomeAck, now: float, sender: ids.HostId
    ) -> bool:
        """Count a member that has recorded the outcome."""
        entry = self._entries.get(reply.key)
        ballot = entry.ballot if entry else None
        if entry is None or ballot is None:
            return True
        if isinstance(ballot.message, _messages.RecordOutcome):
            ballot.verdicts[sender] = (
                _Verdict.GRANTED if reply.is_first else _Verdict.DONE
            )
            if ballot.is_won:
                self._note_completed_run(entry, ballot.message.outcome.claim)
            if ballot.is_won or ballot.is_lost:
                entry.ballot = None
                self._wake(entry, entry.until)
        return True

    def _note_completed_run(
        self, entry: _entry.Entry, claim: _messages.ClaimId
    ) -> None:
        """Register a run that this host was the first to record."""
        if len(self._completed_runs) < MAX_COMPLETED_RUNS:
            self._completed_runs.append(
                _actions.CompletedRun(entry.key, entry.service, claim)
            )

    def _adopt_outcome(
        self, now: float, entry: _entry.Entry, outcome: _messages.Outcome
    ) -> None:
        """Adopt an outcome that a member has recorded."""
        own = entry.claim
        if own is not None and own != outcome.claim:
            self._withdraw_claim(entry)
        self._finish(now, entry, outcome)

    def _count_claim(
        self, now: float, entry: _entry.Entry, ballot: _ballot.Ballot
    ) -> None:
        """Proceed once the members have decided on the own claim."""
        if now > ballot.until:
            self._on_wake(now, entry)
        elif ballot.is_won and entry.state is _State.CLAIMING:
            self._place(now, entry)
        elif ballot.is_won:
            self._resolve(now, entry)
        elif ballot.is_lost:
            self._on_claim_lost(now, entry, ballot)

    def _on_claim_lost(
        self, now: float, entry: _entry.Entry, ballot: _ballot.Ballot
    ) -> None:
        """Wait for the granted claims, replace them, or start a refusal."""
        granted_claims = list(ballot.granted_claims.values())
        if entry.state is _State.CLAIMING and not granted_claims:
            self._start_refusal(now, entry)
        elif entry.state is _State.CLAIMING and all(
            self._may_replace(entry, item) for item in granted_claims
        ):
            self._withdraw_claim(entry)
            self._fence_claims(now, entry, granted_claims)
        elif ballot.has_verdict(_Verdict.FENCED):
            self._start_refusal(now, entry)
        else:
            self._poll_later(now, entry)

    def _may_replace(
        self, entry: _entry.Entry, granted_claim: _messages.GrantedClaim
    ) -> bool:
        """Return whether waiting for ``granted_claim`` is useless."""
        if granted_claim.claimant == self._host:
            return True
        return (
            granted_claim.resolvable_in_ms <= 0
            or granted_claim.claimant not in self._live_hosts
        )

    def _on_wake(self, now: float, entry: _entry.Entry) -> None:
        """Process the timer of one entry."""
        _WAKE_HANDLERS[entry.state](self, now, entry)

    def _wake_claiming(self, now: float, entry: _entry.Entry) -> None:
        """Resend the claim, or refuse the attempts at its deadline."""
        ballot = entry.ballot
        abandon_at = entry.deadline_at - _transitions.DEADLINE_MARGIN_S
        if ballot is None or now >= min(ballot.until, abandon_at):
            self._start_refusal(now, entry)
        else:
            self._resend(now, entry)

    def _wake_voting(self, now: float, entry: _entry.Entry) -> None:
        """Resend the request for fences, or abandon it at its deadline."""
        if entry.ballot is None or now >= entry.ballot.until:
            self._abandon(now, entry)
        else:
            self._resend(now, entry)

    def _wake_placed(self, now: float, entry: _entry.Entry) -> None:
        """Cancel the placement and abandon it at the last deadline."""
        self._expire_waiters(now, entry)
        if entry.waiters:
            self._wake(entry, self._next_deadline(entry))
            return
        self._cancel_placement(entry)
        self._abandon(now, entry)

    def _wake_waiting(self, now: float, entry: _entry.Entry) -> None:
        """Claim the key again; a host that was frozen must not."""
        self._expire_waiters(now, entry)
        if (
            not entry.waiters
            or now > entry.until + _transitions.MAX_POLL_DELAY_S
        ):
            self._abandon(now, entry)
        elif now >= entry.until:
            self._claim_key(now, entry)
        else:
            self._wake(entry, min(entry.until, self._next_deadline(entry)))

    def _wake_resolving(self, now: float, entry: _entry.Entry) -> None:
        """Resend the cancellations until the window ends."""
        self._expire_waiters(now, entry)
        if now >= entry.until or not entry.waiters:
            self._abandon(now, entry)
        else:
            self._send_cancels(now, entry)

    def _wake_done(self, now: float, entry: _entry.Entry) -> None:
        """Resend the outcome, or remove the entry after its lifetime."""
        if now >= entry.until and entry.ballot is None:
            self._kept_bytes -= len(entry.kept_answer or b"")
            del self._entries[entry.key]
        elif entry.ballot is None:
            self._wake(entry, entry.until)
        elif now >= entry.ballot.until:
            entry.ballot = None
            self._wake(entry, entry.until)
        else:
            self._resend(now, entry)


_WAKE_HANDLERS: dict[
    _State, typing.Callable[[Handlers, float, _entry.Entry], None]
] = {
    _State.CLAIMING: Handlers._wake_claiming,
    _State.PLACED: Handlers._wake_placed,
    _State.WAITING: Handlers._wake_waiting,
    _State.FENCING: Handlers._wake_voting,
    _State.RESOLVING: Handlers._wake_resolving,
    _State.REFUSING: Handlers._wake_voting,
    _State.REFUSED: Handlers._wake_done,
    _State.ANSWERED: Handlers._wake_done,
    _State.UNKNOWN: Handlers._wake_done,
}

# Looked up by type: a bound singledispatchmethod is built for every call.
_handler = Handlers.__dict__["_on_reply"].dispatcher.dispatch
