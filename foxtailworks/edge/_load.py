"""When an edge host reports its load, to whom, and which views it takes.

Designed for 72 hosts that have 0.6 flows on average: a host reports while it
has flows and for a second afterwards, so that a view is at hand for the next
flow.
"""

from collections import abc
import dataclasses
import math

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import polling
from foxtailworks import steering

ACTIVE_S = 1.0
"""Time after its last flow for which a host goes on reporting."""
SILENT_S = 0.35
"""Time without a view, after a report, at which the host reports to the next
coordinator: one lost view is no reason, and the next one's first view comes
before the last one is 1 s old."""
RETRY_S = 2.0
"""Interval between reports while no coordinator sends views: those of the
last release can't decode a report and log each one."""
_LOG_INTERVAL_S = 10.0
# Shortest interval between two log lines on dropped views.

_EVENTS = logs.Events("edge")


@dataclasses.dataclass(frozen=True, slots=True)
class DueReport:
    """A report to send now."""

    msg: polling.LoadReport
    """The report."""
    target: ids.Address
    """Coordinator that it is sent to."""


class LoadReporter:
    """Reports the load of this host's flows and takes the view of all.

    :param is_enabled: without it nothing is reported, and views are ignored
    :param view: load of all hosts, as steering uses it
    """

    def __init__(self, is_enabled: bool, view: steering.LoadView) -> None:
        self._is_enabled = is_enabled
        self._view = view
        self._target: ids.Address | None = None
        self._active_until = float("-inf")
        self._next_report_at = float("-inf")
        self._awaited_since: float | None = None
        self._silent_count = 0
        self._has_view = False
        self._next_log_at = float("-inf")
        self.dropped_count = 0
        """Views dropped because they were malformed."""

    def gauges(self, now: float) -> dict[str, tuple[str, float]]:
        """Return the metrics; none while the view of load is disabled."""
        if not self._is_enabled:
            return {}
        age_s = self._view.age_s(now)
        return {
            "load_view_age_seconds": (
                "Age of the view of load; -1 before the first.",
                age_s if math.isfinite(age_s) else -1.0,
            ),
            "load_view_upstreams": (
                "Upstreams in the view of load.",
                float(self._view.listed_count),
            ),
            "load_views_dropped": (
                "Malformed views of load.",
                float(self.dropped_count),
            ),
            "flows_sent_away": (
                "New flows sent out of the zone by load.",
                float(self._view.sent_away_count),
            ),
        }

    def on_view(
        self, msg: polling.LoadView, src: ids.Address, now: float
    ) -> None:
        """Use a view of the coordinator that this host reports to.

        Others, to which it reported before, send views for a second more.
        """
        if not self._is_enabled or src != self._target:
            return
        try:
            loads = polling.unpack_loads(msg.loads)
        except errors.FoxtailError as exc:
            self._drop(exc, now)
            return
        self._view.put(loads, now)
        self._next_report_at = now + polling.REPORT_AFTER_S
        self._awaited_since = None
        self._silent_count = 0
        if not self._has_view:
            self._has_view = True
            _EVENTS.info("load_view_used", coordinator=src)

    def due(
        self, followed: abc.Callable[[], tuple[ids.Address, ...]], now: float
    ) -> DueReport | None:
        """Return the report to send now; None if there is none.

        :param followed: returns the coordinators that this host follows, in
            its order
        """
        if not self._is_enabled or not self._is_active(now):
            return None
        self._log_if_lost(now)
        if now < self._next_report_at:
            return None
        target = self._choose_target(followed(), now)
        if target is None:
            return None
        if self._awaited_since is None:
            self._awaited_since = now
        self._next_report_at = now + self._interval_s()
        loads = polling.pack_loads(self._view.take_report())
        return DueReport(polling.LoadReport(loads), target)

    def _is_active(self, now: float) -> bool:
        """Return whether the host has, or recently had, flows."""
        was_active = now < self._active_until
        if self._view.has_own_load:
            self._active_until = now + ACTIVE_S
        if not was_active:
            self._awaited_since = None
        return now < self._active_until

    def _choose_target(
        self, followed: tuple[ids.Address, ...], now: float
    ) -> ids.Address | None:
        """Return the coordinator to report to; the next one after silence."""
        if not followed:
            return None
        if self._target not in followed:
            self._target = followed[0]
            self._awaited_since = None
        since = self._awaited_since
        if since is not None and now - since >= SILENT_S:
            position = followed.index(self._target) + 1
            self._target = followed[position % len(followed)]
            self._awaited_since = None
            self._silent_count += 1
        return self._target

    def _interval_s(self) -> float:
        """Return the time to the next report unless a view comes."""
        if self._silent_count < polling.FOLLOWED:
            return polling.LOAD_INTERVAL_S
        return RETRY_S

    def _log_if_lost(self, now: float) -> None:
        """Log that an active host has no valid view any more."""
        since = self._awaited_since
        is_lost = since is not None and not self._view.is_valid(now)
        if self._has_view and is_lost and now - (since or now) >= SILENT_S:
            self._has_view = False
            _EVENTS.warning("own_load_used", age_s=self._view.age_s(now))

    def _drop(self, exc: errors.FoxtailError, now: float) -> None:
        """Count a malformed view and log it, at most once in a while."""
        self.dropped_count += 1
        if now >= self._next_log_at:
            self._next_log_at = now + _LOG_INTERVAL_S
            _EVENTS.failed("load_view_dropped", exc)
