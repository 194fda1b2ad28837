"""Sum of the load that edge hosts report, shared with all coordinators.

Designed for 72 hosts that report five times a second to one of 6 coordinators
each, and bounded for 690 hosts and 3,900 upstreams.
"""

import collections
from collections import abc
import dataclasses

from foxtailworks.coordinator import _messages
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import polling

VALID_S = 1.0
"""Time for which a report or a sum is valid: four more may be lost. A host
that was killed counts for so long."""
MAX_SOURCES = 4096
"""Maximum number of hosts, and of coordinators, whose counts are kept."""
VIEW_DELAY_S = 0.05
"""Time from a coordinator's sum to its view: a tick, in which the sums of the
others arrive."""
PROBE_S = 2.0
"""Interval between sums to coordinators that send none: one of the last
release can't decode a sum and logs each one."""
_MIN_INTERVAL_S = polling.LOAD_INTERVAL_S / 2
# Shortest interval between two sums, when another coordinator sets the pace.
_LOG_INTERVAL_S = 10.0
# Shortest interval between two log lines on dropped messages.

_EVENTS = logs.Events("coordinator")


@dataclasses.dataclass(frozen=True, slots=True)
class DueLoads:
    """A message to send now."""

    msg: _messages.LoadSum | polling.LoadView
    """A sum for the other coordinators, or a view for hosts."""
    targets: tuple[ids.Address, ...]
    """Coordinators, or the hosts that report to this one."""


class LoadCounts:
    """Last counts of several sources, which expire."""

    def __init__(self) -> None:
        self._counts: dict[ids.Address, tuple[float, dict[int, int]]] = {}

    def put(
        self, source: ids.Address, loads: dict[int, int], now: float
    ) -> bool:
        """Replace the counts of a source; return false when full."""
        if source not in self._counts and len(self._counts) >= MAX_SOURCES:
            return False
        self._counts[source] = now + VALID_S, loads
        return True

    def expire(self, now: float) -> None:
        """Remove the counts that aren't valid any more."""
        for source, (valid_until, _) in list(self._counts.items()):
            if valid_until <= now:
                del self._counts[source]

    def sources(self) -> tuple[ids.Address, ...]:
        """Return the sources whose counts are kept."""
        return tuple(self._counts)

    def add_to(self, total: collections.Counter[int]) -> None:
        """Add the counts of all sources to a total."""
        for _, loads in self._counts.values():
            total.update(loads)


class LoadExchange:
    """Collects reports and sums, and makes the sums and views to send.

    Coordinators send their sums at the same moment, that of the one with the
    lowest address, and their views a tick later.  Sums at different moments
    made a view 0.1 s older on average.

    :param me: listen address of this coordinator
    :param is_enabled: without it nothing is collected or sent
    :param is_host: whether an address is one of a host that follows
    :param peers: returns the addresses of the other coordinators
    """

    def __init__(
        self,
        me: ids.Address,
        is_enabled: bool,
        is_host: abc.Callable[[ids.Address], bool],
        peers: abc.Callable[[], tuple[ids.Address, ...]],
    ) -> None:
        self._me = me
        self._is_enabled = is_enabled
        self._is_host = is_host
        self._addresses_of_peers = peers
        self._hosts = LoadCounts()
        self._peers = LoadCounts()
        self._last_sum_at = float("-inf")
        self._next_sum_at = 0.0
        self._next_view_at = float("inf")
        self._next_probe_at = 0.0
        self._next_log_at = 0.0
        self.dropped_count = 0
        """Reports and sums that were malformed, of strangers, or too many."""

    def on_message(
        self,
        msg: polling.LoadReport | _messages.LoadSum,
        src: ids.Address,
        now: float,
    ) -> None:
        """Record a host's report or another coordinator's sum."""
        if not self._is_enabled:
            return
        if isinstance(msg, polling.LoadReport):
            is_taken = self._put_report(msg, src, now)
        else:
            is_taken = self._put_sum(msg, src, now)
        if not is_taken:
            self._drop(msg, src, now)

    def _put_report(
        self, msg: polling.LoadReport, src: ids.Address, now: float
    ) -> bool:
        """Record what a host reports; return false to drop it."""
        loads = _unpack(msg.loads, polling.MAX_LISTED)
        if loads is None or not self._is_host(src):
            return False
        return self._hosts.put(src, loads, now)

    def _put_sum(
        self, msg: _messages.LoadSum, src: ids.Address, now: float
    ) -> bool:
        """Record the sum of another coordinator; return false to drop it."""
        loads = _unpack(msg.loads, _messages.MAX_SUMMED)
        if loads is None or src not in self._addresses_of_peers():
            return False
        if src < self._me and now - self._last_sum_at >= _MIN_INTERVAL_S:
            self._next_sum_at = now
        return self._peers.put(src, loads, now)

    def due(self, now: float) -> abc.Iterator[DueLoads]:
        """Yield the messages that are due now."""
        if not self._is_enabled:
            return
        if now >= self._next_sum_at:
            self._peers.expire(now)
            self._last_sum_at = now
            self._next_sum_at = now + polling.LOAD_INTERVAL_S
            self._next_view_at = now + VIEW_DELAY_S
            packed = polling.pack_loads(self._sum(now), _messages.MAX_SUMMED)
            yield DueLoads(_messages.LoadSum(packed), self._receivers(now))
        elif now >= self._next_view_at:
            self._next_view_at = float("inf")
            total = self._sum(now)
            self._peers.expire(now)
            self._peers.add_to(total)
            view = polling.LoadView(polling.pack_loads(total))
            yield DueLoads(view, self._hosts.sources())

    def _receivers(self, now: float) -> tuple[ids.Address, ...]:
        """Return the coordinators that get this sum."""
        if now < self._next_probe_at:
            return self._peers.sources()
        self._next_probe_at = now + PROBE_S
        return self._addresses_of_peers()

    def _sum(self, now: float) -> collections.Counter[int]:
        """Return the sum of the hosts that report to this coordinator."""
        self._hosts.expire(now)
        total: collections.Counter[int] = collections.Counter()
        self._hosts.add_to(total)
        return total

    def _drop(self, msg: object, src: ids.Address, now: float) -> None:
        """Count a dropped message and log it, at most once in a while."""
        self.dropped_count += 1
        if now >= self._next_log_at:
            self._next_log_at = now + _LOG_INTERVAL_S
            _EVENTS.warning(
                "load_dropped",
                kind=type(msg).__name__,
                peer=src,
                count=self.dropped_count,
            )


def _unpack(data: bytes, max_listed: int) -> dict[int, int] | None:
    """Return the counts in a message; None if it is malformed."""
    try:
        return polling.unpack_loads(data, max_listed)
    except errors.FoxtailError:
        return None
