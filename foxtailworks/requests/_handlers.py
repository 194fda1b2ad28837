"""What a coordinator does with verdicts of members and with timers."""

import functools
import typing

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _ballot
from foxtailworks.requests import _entry
from foxtailworks.requests import _messages
from foxtailworks.requests import _transitions

MAX_RAN = 10_000
_State = _entry.State
_Verdict = _messages.Verdict


class Replies(_transitions.Phases):
    """Moves entries on by verdicts and by time."""

    def _cancel_placed(self, entry: _entry.Entry) -> None:
        """Tell the upstream that nobody waits any more."""
        item = entry.placement
        if item is not None:
            cancel = _actions.Cancel(entry.key, item.claim, item.upstream)
            self._out.append(cancel)

    def _flush(self, now: float) -> tuple[_actions.Action, ...]:
        """Take in what this host sent to itself; return the actions."""
        while self._inbox:
            self._dispatch(now, self._host, self._inbox.pop(0))
        out = tuple(self._out)
        self._out.clear()
        return out

    def _dispatch(
        self, now: float, sender: ids.HostId, message: _messages.Message
    ) -> None:
        """Hand a reply to its entry and all else to the store."""
        if _handler(type(message))(self, message, now, sender):
            return
        reply = self._store.receive(message, now, sender)
        if reply is not None:
            self._send(sender, reply)

    @functools.singledispatchmethod
    def _on_reply(
        self, message: object, now: float, sender: ids.HostId
    ) -> bool:
        """Return whether the message was a reply to this coordinator."""
        return False

    @_on_reply.register
    def _on_claim_reply(
        self, reply: _messages.ClaimReply, now: float, sender: ids.HostId
    ) -> bool:
        """Count a verdict over a claim."""
        entry = self._entries.get(reply.key)
        if entry is None:
            return True
        if reply.claim in entry.dead and reply.verdict is _Verdict.GRANTED:
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
        if reply.holder is not None:
            ballot.holders[sender] = reply.holder
        if reply.outcome is not None:
            self._learn(now, entry, reply.outcome)
        else:
            self._count_claim(now, entry, ballot)
        return True

    @_on_reply.register
    def _on_withdraw_reply(
        self, reply: _messages.WithdrawReply, now: float, sender: ids.HostId
    ) -> bool:
        """Count a verdict over marks."""
        entry = self._entries.get(reply.key)
        ballot = entry.ballot if entry else None
        if entry is None or ballot is None:
            return True
        asked = ballot.message
        if not isinstance(asked, _messages.Withdraw):
            return True
        if asked.attempts != reply.attempts:
            return True
        ballot.verdicts[sender] = reply.verdict
        if reply.outcome is not None:
            self._learn(now, entry, reply.outcome)
        elif ballot.is_won and now <= ballot.until:
            self._tell_refused(now, entry, reply.attempts)
        elif ballot.is_lost:
            self._give_up(now, entry)
        return True

    @_on_reply.register
    def _on_outcome_ack(
        self, reply: _messages.OutcomeAck, now: float, sender: ids.HostId
    ) -> bool:
        """Count who keeps the outcome."""
        entry = self._entries.get(reply.key)
        ballot = entry.ballot if entry else None
        if entry is None or ballot is None:
            return True
        if isinstance(ballot.message, _messages.RecordOutcome):
            ballot.verdicts[sender] = (
                _Verdict.GRANTED if reply.is_first else _Verdict.DONE
            )
            if ballot.is_won:
                self._count_ran(entry, ballot.message.outcome.claim)
            if ballot.is_won or ballot.is_lost:
                entry.ballot = None
                self._wake(entry, entry.until)
        return True

    def _count_ran(
        self, entry: _entry.Entry, claim: _messages.ClaimId
    ) -> None:
        """Note a run that this host was the first to record."""
        if len(self._ran) < MAX_RAN:
            self._ran.append(
                _actions.CompletedRun(entry.key, entry.service, claim)
            )

    def _learn(
        self, now: float, entry: _entry.Entry, outcome: _messages.Outcome
    ) -> None:
        """Take over an outcome that a member keeps."""
        own = entry.claim
        if own is not None and own != outcome.claim:
            self._withdraw(entry)
        self._finish(now, entry, outcome)

    def _count_claim(
        self, now: float, entry: _entry.Entry, ballot: _ballot.Ballot
    ) -> None:
        """Act once the members have decided over the own claim."""
        if now > ballot.until:
            self._on_wake(now, entry)
        elif ballot.is_won and entry.state is _State.CLAIMING:
            self._place(now, entry)
        elif ballot.is_won:
            self._resolve(now, entry)
        elif ballot.is_lost:
            self._on_lost(now, entry, ballot)

    def _on_lost(
        self, now: float, entry: _entry.Entry, ballot: _ballot.Ballot
    ) -> None:
        """Wait for the claim that stands, replace it, or give up."""
        holders = list(ballot.holders.values())
        if entry.state is _State.CLAIMING and not holders:
            self._refuse_key(now, entry)
        elif entry.state is _State.CLAIMING and all(
            self._may_replace(entry, item) for item in holders
        ):
            self._withdraw(entry)
            self._fence_holders(now, entry, holders)
        elif ballot.has(_Verdict.FENCED):
            self._refuse_key(now, entry)
        else:
            self._wait(now, entry)

    def _may_replace(
        self, entry: _entry.Entry, holder: _messages.Holder
    ) -> bool:
        """Return whether waiting for ``holder`` is of no use."""
        if holder.claimant == self._host:
            return True
        return holder.due_in_ms <= 0 or holder.claimant not in self._alive

    def _on_wake(self, now: float, entry: _entry.Entry) -> None:
        """Do what is due for one entry."""
        _WAKES[entry.state](self, now, entry)

    def _wake_claiming(self, now: float, entry: _entry.Entry) -> None:
        """Ask again, or give up on a majority."""
        ballot = entry.ballot
        late_at = entry.deadline_at - _transitions.GIVE_UP_MARGIN_S
        if ballot is None or now >= min(ballot.until, late_at):
            self._refuse_key(now, entry)
        else:
            self._resend(now, entry)

    def _wake_asking(self, now: float, entry: _entry.Entry) -> None:
        """Ask for fences or marks again, or give up."""
        if entry.ballot is None or now >= entry.ballot.until:
            self._give_up(now, entry)
        else:
            self._resend(now, entry)

    def _wake_placed(self, now: float, entry: _entry.Entry) -> None:
        """Stop at the deadline: cancel, and say so at once."""
        self._expire_waiters(now, entry)
        if entry.waiters:
            self._wake(entry, self._next_deadline(entry))
            return
        self._cancel_placed(entry)
        self._give_up(now, entry)

    def _wake_waiting(self, now: float, entry: _entry.Entry) -> None:
        """Claim again; a host that was frozen must not."""
        self._expire_waiters(now, entry)
        if not entry.waiters or now > entry.until + _transitions.LATE_POLL_S:
            self._give_up(now, entry)
        elif now >= entry.until:
            self._claim_key(now, entry)
        else:
            self._wake(entry, min(entry.until, self._next_deadline(entry)))

    def _wake_resolving(self, now: float, entry: _entry.Entry) -> None:
        """Ask the upstreams again for a while."""
        self._expire_waiters(now, entry)
        if now >= entry.until or not entry.waiters:
            self._give_up(now, entry)
        else:
            self._send_cancels(now, entry)

    def _wake_done(self, now: float, entry: _entry.Entry) -> None:
        """Write the outcome again, or forget the key."""
        if now >= entry.until and entry.ballot is None:
            self._kept_bytes -= len(entry.kept or b"")
            del self._entries[entry.key]
        elif entry.ballot is None:
            self._wake(entry, entry.until)
        elif now >= entry.ballot.until:
            entry.ballot = None
            self._wake(entry, entry.until)
        else:
            self._resend(now, entry)


_WAKES: dict[_State, typing.Callable[[Replies, float, _entry.Entry], None]] = {
    _State.CLAIMING: Replies._wake_claiming,
    _State.PLACED: Replies._wake_placed,
    _State.WAITING: Replies._wake_waiting,
    _State.FENCING: Replies._wake_asking,
    _State.RESOLVING: Replies._wake_resolving,
    _State.REFUSING: Replies._wake_asking,
    _State.REFUSED: Replies._wake_done,
    _State.ANSWERED: Replies._wake_done,
    _State.UNKNOWN: Replies._wake_done,
}

# Looked up by type: a bound singledispatchmethod is built for every call.
_handler = Replies.__dict__["_on_reply"].dispatcher.dispatch
