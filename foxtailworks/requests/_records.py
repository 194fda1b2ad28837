"""The bounded table of what a member remembers of keys."""

import dataclasses
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.requests import _messages


@dataclasses.dataclass(slots=True)
class Record:
    """What is remembered of one key."""

    expires_at: float
    bucket: int
    """The second in which its expiry is looked at."""
    claim: _messages.Claim | None = None
    due_at: float = 0.0
    """When others may resolve the claim."""
    outcome: _messages.Outcome | None = None

    def stand(self, now: float, claim: _messages.Claim) -> None:
        """Let ``claim`` stand."""
        self.claim = claim
        self.due_at = now + claim.resolvable_after_ms / 1000

    def keep_outcome(self, outcome: _messages.Outcome) -> None:
        """Set the outcome once; two claims of a key can't both have run."""
        if self.outcome is None:
            self.outcome = outcome
            self.claim = None
        elif self.outcome.claim != outcome.claim:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "a key ran twice", claim=outcome.claim
            )

    def holder(self, now: float) -> _messages.Holder | None:
        """Describe the claim that stands."""
        if self.claim is None:
            return None
        return _messages.Holder(
            self.claim.claim,
            self.claim.attempt,
            self.claim.claimant,
            self.claim.upstream,
            self.claim.unresolved,
            int((self.due_at - now) * 1000),
        )


class Records:
    """Records by key, with a cap and an expiry.

    :param max_records: how many keys are remembered
    """

    def __init__(self, max_records: int) -> None:
        self._max = max_records
        self._records: dict[ids.RequestKey, Record] = {}
        self._buckets: dict[int, set[ids.RequestKey]] = {}

    def __len__(self) -> int:
        """Return how many keys are remembered."""
        return len(self._records)

    def __iter__(self) -> typing.Iterator[ids.RequestKey]:
        """Return the remembered keys."""
        return iter(self._records)

    @property
    def is_full(self) -> bool:
        """Return whether no further key can be remembered."""
        return len(self._records) >= self._max

    def get(self, key: ids.RequestKey) -> Record | None:
        """Return what is remembered of ``key``."""
        return self._records.get(key)

    def open(
        self, now: float, key: ids.RequestKey, keep_ms: int
    ) -> Record | None:
        """Return the record of ``key``, kept for longer; none when full."""
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

    def drop(self, key: ids.RequestKey) -> None:
        """Forget a key."""
        record = self._records.pop(key)
        self._buckets.get(record.bucket, set()).discard(key)

    def tick(self, now: float) -> None:
        """Let expired keys go."""
        for bucket in [item for item in self._buckets if item <= now]:
            for key in self._buckets.pop(bucket):
                self._expire(now, key)

    def _expire(self, now: float, key: ids.RequestKey) -> None:
        """Forget a key whose time has come, or look again later."""
        record = self._records[key]
        if record.expires_at <= now:
            del self._records[key]
            return
        record.bucket = int(record.expires_at) + 1
        self._buckets.setdefault(record.bucket, set()).add(key)
