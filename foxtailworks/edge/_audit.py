"""Log lines and metrics for the events of flows."""

import bisect
from collections import abc
import dataclasses
import functools
import itertools

from foxtailworks import logs
from foxtailworks import steering

SUCCESSES_PER_S = 5.0
"""Log lines per second for successes: a sample, since a host sees hundreds a
second."""
FAILURES_PER_S = 50.0
"""Log lines per second for failures: all of them, except in an outage."""
BURST_S = 10.0
"""Burst size of both limits, as seconds' worth of lines."""
REPORT_S = 10.0
"""Interval at which the number of lines left out is logged."""
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the histograms' buckets, in seconds."""

_MS_PER_S = 1000
_EVENTS = logs.Events("flows")

Describe = abc.Callable[[steering.FlowKey], str]
"""Returns a flow as text: the addresses of its caller and destination."""


@dataclasses.dataclass
class Histogram:
    """Histogram of durations with fixed buckets."""

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BOUNDS_S) + 1)
    )
    """Count for each bound, and one for durations above the last bound."""
    total_s: float = 0.0
    """Sum of all durations in seconds."""

    def add(self, seconds: float) -> None:
        """Add one duration to its bucket."""
        self.counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds

    def cumulative(self) -> abc.Iterator[tuple[str, int]]:
        """Yield each upper bound with the count of durations up to it."""
        names = [*(f"{bound:g}" for bound in BOUNDS_S), "+Inf"]
        return zip(names, itertools.accumulate(self.counts), strict=True)


@dataclasses.dataclass
class Metrics:
    """Counters and histograms since the start of the process."""

    placed: int = 0
    """SYNs sent to an upstream."""
    placed_again: int = 0
    """Those of them sent to a further upstream of the same flow."""
    unanswered: int = 0
    """SYNs without an answer before the timeout."""
    ended: dict[steering.Ending, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(steering.Ending, 0)
    )
    """Flows that ended, by reason."""
    rejected: dict[steering.Reason, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(steering.Reason, 0)
    )
    """Packets that weren't forwarded, by reason."""
    answer: Histogram = dataclasses.field(default_factory=Histogram)
    """Time to the answer to a SYN, as seen from this host."""
    duration: Histogram = dataclasses.field(default_factory=Histogram)
    """Time from SYN to close of flows that were closed."""


class Audit:
    """Logs and counts the events of steering.

    :param describe: returns a flow as text; called only for lines logged
    """

    def __init__(self, describe: Describe) -> None:
        self.describe = describe
        self.metrics = Metrics()
        self._successes = logs.RateLimiter(
            SUCCESSES_PER_S, SUCCESSES_PER_S * BURST_S
        )
        self._failures = logs.RateLimiter(
            FAILURES_PER_S, FAILURES_PER_S * BURST_S
        )
        self._report_at = 0.0
        self._reported = 0

    def record(self, events: abc.Iterable[steering.Event], now: float) -> None:
        """Count events and log those within the rate limits."""
        for event in events:
            _record(event, self, now)
        self._report_left_out(now)

    def may_log(self, is_failure: bool, now: float) -> bool:
        """Tell whether the rate limit allows one more line."""
        budget = self._failures if is_failure else self._successes
        return budget.try_acquire(now)

    def _report_left_out(self, now: float) -> None:
        """Log the number of lines left out, at intervals."""
        left_out = self._successes.suppressed + self._failures.suppressed
        if now < self._report_at or left_out == self._reported:
            return
        self._report_at = now + REPORT_S
        self._reported = left_out
        _EVENTS.info(
            "lines_left_out",
            successes=self._successes.suppressed,
            failures=self._failures.suppressed,
        )


def _ms(seconds: float) -> int:
    """Return a duration in whole milliseconds."""
    return round(seconds * _MS_PER_S)


@functools.singledispatch
def _record(event: object, audit: Audit, now: float) -> None:
    """Count an event and log it within the rate limits."""
    raise TypeError(f"not an event of steering: {event!r}")


@_record.register
def _(event: steering.Placed, audit: Audit, now: float) -> None:
    audit.metrics.placed += 1
    audit.metrics.placed_again += event.attempt > 1
    if audit.may_log(event.attempt > 1, now):
        _EVENTS.info(
            "flow_placed",
            flow=audit.describe(event.flow),
            upstream=event.upstream[0],
            born=event.upstream[1],
            copy=event.retransmission,
            attempt=event.attempt,
            candidates=event.candidates,
            open_here=event.open_flows,
            listed_ms=_ms(event.listed_age_s),
            revision=event.revision,
        )


@_record.register
def _(event: steering.Answered, audit: Audit, now: float) -> None:
    audit.metrics.answer.add(event.after_s)


@_record.register
def _(event: steering.Unanswered, audit: Audit, now: float) -> None:
    audit.metrics.unanswered += 1
    if audit.may_log(True, now):
        _EVENTS.info(
            "opening_unanswered",
            flow=audit.describe(event.flow),
            upstream=event.upstream[0],
            after_ms=_ms(event.after_s),
        )


@_record.register
def _(event: steering.Ended, audit: Audit, now: float) -> None:
    audit.metrics.ended[event.ending] += 1
    is_closed = event.ending is steering.Ending.CLOSED
    if is_closed and event.lasted_s is not None:
        audit.metrics.duration.add(event.lasted_s)
    if audit.may_log(not is_closed, now):
        lasted_s = event.lasted_s
        _EVENTS.info(
            "flow_ended",
            flow=audit.describe(event.flow),
            upstream=event.upstream[0],
            ending=event.ending,
            tried=event.tried,
            lasted_ms="unseen" if lasted_s is None else _ms(lasted_s),
        )


@_record.register
def _(event: steering.Rejected, audit: Audit, now: float) -> None:
    audit.metrics.rejected[event.reason] += 1
    if not audit.may_log(True, now):
        return
    fields = {
        "flow": audit.describe(event.flow),
        "reason": event.reason,
        "token": event.token,
        "revision": event.revision,
    }
    if event.was_reset:
        _EVENTS.info("flow_refused", **fields)
    else:
        _EVENTS.info("packet_dropped", **fields)
