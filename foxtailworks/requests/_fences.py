"""Attempts that were told that they didn't run, and must not run later."""

import itertools
import typing

from foxtailworks import ids
from foxtailworks.requests import _messages

MAX_MARKS = 30_000
MARK_LIFETIME_S = 60.0
MAX_QUIET_KEYS = 20_000


class Fences:
    """Marks of refused attempts in two generations, and quiet keys.

    A mark lives for one to two lifetimes.  A full generation refuses new
    marks; who asked must then say that the outcome is unknown.
    """

    def __init__(self, max_marks: int = MAX_MARKS) -> None:
        self._max = max_marks
        self._young: dict[_messages.AttemptId, ids.RequestKey] = {}
        self._old: dict[_messages.AttemptId, ids.RequestKey] = {}
        self._turned_at = 0.0
        self._quiet: dict[ids.RequestKey, float] = {}

    def __len__(self) -> int:
        """Return how many attempts are marked."""
        return len(self._young) + len(self._old)

    def holds(self, attempt: _messages.AttemptId) -> bool:
        """Return whether ``attempt`` was marked."""
        return attempt in self._young or attempt in self._old

    def is_quiet(self, now: float, key: ids.RequestKey) -> bool:
        """Return whether ``key`` was refused of late."""
        until = self._quiet.get(key)
        return until is not None and now < until

    def keys(self) -> typing.Iterator[ids.RequestKey]:
        """Return the keys of all marks."""
        return itertools.chain(self._young.values(), self._old.values())

    def items(
        self,
    ) -> typing.Iterator[tuple[_messages.AttemptId, ids.RequestKey]]:
        """Return all marked attempts and their keys."""
        return itertools.chain(self._young.items(), self._old.items())

    def quiet_keys(
        self, now: float
    ) -> typing.Iterator[tuple[ids.RequestKey, float]]:
        """Return the keys that are quiet, and for how many seconds."""
        left = ((key, until - now) for key, until in self._quiet.items())
        return ((key, seconds) for key, seconds in left if seconds > 0)

    def mark(
        self,
        now: float,
        key: ids.RequestKey,
        attempts: tuple[_messages.AttemptId, ...],
        quiet_s: float,
    ) -> bool:
        """Mark attempts and quiet their key; false when full."""
        self.tick(now)
        if len(self._young) + len(attempts) > self._max:
            return False
        if len(self._quiet) >= MAX_QUIET_KEYS and key not in self._quiet:
            return False
        self._young.update(dict.fromkeys(attempts, key))
        until = max(now + quiet_s, self._quiet.pop(key, 0.0))
        self._quiet[key] = until
        return True

    def restore(
        self,
        now: float,
        key: ids.RequestKey,
        attempts: tuple[_messages.AttemptId, ...],
        quiet_s: float,
    ) -> None:
        """Put back what was marked before a restart.

        Both generations of before come into one, so that no bound is asked
        again: a mark that were lost might let a refused attempt run.
        """
        self.tick(now)
        self._young.update(dict.fromkeys(attempts, key))
        if quiet_s > 0:
            self._quiet[key] = now + quiet_s

    def tick(self, now: float) -> None:
        """Let old marks and quiet keys go."""
        if now >= self._turned_at + MARK_LIFETIME_S:
            self._old = self._young
            self._young = {}
            self._turned_at = now
        while self._quiet:
            key = next(iter(self._quiet))
            if self._quiet[key] > now:
                break
            del self._quiet[key]
