"""Weighted candidates for new work, cached between changes."""

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
    """Upstream that may get new work."""

    id: ids.UpstreamId
    """Id of the upstream."""
    upstream: _record.Upstream
    """Record of the upstream."""
    weight: float
    """Product of slots, announced weight and share by health."""
    in_own_zone: bool
    """Whether it is in this host's availability zone."""


@dataclasses.dataclass(slots=True)
class _Cached:
    """Candidates of one service, cached until a monotonic time."""

    candidates: tuple[Candidate, ...]
    until: float


class Candidates:
    """Computes candidates from records and health, and caches them."""

    def __init__(
        self,
        zone: ids.ZoneId,
        rng: random.Random,
        config: _config.Config,
        suspicions: _suspicions.SuspicionTracker,
    ) -> None:
        self._zone = zone
        self._rng = rng
        self._cfg = config
        self._suspicions = suspicions
        self._cached: dict[_record.ServiceKey, _Cached] = {}
        self._health: dict[ids.UpstreamId, _health.Health] = {}
        self.version = 0
        self.records_version = 0

    def health(self, upstream_id: ids.UpstreamId) -> _health.Health | None:
        """Return the health of an upstream, ``None`` if it isn't tracked."""
        return self._health.get(upstream_id)

    def add(
        self, upstream: _record.Upstream, is_cold: bool, now: float
    ) -> _health.Health:
        """Start to track the health of an upstream."""
        health = _health.Health(self._cfg, self._rng, now, is_cold)
        self._health[upstream.id] = health
        return health

    def drop(self, upstream: _record.Upstream) -> None:
        """Discard the health and the suspicions of an upstream."""
        self._health.pop(upstream.id, None)
        self._suspicions.drop(upstream.id)
        self.invalidate(upstream.key)

    def invalidate(self, key: _record.ServiceKey) -> None:
        """Discard the cached candidates of a service."""
        self._cached.pop(key, None)
        self.version += 1
        self.records_version += 1

    def invalidate_all(self) -> None:
        """Discard all cached candidates."""
        self._cached.clear()
        self.version += 1
        self.records_version += 1

    def cached(
        self, key: _record.ServiceKey, now: float
    ) -> tuple[Candidate, ...] | None:
        """Return the cached candidates of a service unless they're too old."""
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
        """Compute and cache the candidates among ``upstreams``."""
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
        """Return the lower median of the observed latencies, 0 without any."""
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
        """Return a candidate with its effective weight, which may be 0."""
        assert upstream.takes_work, upstream
        nominal = upstream.slots * upstream.weight
        suspicions = self._suspicions.count(upstream.id, health.answered_at)
        return Candidate(
            upstream.id,
            upstream,
            nominal * health.weight_share(median_ms, suspicions, now),
            upstream.zone == self._zone,
        )
