"""Doubts of other hosts of the availability zone about upstreams."""

from collections import abc
import dataclasses
import math

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _messages

MAX_DOUBTED = 2_048
MAX_REPORTERS = 8
# A reporter that doubts more than this is likely at fault itself.
MAX_DOUBTS_PER_REPORTER = 32
RATE_PER_S = 5.0


@dataclasses.dataclass(slots=True)
class _Held:
    """The last word of one reporter on one upstream."""

    sequence: int
    doubted: bool
    at: float


class SuspicionTracker:
    """Hints that an upstream stays silent, by who found it so.

    Where a host sends an upstream little work it would lose several
    requests before it knew by itself. A doubt counts until this host sees an
    answer itself, ends by itself, and a reporter that doubts very many is
    ignored.
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
        self._held: dict[ids.UpstreamId, dict[ids.HostId, _Held]] = {}
        self._sequence = 0
        self._next_at = 0.0

    def count(self, upstream_id: ids.UpstreamId, after: float) -> int:
        """Return how many credible reporters doubt an upstream.

        :param after: doubts that came earlier don't count
        """
        held = self._held.get(upstream_id)
        if not held:
            return 0
        return sum(
            item.doubted and item.at > after and self._is_credible(reporter)
            for reporter, item in held.items()
        )

    def _is_credible(self, reporter: ids.HostId) -> bool:
        """Tell whether a reporter doubts few upstreams."""
        count = sum(
            reporter in held and held[reporter].doubted
            for held in self._held.values()
        )
        return count <= MAX_DOUBTS_PER_REPORTER

    def tell(
        self, upstream_id: ids.UpstreamId, doubted: bool, now: float
    ) -> None:
        """Spread what this host found, if that isn't known enough."""
        mine = self._held.get(upstream_id, {}).get(self._me)
        if doubted == (mine is not None and mine.doubted):
            return
        if doubted:
            known = self.count(upstream_id, -math.inf)
            if known >= self._cfg.enough_doubts or now < self._next_at:
                return
            self._next_at = now + 1 / RATE_PER_S
        # Time grows over restarts of this host as a plain count wouldn't.
        self._sequence = max(self._sequence + 1, int(now * 10))
        doubt = _messages.Suspicion(
            self._me, self._sequence, upstream_id, doubted
        )
        self.merge(doubt, now)

    def merge(self, doubt: _messages.Suspicion, now: float) -> bool:
        """Take a doubt in and pass it on; tell whether it is new."""
        held = self._held.get(doubt.upstream)
        if held is None:
            if len(self._held) >= MAX_DOUBTED:
                return False
            held = self._held[doubt.upstream] = {}
        old = held.get(doubt.reporter)
        if old is not None and old.sequence >= doubt.sequence:
            return False
        if old is None and len(held) >= MAX_REPORTERS:
            return False
        held[doubt.reporter] = _Held(doubt.sequence, doubt.doubted, now)
        self._queue.put(
            f"{doubt.reporter}/{doubt.upstream}",
            _messages.CODEC.encode(doubt),
            membership.GossipScope.ZONE,
            urgent=True,
        )
        return True

    def drop(self, upstream_id: ids.UpstreamId) -> None:
        """Forget the doubts on an upstream that is gone."""
        self._held.pop(upstream_id, None)

    def on_tick(self, now: float) -> abc.Iterator[ids.UpstreamId]:
        """Forget doubts that ended; yield the upstreams concerned."""
        limit = now - self._cfg.doubt_s
        for upstream_id, held in list(self._held.items()):
            for reporter in [r for r, i in held.items() if i.at <= limit]:
                del held[reporter]
            if not held:
                del self._held[upstream_id]
                yield upstream_id
