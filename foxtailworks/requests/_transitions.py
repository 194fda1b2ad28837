"""The steps by which a coordinator takes one key to its outcome."""

import typing

from foxtailworks.requests import _actions
from foxtailworks.requests import _ballot
from foxtailworks.requests import _base
from foxtailworks.requests import _entry
from foxtailworks.requests import _groups
from foxtailworks.requests import _messages

CLAIM_WINDOW_S = 1.0
REFUSE_WINDOW_S = 0.3
# Enough for a try when the majority is held to be out of reach.
DOUBTFUL_WINDOW_S = 0.12
RESOLVE_WINDOW_S = 1.0
CANCEL_RESEND_S = 0.1
MAX_WAITED_S = 0.5
POLL_S = 0.04
MAX_POLL_S = 0.4
LATE_POLL_S = 0.3
GIVE_UP_MARGIN_S = 0.02
DUE_MARGIN_S = 0.5
ANSWERED_LINGER_S = 5.0
MAX_TRIES = 3
MAX_KEPT_BYTES = 8 << 20

_State = _entry.State
_Verdict = _messages.Verdict


class Phases(_base.Base):
    """State changes of entries; :class:`Coordinator` feeds them events."""

    def _claim_key(
        self,
        now: float,
        entry: _entry.Entry,
        replaces: tuple[_messages.ClaimId, ...] = (),
        window_s: float = CLAIM_WINDOW_S,
    ) -> None:
        """Ask a majority for the right to place the key."""
        upstream = self._choose(entry.service, entry.excluded)
        if upstream is None or entry.tries >= MAX_TRIES:
            self._refuse_key(now, entry)
            return
        if now >= entry.deadline_at - GIVE_UP_MARGIN_S:
            self._refuse_key(now, entry)
            return
        entry.state = _State.CLAIMING
        entry.upstream = upstream
        entry.pending.clear()
        due_s = entry.deadline_at - now + DUE_MARGIN_S
        replaces = tuple(dict.fromkeys(entry.dead + replaces))
        self._ask_claim(now, entry, due_s, window_s, replaces, ())

    def _fence_holders(
        self, now: float, entry: _entry.Entry, holders: list[_messages.Holder]
    ) -> None:
        """Replace the claims of hosts that can't be waited for."""
        unresolved = _unresolved_of(holders)
        if len(unresolved) > _messages.MAX_UNRESOLVED:
            self._give_up(now, entry)
            return
        entry.state = _State.FENCING
        entry.upstream = _messages.NO_UPSTREAM
        entry.pending = set(unresolved)
        entry.fenced.update(item.attempt for item in holders)
        replaces = tuple(sorted({item.claim for item in holders}))
        due_s = CLAIM_WINDOW_S + RESOLVE_WINDOW_S
        self._ask_claim(
            now, entry, due_s, CLAIM_WINDOW_S, replaces, unresolved
        )

    def _ask_claim(
        self,
        now: float,
        entry: _entry.Entry,
        due_s: float,
        window_s: float,
        replaces: tuple[_messages.ClaimId, ...],
        unresolved: tuple[_messages.Placement, ...],
    ) -> None:
        """Send a new claim to all members."""
        entry.claim = self._new_claim_id()
        keep_s = max(entry.retention_s, due_s) + _groups.KEEP_SLACK_S
        claim = _messages.Claim(
            entry.key,
            entry.claim,
            entry.attempt,
            self._host,
            self._incarnation,
            self._groups.epoch,
            entry.upstream,
            int(due_s * 1000),
            int(keep_s * 1000),
            replaces,
            unresolved,
            entry.proven,
        )
        self._start_ballot(now, entry, claim, window_s)

    def _place(self, now: float, entry: _entry.Entry) -> None:
        """Send the request, if its deadline hasn't passed by now."""
        left_s = entry.deadline_at - now
        if left_s <= GIVE_UP_MARGIN_S or entry.claim is None:
            self._refuse_key(now, entry)
            return
        entry.state = _State.PLACED
        entry.ballot = None
        entry.tries += 1
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

    def _wait(self, now: float, entry: _entry.Entry) -> None:
        """Let the claim of another stand and ask again a little later."""
        if entry.state is _State.CLAIMING:
            self._withdraw(entry)
        entry.state = _State.WAITING
        entry.ballot = None
        entry.polls += 1
        pause_s = min(POLL_S * 2 ** min(entry.polls, 8), MAX_POLL_S)
        pause_s *= 0.5 + self._rng.random() / 2
        entry.until = now + pause_s
        self._wake(entry, min(entry.until, self._next_deadline(entry)))

    def _resolve(self, now: float, entry: _entry.Entry) -> None:
        """Ask upstreams whether the placements ever started."""
        entry.state = _State.RESOLVING
        entry.ballot = None
        entry.until = now + RESOLVE_WINDOW_S
        self._send_cancels(now, entry)
        self._go_on_if_proven(now, entry)

    def _send_cancels(self, now: float, entry: _entry.Entry) -> None:
        """Cancel every placement that isn't proven."""
        for item in sorted(entry.pending, key=lambda item: item.claim):
            cancel = _actions.Cancel(entry.key, item.claim, item.upstream)
            self._out.append(cancel)
        wake_at = min(now + CANCEL_RESEND_S, entry.until)
        self._wake(entry, wake_at)

    def _go_on_if_proven(self, now: float, entry: _entry.Entry) -> None:
        """Place the request anew once nothing can have started."""
        if entry.pending or entry.state is not _State.RESOLVING:
            return
        replaces = () if entry.claim is None else (entry.claim,)
        entry.proven = replaces
        if entry.waiters:
            self._claim_key(now, entry, replaces)
        else:
            entry.bury()
            self._withdraw(entry)
            self._give_up(now, entry)

    def _refuse_key(self, now: float, entry: _entry.Entry) -> None:
        """Ask a majority to vouch that the attempts never run."""
        attempts = tuple(sorted(entry.fenced | set(entry.waiters)))
        if len(attempts) > _messages.MAX_ATTEMPTS:
            self._give_up(now, entry)
            return
        entry.bury()
        entry.state = _State.REFUSING
        message = _messages.Withdraw(
            entry.key,
            entry.dead,
            self._groups.epoch,
            attempts,
            int(_base.QUIET_S * 1000),
            entry.proven,
        )
        self._start_ballot(now, entry, message, REFUSE_WINDOW_S)

    def _tell_refused(
        self, now: float, entry: _entry.Entry, marked: typing.Iterable[int]
    ) -> None:
        """Tell the marked attempts that they didn't run."""
        entry.state = _State.REFUSED
        entry.ballot = None
        for attempt in map(_messages.AttemptId, marked):
            waiter = entry.waiters.pop(attempt, None)
            entry.refused.add(attempt)
            if waiter is not None:
                self._out.append(
                    _actions.Refuse(
                        attempt, waiter.handle, self._retry_after(entry)
                    )
                )
        self._tell_unknown(entry, list(entry.waiters))
        entry.until = now + _base.QUIET_S
        self._wake(entry, entry.until)

    def _give_up(self, now: float, entry: _entry.Entry) -> None:
        """Tell all that wait that the outcome isn't known, at once."""
        entry.state = _State.UNKNOWN
        entry.ballot = None
        self._tell_unknown(entry, list(entry.waiters))
        may_run = entry.upstream or entry.pending
        entry.until = now + (entry.retention_s if may_run else _base.QUIET_S)
        self._wake(entry, entry.until)

    def _finish(
        self, now: float, entry: _entry.Entry, outcome: _messages.Outcome
    ) -> None:
        """Give the outcome to all that wait."""
        entry.state = _State.ANSWERED
        entry.ballot = None
        entry.outcome = outcome
        entry.until = now + ANSWERED_LINGER_S
        self._tell_outcome(entry)
        self._wake(entry, entry.until)

    def _record(
        self,
        now: float,
        entry: _entry.Entry,
        claim: _messages.ClaimId,
        answer: bytes,
    ) -> None:
        """Finish with an upstream's answer and write it at the members."""
        is_small = len(answer) <= _messages.MAX_ANSWER_BYTES
        outcome = _messages.Outcome(
            claim,
            answer if is_small else None,
            self._host,
            self._incarnation,
        )
        if is_small or self._kept_bytes + len(answer) <= MAX_KEPT_BYTES:
            entry.kept = answer
            self._kept_bytes += len(answer)
        self._finish(now, entry, outcome)
        if not is_small:
            entry.until = now + entry.retention_s
        keep_s = entry.retention_s + _groups.KEEP_SLACK_S
        message = _messages.RecordOutcome(
            entry.key, outcome, int(keep_s * 1000)
        )
        self._start_ballot(now, entry, message, entry.retention_s)

    def _withdraw(self, entry: _entry.Entry) -> None:
        """Let the own claim go, which was never placed."""
        entry.bury()
        message = _messages.Withdraw(
            entry.key,
            entry.dead,
            self._groups.epoch,
            proven=entry.proven,
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
        """Send a question to all members and await a majority."""
        groups = self._groups.of(entry.key)
        if not isinstance(message, _messages.RecordOutcome):
            window_s = self._shorten(groups, window_s)
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

    def _shorten(
        self, groups: tuple[_groups.Group, ...], window_s: float
    ) -> float:
        """Return how long to try, by who is held to be alive."""
        for group in groups:
            alive = sum(host in self._alive for host in group.members)
            if alive < group.majority:
                return min(window_s, DOUBTFUL_WINDOW_S)
        return window_s

    def _resend(self, now: float, entry: _entry.Entry) -> None:
        """Ask silent members again."""
        ballot = entry.ballot
        if ballot is None:
            return
        if now >= ballot.resend_at:
            for host in ballot.silent:
                self._send(host, ballot.message)
            ballot.back_off(now)
        self._wake(entry, min(ballot.resend_at, ballot.until))


def _unresolved_of(
    holders: list[_messages.Holder],
) -> tuple[_messages.Placement, ...]:
    """Return every placement that the holders' claims may have made."""
    found: set[_messages.Placement] = set()
    for item in holders:
        found.update(item.unresolved)
        if item.upstream:
            found.add(_messages.Placement(item.claim, item.upstream))
    return tuple(sorted(found, key=lambda item: item.claim))
