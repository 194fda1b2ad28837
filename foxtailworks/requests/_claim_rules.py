"""Rules by which a group member grants claims and fences attempts."""

from foxtailworks import ids
from foxtailworks.requests import _fences
from foxtailworks.requests import _groups
from foxtailworks.requests import _messages
from foxtailworks.requests import _records
from foxtailworks.requests import _recovery

_Verdict = _messages.Verdict


def _placements(claim: _messages.Claim) -> set[_messages.Placement]:
    """Return the placements that may run because of ``claim``."""
    found = set(claim.unresolved)
    if claim.upstream:
        found.add(_messages.Placement(claim.claim, claim.upstream))
    return found


class ClaimRules:
    """Decides on claims and fences from the state of one member.

    :param host: host of the member
    :param groups: groups of hosts that decide on keys
    :param recovery: determines which keys a restarted member can decide on
    :param records: claims and outcomes of the member
    :param fences: fenced attempts and refused keys of the member
    """

    def __init__(
        self,
        host: ids.HostId,
        groups: _groups.KeyGroups,
        recovery: _recovery.Recovery,
        records: _records.Records,
        fences: _fences.Fences,
    ) -> None:
        self._host = host
        self._groups = groups
        self._recovery = recovery
        self._records = records
        self._fences = fences
        self._epoch = groups.epoch
        self._is_granting = True

    def stop_granting(self) -> None:
        """Grant no further claim and fence no further attempt."""
        self._is_granting = False

    def latest_epoch(self) -> int:
        """Return the latest epoch that this member has seen."""
        return max(self._epoch, self._groups.epoch)

    def raise_epoch(self, epoch: int) -> None:
        """Consider older epochs than ``epoch`` stale."""
        self._epoch = max(self._epoch, epoch)

    def decide_claim(
        self,
        now: float,
        claim: _messages.Claim,
        record: _records.Record | None,
    ) -> _Verdict:
        """Decide on a claim; of the state, only the epoch may change."""
        if self._is_stale(claim.epoch):
            return _Verdict.STALE
        if record is not None and record.outcome is not None:
            return _Verdict.DONE
        if record is not None and record.claim is not None:
            return self._decide_conflict(claim, record.claim)
        if self._fences.is_fenced(claim.attempt):
            return _Verdict.FENCED
        if self._fences.recently_refused(now, claim.key):
            return _Verdict.FENCED
        if not self.is_authoritative(now, claim.key):
            return _Verdict.RECOVERING
        if record is None and self._records.is_full:
            return _Verdict.FULL
        return _Verdict.GRANTED

    def _decide_conflict(
        self, claim: _messages.Claim, granted: _messages.Claim
    ) -> _Verdict:
        """Decide on a claim while another one is granted."""
        if claim.claim == granted.claim:
            return _Verdict.GRANTED
        if granted.claim not in claim.replaces:
            return _Verdict.CONFLICT
        own = (claim.claimant, claim.incarnation)
        if own == (granted.claimant, granted.incarnation):
            if (
                granted.claim in claim.proven_unstarted
                or not granted.unresolved
            ):
                return _Verdict.GRANTED
        if _placements(granted) <= set(claim.unresolved):
            return _Verdict.GRANTED
        return _Verdict.CONFLICT

    def fence(
        self,
        now: float,
        message: _messages.Withdraw,
        record: _records.Record | None,
    ) -> _Verdict:
        """Fence attempts if this member is sure that the key didn't run."""
        if self._is_stale(message.epoch):
            return _Verdict.STALE
        if record is not None:
            return _Verdict.DONE if record.outcome else _Verdict.CONFLICT
        if not self.is_authoritative(now, message.key):
            return _Verdict.RECOVERING
        refuse_for_s = message.refuse_for_ms / 1000
        if self._fences.fence(
            now, message.key, message.attempts, refuse_for_s
        ):
            return _Verdict.GRANTED
        return _Verdict.FULL

    def other_members(self, key: ids.RequestKey) -> list[ids.HostId]:
        """Return the members of the key's groups except this host."""
        members = self._groups.members(key)
        return [host for host in members if host != self._host]

    def _is_stale(self, epoch: int) -> bool:
        """Return whether ``epoch`` is older than the latest one seen."""
        self._epoch = max(self._epoch, self._groups.epoch)
        if epoch < self._epoch:
            return True
        self._epoch = epoch
        return False

    def is_authoritative(self, now: float, key: ids.RequestKey) -> bool:
        """Return whether this member can decide on ``key``."""
        if not self._is_granting:
            return False
        if self._recovery.is_complete(now):
            return True
        return self._recovery.is_authoritative(
            now, key, self.other_members(key)
        )
