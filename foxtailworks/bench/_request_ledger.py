"""Virtual time and the log by which the model's promises are judged."""

import collections
import heapq
import itertools
import typing

from foxtailworks.bench import _request_parts
from foxtailworks import ids
from foxtailworks import requests

RETENTION_S = 60.0
START_S = 100.0


class Ledger:
    """What ran, what callers were told, and when events are due."""

    def __init__(self) -> None:
        self.now = START_S
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: dict[ids.RequestKey, list[float]] = {}
        self.attempts: list[_request_parts.Attempt] = []
        self.refused: list[_request_parts.Attempt] = []
        self.reported_runs: collections.Counter[ids.RequestKey] = (
            collections.Counter()
        )
        self._serial = itertools.count(1)
        self._events: list[tuple[float, int, _request_parts.Event]] = []

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, event = heapq.heappop(self._events)
            self.now = max(self.now, at)
            event()
        self.now = end

    def at(self, delay_s: float, event: _request_parts.Event) -> None:
        """Do ``event`` later."""
        item = (self.now + delay_s, next(self._serial), event)
        heapq.heappush(self._events, item)

    def violation_counts(self) -> dict[str, int]:
        """Return the violations, all named."""
        names = ("run_twice", "false_not_run", "crossed")
        found = {name: self.counts[name] for name in names}
        found["counted_twice"] = sum(
            count > len(self.runs.get(key, ()))
            for key, count in self.reported_runs.items()
        )
        return found

    def _ran(self, key: ids.RequestKey) -> None:
        """Log a run and judge it."""
        runs = self.runs.setdefault(key, [])
        self.counts["run"] += 1
        newest = max(a.sent_at for a in self.attempts if a.key == key)
        if any(newest < at + RETENTION_S for at in runs):
            self.counts["run_twice"] += 1
        runs.append(self.now)
        for attempt in self.refused:
            if attempt.key == key and attempt.refused_at >= newest:
                self.counts["false_not_run"] += 1

    def _told(
        self, action: requests.Answer | requests.Refuse | requests.Unknown
    ) -> None:
        """Judge what a caller is told."""
        attempt = typing.cast(_request_parts.Attempt, action.handle)
        attempt.reply = type(action).__name__
        attempt.told_at = self.now
        self.counts[attempt.reply] += 1
        if isinstance(action, requests.Answer):
            if action.answer != _request_parts.answer_to(attempt.key):
                self.counts["crossed"] += 1
        if isinstance(action, requests.Refuse):
            runs = self.runs.get(attempt.key, ())
            if any(attempt.sent_at < at + RETENTION_S for at in runs):
                self.counts["false_not_run"] += 1
            attempt.refused_at = self.now
            self.refused.append(attempt)
