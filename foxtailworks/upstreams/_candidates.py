"""Weighted candidates for new work, kept between changes."""

import dataclasses
import random
import statistics

from foxtailworks import ids
from foxtailworks.upstreams import _config
from foxtailworks.upstreams import _health
from foxtailworks.upstreams import _record
from foxtailworks.upstreams import _suspicions


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that new work may go to."""

    id: ids.UpstreamId
    """Its id."""
    upstream: _record.Upstream
    """Its record."""
    weight: float
    """Slots, announced weight and health in one number."""
    in_own_zone: bool
    """Whether it stands in this host's availability zone."""


@dataclasses.dataclass(slots=True)
class _Cached:
    """Candidates of one service and when to compute them anew."""

    candidates: tuple[Candidate, ...]
    until: float


class Candidates:
    """Computes candidates from records and health."""

    def __init__(
        self,
        zone: ids.ZoneId,
        rng: random.Random,
        config: _config.Config,
        doubts: _suspicions.SuspicionTracker,
    ) -> None:
        self._zone = zone
        self._rng = rng
        self._cfg = config
        self._suspicions = doubts
        self._cached: dict[_record.ServiceKey, _Cached] = {}
        self._health: dict[ids.UpstreamId, _health.Health] = {}
        self.version = 0
        self.records_version = 0

    def health(self, upstream_id: ids.UpstreamId) -> _health.Health | None:
        """Return what was seen of an upstream."""
        return self._health.get(upstream_id)

    def add(
        self, upstream: _record.Upstream, cold: bool, now: float
    ) -> _health.Health:
        """Begin to watch an upstream."""
        health = _health.Health(self._cfg, self._rng, now, cold)
        self._health[upstream.id] = health
        return health

    def drop(self, upstream: _record.Upstream) -> None:
        """Forget what was seen of an upstream."""
        self._health.pop(upstream.id, None)
        self._suspicions.drop(upstream.id)
        self.invalidate(upstream.key)

    def invalidate(self, key: _record.ServiceKey) -> None:
        """Compute the candidates of a service anew when they're asked for."""
        self._cached.pop(key, None)
        self.version += 1
        self.records_version += 1

    def invalidate_all(self) -> None:
        """Compute all candidates anew when they're asked for."""
        self._cached.clear()
        self.version += 1
        self.records_version += 1

    def cached(
        self, key: _record.ServiceKey, now: float
    ) -> tuple[Candidate, ...] | None:
        """Return the candidates computed last if they still hold."""
        cached = self._cached.get(key)
        if cached is None or now >= cached.until:
            return None
        return cached.candidates

    def compute(
        self,
        key: _record.ServiceKey,
        upstreams: list[_record.Upstream],
        now: float,
    ) -> tuple[Candidate, ...]:
        """Compute the candidates out of ``upstreams``."""
        until = now + self._cfg.refresh_s
        watched = [(item, self._health[item.id]) for item in upstreams]
        for _, health in watched:
            health.refresh(now)
            next_at = health.next_at()
            if next_at:
                until = min(until, next_at)
        median_ms = self._median_ms([health for _, health in watched], now)
        found = tuple(
            candidate
            for item, health in watched
            if (candidate := self._make(item, health, median_ms, now)).weight
        )
        old = self._cached.get(key)
        if old is None or old.candidates != found:
            self.version += 1
        self._cached[key] = _Cached(found, until)
        return found

    def _median_ms(self, watched: list[_health.Health], now: float) -> float:
        """Return the lower median time to answer of those that were seen."""
        known = [
            item.latency_ms for item in watched if item.has_own_samples(now)
        ]
        return statistics.median_low(known) if known else 0.0

    def _make(
        self,
        upstream: _record.Upstream,
        health: _health.Health,
        median_ms: float,
        now: float,
    ) -> Candidate:
        """Return one candidate with its effective weight."""
        assert upstream.takes_work, upstream
        nominal = upstream.slots * upstream.weight
        doubts = self._suspicions.count(upstream.id, health.answered_at)
        return Candidate(
            upstream.id,
            upstream,
            nominal * health.share(median_ms, doubts, now),
            upstream.zone == self._zone,
        )
