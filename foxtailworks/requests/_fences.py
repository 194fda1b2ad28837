"""Fences against late runs of attempts that were refused as not run."""

import itertools
import typing

from foxtailworks import ids
from foxtailworks.requests import _messages

MAX_FENCED_ATTEMPTS = 30_000
FENCE_LIFETIME_S = 60.0
MAX_REFUSED_KEYS = 20_000


class Fences:
    """Fenced attempts in a two-generation set, and recently refused keys.

    A fence lasts for one to two lifetimes.  When a generation is full, no
    further attempt is fenced, and its outcome must be reported as unknown.
    """

    def __init__(self, max_attempts: int = MAX_FENCED_ATTEMPTS) -> None:
        self._max = max_attempts
        self._current: dict[_messages.AttemptId, ids.RequestKey] = {}
        self._previous: dict[_messages.AttemptId, ids.RequestKey] = {}
        self._rotated_at = 0.0
        self._refused_until: dict[ids.RequestKey, float] = {}

    def __len__(self) -> int:
        """Return the number of fenced attempts."""
        return len(self._current) + len(self._previous)

    def is_fenced(self, attempt: _messages.AttemptId) -> bool:
        """Return whether ``attempt`` must never be granted a claim."""
        return attempt in self._current or attempt in self._previous

    def recently_refused(self, now: float, key: ids.RequestKey) -> bool:
        """Return whether ``key`` was refused within its fence time."""
        until = self._refused_until.get(key)
        return until is not None and now < until

    def keys(self) -> typing.Iterator[ids.RequestKey]:
        """Return an iterator over the keys of all fenced attempts."""
        return itertools.chain(self._current.values(), self._previous.values())

    def items(
        self,
    ) -> typing.Iterator[tuple[_messages.AttemptId, ids.RequestKey]]:
        """Return an iterator over the fenced attempts and their keys."""
        return itertools.chain(self._current.items(), self._previous.items())

    def refused_keys(
        self, now: float
    ) -> typing.Iterator[tuple[ids.RequestKey, float]]:
        """Yield the recently refused keys and the seconds that are left."""
        left = (
            (key, until - now) for key, until in self._refused_until.items()
        )
        return ((key, seconds) for key, seconds in left if seconds > 0)

    def fence(
        self,
        now: float,
        key: ids.RequestKey,
        attempts: tuple[_messages.AttemptId, ...],
        refuse_for_s: float,
    ) -> bool:
        """Fence attempts and refuse their key for a time; false when full.

        :param refuse_for_s: seconds for which no claim on the key is granted
        """
        self.tick(now)
        if len(self._current) + len(attempts) > self._max:
            return False
        if (
            len(self._refused_until) >= MAX_REFUSED_KEYS
            and key not in self._refused_until
        ):
            return False
        self._current.update(dict.fromkeys(attempts, key))
        until = max(now + refuse_for_s, self._refused_until.pop(key, 0.0))
        self._refused_until[key] = until
        return True

    def restore(
        self,
        now: float,
        key: ids.RequestKey,
        attempts: tuple[_messages.AttemptId, ...],
        refuse_for_s: float,
    ) -> None:
        """Restore the fences from before a restart.

        Both old generations are merged into one, without a check of its bound:
        a lost fence might let a refused attempt run.
        """
        self.tick(now)
        self._current.update(dict.fromkeys(attempts, key))
        if refuse_for_s > 0:
            self._refused_until[key] = now + refuse_for_s

    def tick(self, now: float) -> None:
        """Remove expired fences and recently refused keys."""
        if now >= self._rotated_at + FENCE_LIFETIME_S:
            self._previous = self._current
            self._current = {}
            self._rotated_at = now
        while self._refused_until:
            key = next(iter(self._refused_until))
            if self._refused_until[key] > now:
                break
            del self._refused_until[key]
