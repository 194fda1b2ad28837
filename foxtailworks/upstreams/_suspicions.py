"""Suspicions of upstreams that hosts of an availability zone exchange."""

from collections import abc
import dataclasses
import math

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _messages

MAX_SUSPECTED = 2_048
MAX_REPORTERS = 8
# A reporter that suspects more than this is likely at fault itself.
MAX_SUSPICIONS_PER_REPORTER = 32
RATE_PER_S = 5.0


@dataclasses.dataclass(slots=True)
class _Report:
    """Last report of one host on one upstream."""

    sequence: int
    suspected: bool
    received_at: float


class SuspicionTracker:
    """Suspicions that an upstream is unresponsive, by reporter.

    A host that sends an upstream little work would lose several requests
    before it suspects the upstream itself. A suspicion counts until this host
    receives an answer itself or the suspicion expires. A reporter that
    suspects very many upstreams is ignored.
    """

    def __init__(
        self,
        me: ids.HostId,
        config: _config.Config,
        queue: membership.GossipQueue,
    ) -> None:
        self._me = me
        self._cfg = config
        self._queue = queue
        self._reports: dict[ids.UpstreamId, dict[ids.HostId, _Report]] = {}
        self._sequence = 0
        self._next_at = 0.0

    def count(self, upstream_id: ids.UpstreamId, after: float) -> int:
        """Return how many credible reporters suspect an upstream.

        :param after: monotonic time; earlier suspicions don't count
        """
        reports = self._reports.get(upstream_id)
        if not reports:
            return 0
        return sum(
            item.suspected
            and item.received_at > after
            and self._is_credible(reporter)
            for reporter, item in reports.items()
        )

    def _is_credible(self, reporter: ids.HostId) -> bool:
        """Return whether a reporter suspects only few upstreams."""
        count = sum(
            reporter in reports and reports[reporter].suspected
            for reports in self._reports.values()
        )
        return count <= MAX_SUSPICIONS_PER_REPORTER

    def report(
        self, upstream_id: ids.UpstreamId, suspected: bool, now: float
    ) -> None:
        """Spread a suspicion of this host, or that it is cleared.

        A suspicion isn't spread if enough hosts have reported it already, or
        if it would exceed ``RATE_PER_S``.
        """
        own = self._reports.get(upstream_id, {}).get(self._me)
        if suspected == (own is not None and own.suspected):
            return
        if suspected:
            reporters = self.count(upstream_id, -math.inf)
            if (
                reporters >= self._cfg.sufficient_reporters
                or now < self._next_at
            ):
                return
            self._next_at = now + 1 / RATE_PER_S
        # The time keeps the number growing over restarts of this host.
        self._sequence = max(self._sequence + 1, int(now * 10))
        suspicion = _messages.Suspicion(
            self._me, self._sequence, upstream_id, suspected
        )
        self.merge(suspicion, now)

    def merge(self, suspicion: _messages.Suspicion, now: float) -> bool:
        """Store a suspicion and pass it on; return whether it is new."""
        reports = self._reports.get(suspicion.upstream)
        if reports is None:
            if len(self._reports) >= MAX_SUSPECTED:
                return False
            reports = self._reports[suspicion.upstream] = {}
        old = reports.get(suspicion.reporter)
        if old is not None and old.sequence >= suspicion.sequence:
            return False
        if old is None and len(reports) >= MAX_REPORTERS:
            return False
        reports[suspicion.reporter] = _Report(
            suspicion.sequence, suspicion.suspected, now
        )
        self._queue.put(
            f"{suspicion.reporter}/{suspicion.upstream}",
            _messages.CODEC.encode(suspicion),
            membership.GossipScope.ZONE,
            urgent=True,
        )
        return True

    def drop(self, upstream_id: ids.UpstreamId) -> None:
        """Discard the suspicions of an upstream that has ended."""
        self._reports.pop(upstream_id, None)

    def on_tick(self, now: float) -> abc.Iterator[ids.UpstreamId]:
        """Discard expired suspicions.

        Yield the upstreams that have none left.
        """
        limit = now - self._cfg.suspicion_lifetime_s
        for upstream_id, reports in list(self._reports.items()):
            for reporter in [
                r for r, i in reports.items() if i.received_at <= limit
            ]:
                del reports[reporter]
            if not reports:
                del self._reports[upstream_id]
                yield upstream_id
