"""Claims, outcomes and fences that a group member stores."""

import collections
import functools
import itertools

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.requests import _claim_rules
from foxtailworks.requests import _fences
from foxtailworks.requests import _groups
from foxtailworks.requests import _hand_over
from foxtailworks.requests import _messages
from foxtailworks.requests import _records
from foxtailworks.requests import _recovery
from foxtailworks.requests import _saved_state

MAX_RECORDS = 50_000
_Verdict = _messages.Verdict


class ClaimStore:
    """Grants at most one claim on each key and stores outcomes.

    A claim is removed only by its claimant's withdrawal (the claimant never
    placed it), by a claim that replaces it and lists its placements as
    unresolved, by an outcome, or by its expiry.  A full store grants no claim
    on a new key.

    :param host: host that the store belongs to
    :param groups: groups of hosts that decide on keys
    :param recovery: determines which keys a restarted member can decide on
    :param max_records: maximum number of keys
    :param incarnation: incarnation of this process
    """

    def __init__(
        self,
        host: ids.HostId,
        groups: _groups.KeyGroups,
        recovery: _recovery.Recovery,
        max_records: int = MAX_RECORDS,
        incarnation: ids.Incarnation = _messages.NO_INCARNATION,
    ) -> None:
        self._host = host
        self._groups = groups
        self._recovery = recovery
        self._records = _records.Records(max_records)
        self._fences = _fences.Fences()
        self._rules = _claim_rules.ClaimRules(
            host, groups, recovery, self._records, self._fences
        )
        self._incarnation = incarnation
        self._received = _hand_over.ReceivedHandOvers()
        self._hand_over_sender: _hand_over.HandOverSender | None = None
        self.verdict_counts: collections.Counter[_Verdict] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        """Return the number of recorded keys."""
        return len(self._records)

    def receive(
        self, message: object, now: float, sender: ids.HostId
    ) -> _messages.Message | None:
        """Process a message and return the reply to its sender."""
        reply: _messages.Message | None
        reply = _handler(type(message))(self, message, now, sender)
        return reply

    @functools.singledispatchmethod
    def _receive(
        self, message: object, now: float, sender: ids.HostId
    ) -> _messages.Message | None:
        """Reject a message of an unexpected type."""
        raise errors.FoxtailError(
            errors.Code.INTERNAL,
            "not a message for a claim store",
            kind=type(message),
        )

    def tick(self, now: float) -> list[tuple[ids.HostId, _messages.Message]]:
        """Remove expired keys; return the messages that are due."""
        self._records.tick(now)
        self._fences.tick(now)
        if self._hand_over_sender is not None:
            return list(self._hand_over_sender.messages_due(now))
        others = (h for h, _ in self._groups.roster.hosts if h != self._host)
        requests = self._recovery.requests_due(now, others, self._incarnation)
        return list[tuple[ids.HostId, _messages.Message]](requests)

    def hand_over(self, now: float) -> None:
        """Stop granting, and start to send all records to other members."""
        parts: dict[ids.HostId, list[_messages.HandOver]] = {
            host: [] for host, _ in self._groups.roster.hosts
        }
        parts.pop(self._host, None)
        fenced_attempts = _hand_over.fenced_by_key(self._fences)
        for key in dict.fromkeys((*self._records, *fenced_attempts)):
            last = fenced_attempts.get(key, ())[-_messages.MAX_ATTEMPTS :]
            message = self._make_hand_over(now, key, last)
            for host in self._rules.other_members(key):
                parts.setdefault(host, []).append(message)
        self._rules.stop_granting()
        self._hand_over_sender = _hand_over.HandOverSender(
            now, self._incarnation, parts
        )

    def is_handed_over(self, now: float) -> bool:
        """Return whether the hand-over has started and ended."""
        return (
            self._hand_over_sender is not None
            and self._hand_over_sender.is_done(now)
        )

    def saved_state(self, now: float) -> _saved_state.SavedState | None:
        """Return the state for the next start of this host.

        None while this member itself hasn't recovered all that an earlier
        incarnation has granted.

        :raises FoxtailError: ``INTERNAL`` while this member still grants
        """
        if self._hand_over_sender is None:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "no complete state before the hand-over"
            )
        if not self._recovery.is_complete(now):
            return None
        fenced_attempts = _hand_over.fenced_by_key(self._fences)
        return _saved_state.SavedState(
            self._host,
            self._rules.latest_epoch(),
            tuple(
                self._make_hand_over(now, key, fenced_attempts.get(key, ()))
                for key in dict.fromkeys((*self._records, *fenced_attempts))
            ),
            tuple(_saved_state.refused_keys(self._fences, now)),
        )

    def restore(
        self, saved_state: _saved_state.SavedState, now: float
    ) -> None:
        """Restore the state saved at the last stop of this host.

        Must be called before this member grants anything.

        :raises FoxtailError: ``INTERNAL`` if it belongs to another host
        """
        if saved_state.host != self._host:
            raise errors.FoxtailError(
                errors.Code.INTERNAL,
                "the saved state belongs to another host",
                of=saved_state.host,
            )
        self._rules.raise_epoch(saved_state.epoch)
        _saved_state.restore(saved_state, self._records, self._fences, now)

    @_receive.register
    def _on_claim(
        self, claim: _messages.Claim, now: float, sender: ids.HostId
    ) -> _messages.Message:
        """Grant a claim, or reply with the reason why not."""
        record = self._records.get(claim.key)
        verdict = self._rules.decide_claim(now, claim, record)
        self.verdict_counts[verdict] += 1
        if verdict is _Verdict.GRANTED:
            self._grant(now, claim, record)
            return _messages.ClaimReply(claim.key, claim.claim, verdict)
        return _messages.ClaimReply(
            claim.key,
            claim.claim,
            verdict,
            record.granted_claim(now) if record else None,
            record.outcome if record else None,
        )

    @_receive.register
    def _on_withdraw(
        self, message: _messages.Withdraw, now: float, sender: ids.HostId
    ) -> _messages.Message | None:
        """Release the sender's claims; fence attempts if nothing ran."""
        record = self._records.get(message.key)
        if record is not None and record.claim is not None:
            granted = record.claim
            is_proven = granted.claim in message.proven_unstarted
            if granted.claim in message.claims:
                if is_proven or not granted.unresolved:
                    record.claim = None
        if record is not None and not record.claim and not record.outcome:
            self._records.remove(message.key)
            record = None
        if not message.attempts:
            return None
        verdict = self._rules.fence(now, message, record)
        outcome = record.outcome if record else None
        return _messages.WithdrawReply(
            message.key, message.attempts, verdict, outcome
        )

    @_receive.register
    def _on_outcome(
        self, message: _messages.RecordOutcome, now: float, sender: ids.HostId
    ) -> _messages.Message | None:
        """Record an outcome; two claims on one key can't both have run."""
        record = self._records.get_or_create(now, message.key, message.keep_ms)
        if record is None:
            return None
        record.set_outcome(message.outcome)
        is_first = record.outcome == message.outcome
        return _messages.OutcomeAck(message.key, is_first)

    @_receive.register
    def _on_hand_over(
        self, message: _messages.HandOver, now: float, sender: ids.HostId
    ) -> None:
        """Store a leaving member's record of a key.

        A claim is stored only if this member could have granted one itself:
        the claims in its records count as granted.
        """
        key = message.key
        if message.fenced_attempts and not self._fences.fence(
            now, key, message.fenced_attempts, 0
        ):
            return
        if message.outcome is None and message.claim is None:
            self._received.add_key(sender, key, True)
            return
        is_authoritative = self._rules.is_authoritative(now, key)
        if message.outcome is None and not is_authoritative:
            return
        record = self._records.get_or_create(now, key, message.keep_ms)
        if record is None:
            return
        if message.outcome is not None:
            record.set_outcome(message.outcome)
        elif message.claim and not record.claim and not record.outcome:
            record.set_claim(now, message.claim)
        self._received.add_key(sender, key, False)

    @_receive.register
    def _on_hand_over_complete(
        self,
        message: _messages.HandOverComplete,
        now: float,
        sender: ids.HostId,
    ) -> _messages.HandOverAck | None:
        """Acknowledge a hand-over once it is complete."""
        return self._received.on_complete(sender, message)

    @_receive.register
    def _on_hand_over_ack(
        self, message: _messages.HandOverAck, now: float, sender: ids.HostId
    ) -> None:
        """Process the acknowledgement of this member's hand-over."""
        if self._hand_over_sender is not None:
            self._hand_over_sender.on_ack(sender, message)

    @_receive.register
    def _on_page_request(
        self, message: _messages.KeyPageRequest, now: float, sender: ids.HostId
    ) -> _messages.KeyPage | None:
        """Return a page of the own keys that a restarted member shares.

        None while this member is recovering itself, unless it has received
        the complete hand-over of the other one.
        """
        has_hand_over = self._received.has_hand_over(
            sender, message.incarnation
        )
        if not has_hand_over and not self._recovery.is_complete(now):
            return None
        known = (
            _recovery.fingerprint(key)
            for key in itertools.chain(self._records, self._fences.keys())
            if sender in self._groups.members(key)
        )
        return _recovery.make_page(message, known, has_hand_over)

    @_receive.register
    def _on_page(
        self, message: _messages.KeyPage, now: float, sender: ids.HostId
    ) -> None:
        """Process the keys that another member has recorded."""
        self._recovery.on_page(sender, message)

    def _grant(
        self,
        now: float,
        claim: _messages.Claim,
        record: _records.Record | None,
    ) -> None:
        """Store a granted claim; a repeated one keeps its first times."""
        if record is not None and record.claim is not None:
            if record.claim.claim == claim.claim:
                return
        record = self._records.get_or_create(now, claim.key, claim.keep_ms)
        if record is not None:
            record.set_claim(now, claim)

    def _make_hand_over(
        self,
        now: float,
        key: ids.RequestKey,
        fenced_attempts: tuple[_messages.AttemptId, ...],
    ) -> _messages.HandOver:
        """Return the record of a key as a message."""
        record = self._records.get(key)
        if record is None:
            return _messages.HandOver(key, None, None, 0, fenced_attempts)
        keep_ms = int((record.expires_at - now) * 1000)
        return _messages.HandOver(
            key, record.claim, record.outcome, keep_ms, fenced_attempts
        )


# Looked up by type: a bound singledispatchmethod is built for every call.
_handler = ClaimStore.__dict__["_receive"].dispatcher.dispatch
