"""Bounded table of a member's claims and outcomes by key."""

import dataclasses
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.requests import _messages


@dataclasses.dataclass(slots=True)
class Record:
    """Claim and outcome of one key at a member."""

    expires_at: float
    bucket: int
    """Second of the monotonic clock at which its expiry is checked."""
    claim: _messages.Claim | None = None
    resolvable_at: float = 0.0
    """Monotonic seconds from which others may resolve the claim."""
    outcome: _messages.Outcome | None = None

    def set_claim(self, now: float, claim: _messages.Claim) -> None:
        """Set ``claim`` as the granted claim."""
        self.claim = claim
        self.resolvable_at = now + claim.resolvable_after_ms / 1000

    def set_outcome(self, outcome: _messages.Outcome) -> None:
        """Set the outcome once and release the claim.

        :raises FoxtailError: ``INTERNAL`` if two claims of a key have run
        """
        if self.outcome is None:
            self.outcome = outcome
            self.claim = None
        elif self.outcome.claim != outcome.claim:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "a key ran twice", claim=outcome.claim
            )

    def granted_claim(self, now: float) -> _messages.GrantedClaim | None:
        """Return the granted claim for a reply; none if there is none."""
        if self.claim is None:
            return None
        return _messages.GrantedClaim(
            self.claim.claim,
            self.claim.attempt,
            self.claim.claimant,
            self.claim.upstream,
            self.claim.unresolved,
            int((self.resolvable_at - now) * 1000),
        )


class Records:
    """Records by key, bounded in number, that expire.

    :param max_records: maximum number of keys
    """

    def __init__(self, max_records: int) -> None:
        self._max = max_records
        self._records: dict[ids.RequestKey, Record] = {}
        self._buckets: dict[int, set[ids.RequestKey]] = {}

    def __len__(self) -> int:
        """Return the number of recorded keys."""
        return len(self._records)

    def __iter__(self) -> typing.Iterator[ids.RequestKey]:
        """Return an iterator over the recorded keys."""
        return iter(self._records)

    @property
    def is_full(self) -> bool:
        """Return whether the table has reached its maximum size."""
        return len(self._records) >= self._max

    def get(self, key: ids.RequestKey) -> Record | None:
        """Return the record of ``key``, if there is one."""
        return self._records.get(key)

    def get_or_create(
        self, now: float, key: ids.RequestKey, keep_ms: int
    ) -> Record | None:
        """Return the record of ``key``, new if need be; none when full.

        :param keep_ms: minimum lifetime from ``now``, in milliseconds
        """
        expires_at = now + keep_ms / 1000
        record = self._records.get(key)
        if record is not None:
            record.expires_at = max(record.expires_at, expires_at)
            return record
        if self.is_full:
            return None
        record = Record(expires_at, int(expires_at) + 1)
        self._records[key] = record
        self._buckets.setdefault(record.bucket, set()).add(key)
        return record

    def remove(self, key: ids.RequestKey) -> None:
        """Remove the record of a key."""
        record = self._records.pop(key)
        self._buckets.get(record.bucket, set()).discard(key)

    def tick(self, now: float) -> None:
        """Remove the records that have expired."""
        for bucket in [item for item in self._buckets if item <= now]:
            for key in self._buckets.pop(bucket):
                self._expire(now, key)

    def _expire(self, now: float, key: ids.RequestKey) -> None:
        """Remove a key that has expired, or move it to a later bucket."""
        record = self._records[key]
        if record.expires_at <= now:
            del self._records[key]
            return
        record.bucket = int(record.expires_at) + 1
        self._buckets.setdefault(record.bucket, set()).add(key)
