"""A group member's memory: claims, outcomes and refused attempts."""

import collections
import functools
import itertools

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.requests import _fences
from foxtailworks.requests import _groups
from foxtailworks.requests import _hand_over
from foxtailworks.requests import _messages
from foxtailworks.requests import _records
from foxtailworks.requests import _recovery
from foxtailworks.requests import _saved_state

MAX_RECORDS = 50_000
_Verdict = _messages.Verdict


def _placements(claim: _messages.Claim) -> set[_messages.Placement]:
    """Return what may run on account of ``claim``."""
    found = set(claim.unresolved)
    if claim.upstream:
        found.add(_messages.Placement(claim.claim, claim.upstream))
    return found


class ClaimStore:
    """Grants at most one claim for each key and keeps outcomes.

    A claim leaves the store only by its owner's withdrawal (the owner never
    placed it), by one that names it as replaced and keeps its placements as
    unresolved, by an outcome, or by its expiry.  When the store is full it
    grants no new key.

    :param host: whose memory it is
    :param groups: the groups of keys
    :param recovery: what a restarted member must read first
    :param max_records: how many keys are remembered
    :param incarnation: of this start of the process
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
        self._epoch = groups.epoch
        self._incarnation = incarnation
        self._hand_over = _hand_over.Departures()
        self._leaving: _hand_over.HandOver | None = None
        self.counts: collections.Counter[_Verdict] = collections.Counter()

    def __len__(self) -> int:
        """Return how many keys are remembered."""
        return len(self._records)

    def receive(
        self, message: object, now: float, sender: ids.HostId
    ) -> _messages.Message | None:
        """Take in a message and return the reply to its sender."""
        reply: _messages.Message | None
        reply = _handler(type(message))(self, message, now, sender)
        return reply

    @functools.singledispatchmethod
    def _receive(
        self, message: object, now: float, sender: ids.HostId
    ) -> _messages.Message | None:
        """Refuse what isn't for a store."""
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "not for a store", kind=type(message)
        )

    def tick(self, now: float) -> list[tuple[ids.HostId, _messages.Message]]:
        """Let expired keys go; return what to ask or to hand over."""
        self._records.tick(now)
        self._fences.tick(now)
        if self._leaving is not None:
            return list(self._leaving.due(now))
        others = (h for h, _ in self._groups.roster.hosts if h != self._host)
        asked = self._recovery.ask(now, others, self._incarnation)
        return list[tuple[ids.HostId, _messages.Message]](asked)

    def hand_over(self, now: float) -> None:
        """Grant nothing from now on and give all to the others."""
        parts: dict[ids.HostId, list[_messages.HandOver]] = {
            host: [] for host, _ in self._groups.roster.hosts
        }
        parts.pop(self._host, None)
        marks = _hand_over.marks_by_key(self._fences)
        for key in dict.fromkeys((*self._records, *marks)):
            last = marks.get(key, ())[-_messages.MAX_ATTEMPTS :]
            message = self._describe(now, key, last)
            for host in self._others(key):
                parts.setdefault(host, []).append(message)
        self._leaving = _hand_over.HandOver(now, self._incarnation, parts)

    def is_handed_over(self, now: float) -> bool:
        """Return whether the hand-over is done."""
        return self._leaving is not None and self._leaving.is_done(now)

    def saved_state(self, now: float) -> _saved_state.SavedState | None:
        """Return all that is remembered, for the next start of this host.

        None while this member itself doesn't know all that an earlier start
        has granted.

        :raises FoxtailError: ``INTERNAL`` while this member still grants
        """
        if self._leaving is None:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "a memory that still grows isn't whole"
            )
        if not self._recovery.is_over(now):
            return None
        marks = _hand_over.marks_by_key(self._fences)
        return _saved_state.SavedState(
            self._host,
            max(self._epoch, self._groups.epoch),
            tuple(
                self._describe(now, key, marks.get(key, ()))
                for key in dict.fromkeys((*self._records, *marks))
            ),
            tuple(_saved_state.quiet_keys(self._fences, now)),
        )

    def restore(self, memory: _saved_state.SavedState, now: float) -> None:
        """Take back what this host remembered when it last stopped.

        Only before this member has granted anything.

        :raises FoxtailError: ``INTERNAL`` when it is another host's
        """
        if memory.host != self._host:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "another host's memory", of=memory.host
            )
        self._epoch = max(self._epoch, memory.epoch)
        _saved_state.recall(memory, self._records, self._fences, now)

    @_receive.register
    def _on_claim(
        self, claim: _messages.Claim, now: float, sender: ids.HostId
    ) -> _messages.Message:
        """Grant a claim, or say what stands against it."""
        record = self._records.get(claim.key)
        verdict = self._judge_claim(now, claim, record)
        self.counts[verdict] += 1
        if verdict is _Verdict.GRANTED:
            self._grant(now, claim, record)
            return _messages.ClaimReply(claim.key, claim.claim, verdict)
        return _messages.ClaimReply(
            claim.key,
            claim.claim,
            verdict,
            record.holder(now) if record else None,
            record.outcome if record else None,
        )

    @_receive.register
    def _on_withdraw(
        self, message: _messages.Withdraw, now: float, sender: ids.HostId
    ) -> _messages.Message | None:
        """Let the sender's claims go; mark attempts if nothing ran."""
        record = self._records.get(message.key)
        if record is not None and record.claim is not None:
            held = record.claim
            is_proven = held.claim in message.proven
            if held.claim in message.claims:
                if is_proven or not held.unresolved:
                    record.claim = None
        if record is not None and not record.claim and not record.outcome:
            self._records.drop(message.key)
            record = None
        if not message.attempts:
            return None
        verdict = self._judge_marks(now, message, record)
        outcome = record.outcome if record else None
        return _messages.WithdrawReply(
            message.key, message.attempts, verdict, outcome
        )

    @_receive.register
    def _on_outcome(
        self, message: _messages.RecordOutcome, now: float, sender: ids.HostId
    ) -> _messages.Message | None:
        """Keep an outcome; two claims of one key can't both have run."""
        record = self._records.open(now, message.key, message.keep_ms)
        if record is None:
            return None
        record.keep_outcome(message.outcome)
        is_first = record.outcome == message.outcome
        return _messages.OutcomeAck(message.key, is_first)

    @_receive.register
    def _on_hand_over(
        self, message: _messages.HandOver, now: float, sender: ids.HostId
    ) -> None:
        """Keep what a leaving member knows of a key.

        A claim is kept only where this member could have granted one: what
        stands in its records counts as granted.
        """
        key = message.key
        if message.marks and not self._fences.mark(now, key, message.marks, 0):
            return
        if message.outcome is None and message.claim is None:
            self._hand_over.keep(sender, key, True)
            return
        vouches = self._vouches(now, key)
        if message.outcome is None and not vouches:
            return
        record = self._records.open(now, key, message.keep_ms)
        if record is None:
            return
        if message.outcome is not None:
            record.keep_outcome(message.outcome)
        elif message.claim and not record.claim and not record.outcome:
            record.stand(now, message.claim)
        self._hand_over.keep(sender, key, False)

    @_receive.register
    def _on_left(
        self, message: _messages.Left, now: float, sender: ids.HostId
    ) -> _messages.LeftAck | None:
        """Acknowledge a hand-over that is whole."""
        return self._hand_over.leave(sender, message)

    @_receive.register
    def _on_left_ack(
        self, message: _messages.LeftAck, now: float, sender: ids.HostId
    ) -> None:
        """Note who keeps what this member has handed over."""
        if self._leaving is not None:
            self._leaving.acked(sender, message)

    @_receive.register
    def _on_page_request(
        self, message: _messages.PageRequest, now: float, sender: ids.HostId
    ) -> _messages.Page | None:
        """Tell a restarted member which of its keys are remembered."""
        is_heir = self._hand_over.is_heir(sender, message.incarnation)
        if not is_heir and not self._recovery.is_over(now):
            return None
        known = (
            _recovery.fingerprint(key)
            for key in itertools.chain(self._records, self._fences.keys())
            if sender in self._groups.members(key)
        )
        return _recovery.make_page(message, known, is_heir)

    @_receive.register
    def _on_page(
        self, message: _messages.Page, now: float, sender: ids.HostId
    ) -> None:
        """Read what another member remembers."""
        self._recovery.read(sender, message)

    def _judge_claim(
        self,
        now: float,
        claim: _messages.Claim,
        record: _records.Record | None,
    ) -> _Verdict:
        """Decide over a claim without changing anything."""
        if self._is_stale(claim.epoch):
            return _Verdict.STALE
        if record is not None and record.outcome is not None:
            return _Verdict.DONE
        if record is not None and record.claim is not None:
            return self._judge_against(claim, record.claim)
        if self._fences.holds(claim.attempt):
            return _Verdict.FENCED
        if self._fences.is_quiet(now, claim.key):
            return _Verdict.FENCED
        if not self._vouches(now, claim.key):
            return _Verdict.RECOVERING
        if record is None and self._records.is_full:
            return _Verdict.FULL
        return _Verdict.GRANTED

    def _judge_against(
        self, claim: _messages.Claim, held: _messages.Claim
    ) -> _Verdict:
        """Decide over a claim while another one stands."""
        if claim.claim == held.claim:
            return _Verdict.GRANTED
        if held.claim not in claim.replaces:
            return _Verdict.HELD
        own = (claim.claimant, claim.incarnation)
        if own == (held.claimant, held.incarnation):
            if held.claim in claim.proven or not held.unresolved:
                return _Verdict.GRANTED
        if _placements(held) <= set(claim.unresolved):
            return _Verdict.GRANTED
        return _Verdict.HELD

    def _judge_marks(
        self,
        now: float,
        message: _messages.Withdraw,
        record: _records.Record | None,
    ) -> _Verdict:
        """Mark attempts if this member can vouch that the key didn't run."""
        if self._is_stale(message.epoch):
            return _Verdict.STALE
        if record is not None:
            return _Verdict.DONE if record.outcome else _Verdict.HELD
        if not self._vouches(now, message.key):
            return _Verdict.RECOVERING
        quiet_s = message.quiet_ms / 1000
        if self._fences.mark(now, message.key, message.attempts, quiet_s):
            return _Verdict.GRANTED
        return _Verdict.FULL

    def _grant(
        self,
        now: float,
        claim: _messages.Claim,
        record: _records.Record | None,
    ) -> None:
        """Let ``claim`` stand; a repeated one keeps its first times."""
        if record is not None and record.claim is not None:
            if record.claim.claim == claim.claim:
                return
        record = self._records.open(now, claim.key, claim.keep_ms)
        if record is not None:
            record.stand(now, claim)

    def _describe(
        self,
        now: float,
        key: ids.RequestKey,
        marks: tuple[_messages.AttemptId, ...],
    ) -> _messages.HandOver:
        """Return all that is known of a key."""
        record = self._records.get(key)
        if record is None:
            return _messages.HandOver(key, None, None, 0, marks)
        keep_ms = int((record.expires_at - now) * 1000)
        return _messages.HandOver(
            key, record.claim, record.outcome, keep_ms, marks
        )

    def _others(self, key: ids.RequestKey) -> list[ids.HostId]:
        """Return the other members of the key's groups."""
        members = self._groups.members(key)
        return [host for host in members if host != self._host]

    def _is_stale(self, epoch: int) -> bool:
        """Return whether the sender's roster is older than a known one."""
        self._epoch = max(self._epoch, self._groups.epoch)
        if epoch < self._epoch:
            return True
        self._epoch = epoch
        return False

    def _vouches(self, now: float, key: ids.RequestKey) -> bool:
        """Return whether this member remembers all that it granted."""
        if self._leaving is not None:
            return False
        if self._recovery.is_over(now):
            return True
        return self._recovery.vouches(now, key, self._others(key))


# Looked up by type: a bound singledispatchmethod is built for every call.
_handler = ClaimStore.__dict__["_receive"].dispatcher.dispatch
