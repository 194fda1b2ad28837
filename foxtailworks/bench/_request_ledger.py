"""Virtual time and the log that checks the model's guarantees."""

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
    """Log of runs and replies, with the queue of future events."""

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
        """Run events for ``seconds`` of virtual time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, event = heapq.heappop(self._events)
            self.now = max(self.now, at)
            event()
        self.now = end

    def schedule(self, delay_s: float, event: _request_parts.Event) -> None:
        """Schedule ``event`` after ``delay_s`` seconds."""
        item = (self.now + delay_s, next(self._serial), event)
        heapq.heappush(self._events, item)

    def violation_counts(self) -> dict[str, int]:
        """Return the number of violations of each kind."""
        names = ("run_twice", "false_not_run", "crossed")
        found = {name: self.counts[name] for name in names}
        found["counted_twice"] = sum(
            count > len(self.runs.get(key, ()))
            for key, count in self.reported_runs.items()
        )
        return found

    def _record_run(self, key: ids.RequestKey) -> None:
        """Log a run and count it if it violates a guarantee."""
        runs = self.runs.setdefault(key, [])
        self.counts["run"] += 1
        newest = max(a.sent_at for a in self.attempts if a.key == key)
        if any(newest < at + RETENTION_S for at in runs):
            self.counts["run_twice"] += 1
        runs.append(self.now)
        for attempt in self.refused:
            if attempt.key == key and attempt.refused_at >= newest:
                self.counts["false_not_run"] += 1

    def _record_reply(
        self, action: requests.Answer | requests.Refuse | requests.Unknown
    ) -> None:
        """Log the reply to a caller and count it if it is wrong."""
        attempt = typing.cast(_request_parts.Attempt, action.handle)
        attempt.reply = type(action).__name__
        attempt.replied_at = self.now
        self.counts[attempt.reply] += 1
        if isinstance(action, requests.Answer):
            if action.answer != _request_parts.expected_answer(attempt.key):
                self.counts["crossed"] += 1
        if isinstance(action, requests.Refuse):
            runs = self.runs.get(attempt.key, ())
            if any(attempt.sent_at < at + RETENTION_S for at in runs):
                self.counts["false_not_run"] += 1
            attempt.refused_at = self.now
            self.refused.append(attempt)
