"""Health of one upstream, derived from this host's own observations."""

import enum
import random

from foxtailworks.upstreams import _config

LATENCY_SMOOTHING = 0.2
FAILURE_SMOOTHING = 0.1
SHED_FACTOR = 0.8
SHED_RECOVERY = 0.05
MAX_DOUBLINGS = 8


class Outcome(enum.Enum):
    """Outcome of one piece of work."""

    ANSWERED = "answered"
    """A complete answer arrived, whatever its content."""
    SHED = "shed"
    """The upstream rejected the work because it is full."""
    SILENT = "silent"
    """No answer arrived before the timeout."""
    UNREACHABLE = "unreachable"
    """The packet was rejected at the address."""


class HealthState(enum.Enum):
    """Health state of an upstream, which decides its share of work."""

    RAMPING = "ramping"
    """Weight rises to the full value."""
    HEALTHY = "healthy"
    """Weight isn't reduced by the state."""
    SUSPECT = "suspect"
    """Weight is reduced after recent timeouts."""
    BACKED_OFF = "backed-off"
    """No work is sent for some time."""
    HALF_OPEN = "half-open"
    """Little work is sent, as probes that decide what follows."""


class Health:
    """Health of one upstream as observed by one host.

    :param is_cold: whether the weight is ramped up first
    """

    __slots__ = (
        "_back_offs",
        "_cfg",
        "_failure_rate",
        "_answers",
        "_reported_load",
        "_load_reported_at",
        "_probes",
        "_probes_at",
        "_ramp_s",
        "_rng",
        "_samples",
        "_sampled_at",
        "_shed_factor",
        "_sheds",
        "_timeouts",
        "_since",
        "_until",
        "answered_at",
        "latency_ms",
        "state",
    )

    def __init__(
        self,
        config: _config.Config,
        rng: random.Random,
        now: float,
        is_cold: bool,
    ) -> None:
        self._cfg = config
        self._rng = rng
        self.state = HealthState.RAMPING if is_cold else HealthState.HEALTHY
        self.latency_ms = 0.0
        self._ramp_s = config.ramp_s
        self._since = now
        self._until = 0.0
        self._timeouts = 0
        self._sheds = 0
        self._answers = 0
        self._back_offs = 0
        self._failure_rate = 0.0
        self._shed_factor = 1.0
        self._probes = 0
        self._probes_at = 0.0
        self._samples = 0
        self._sampled_at = now
        self._reported_load = 0.0
        self._load_reported_at = -1e9
        self.answered_at = -1e9

    def record_outcome(
        self, outcome: Outcome, latency_ms: float, now: float
    ) -> bool:
        """Record an outcome; return whether the state changed.

        While the upstream returns from a back-off, failures of work that was
        sent before the present state began are ignored.

        :param latency_ms: time to the outcome, for a timeout the time waited
        """
        before = self.state
        if outcome is Outcome.ANSWERED:
            self._on_answer(latency_ms, now)
        elif now - latency_ms / 1000 >= self._since or not self._is_returning:
            self._on_failure(outcome, now)
        return self.state is not before

    @property
    def _is_returning(self) -> bool:
        """Return whether it hasn't fully recovered since a back-off."""
        return self._back_offs > 0

    def _on_answer(self, latency_ms: float, now: float) -> None:
        """Count an answer and improve the state if it's due."""
        self.answered_at = now
        self._timeouts = 0
        self._sheds = 0
        self._failure_rate *= 1 - FAILURE_SMOOTHING
        self._shed_factor = min(1.0, self._shed_factor + SHED_RECOVERY)
        self._note_latency(latency_ms, now)
        self._answers += 1
        if self.state is HealthState.SUSPECT:
            self._enter(HealthState.HEALTHY, now)
        elif (
            self.state is HealthState.HALF_OPEN
            and self._answers >= self._cfg.half_open_answers
        ):
            self._ramp_s = self._cfg.return_ramp_s
            self._enter(HealthState.RAMPING, now)

    def _note_latency(self, latency_ms: float, now: float) -> None:
        """Add one latency to the exponential moving average."""
        if now - self._sampled_at > self._cfg.sample_lifetime_s:
            self._samples = 0
        self._sampled_at = now
        self._samples += 1
        share = max(LATENCY_SMOOTHING, 1 / self._samples)
        self.latency_ms += share * (latency_ms - self.latency_ms)

    def _on_failure(self, outcome: Outcome, now: float) -> None:
        """Count a shed, a timeout or an unreachable address."""
        self._answers = 0
        if outcome is Outcome.SHED:
            self._on_shed(now)
            return
        self._timeouts += 1
        self._failure_rate += FAILURE_SMOOTHING * (1 - self._failure_rate)
        is_unreachable = outcome is Outcome.UNREACHABLE
        limit = self._cfg.back_off_timeouts
        if self.state is HealthState.BACKED_OFF:
            return
        if is_unreachable or self.state is HealthState.HALF_OPEN:
            self._back_off(self._cfg.back_off_s, now)
        elif self._timeouts >= limit:
            self._back_off(self._cfg.back_off_s, now)
        elif self._timeouts >= self._cfg.suspect_timeouts:
            self._enter(HealthState.SUSPECT, now)

    def _on_shed(self, now: float) -> None:
        """Reduce the weight of a full upstream; back off after several."""
        self._sheds += 1
        self._shed_factor *= SHED_FACTOR
        if self.state is HealthState.BACKED_OFF:
            return
        is_half_open = self.state is HealthState.HALF_OPEN
        if is_half_open or self._sheds >= self._cfg.back_off_sheds:
            self._back_off(self._cfg.shed_back_off_s, now)

    def _back_off(self, base_s: float, now: float) -> None:
        """Back off for a jittered time that doubles with each back-off."""
        wait = base_s * 2 ** min(self._back_offs, MAX_DOUBLINGS)
        wait = min(wait, self._cfg.max_back_off_s)
        self._back_offs += 1
        self._until = now + wait * self._rng.uniform(0.5, 1.0)
        self._enter(HealthState.BACKED_OFF, now)

    def _enter(self, state: HealthState, now: float) -> None:
        """Change the state and note the time."""
        if state is not self.state:
            self.state = state
            self._since = now

    def refresh(self, now: float) -> None:
        """Make the changes of state that depend on time alone."""
        if self.state is HealthState.BACKED_OFF and now >= self._until:
            self._enter(HealthState.HALF_OPEN, now)
            self._answers = 0
            self._refill(now)
        elif self.state is HealthState.HALF_OPEN:
            if self._probes <= 0 and now >= self._probes_at:
                self._refill(now)
        elif self.state is HealthState.RAMPING:
            if now - self._since >= self._ramp_s:
                self._back_offs = 0
                self._enter(HealthState.HEALTHY, now)

    def _refill(self, now: float) -> None:
        """Allow some more probes until the next interval."""
        self._probes = self._cfg.half_open_probes
        wait = self._cfg.half_open_interval_s * self._rng.uniform(0.75, 1.25)
        self._probes_at = now + wait

    def on_placed(self) -> bool:
        """Count placed work; return whether no more may follow for now."""
        if self.state is not HealthState.HALF_OPEN:
            return False
        self._probes -= 1
        return self._probes <= 0

    def report_load(self, load: float, now: float) -> None:
        """Record a reported load, from 0 to 1."""
        self._reported_load = min(1.0, max(0.0, load))
        self._load_reported_at = now

    def has_own_samples(self, now: float) -> bool:
        """Return whether own observations outweigh a reported load."""
        is_fresh = now - self._sampled_at <= self._cfg.sample_lifetime_s
        return is_fresh and self._samples >= self._cfg.own_samples

    @property
    def is_unresponsive(self) -> bool:
        """Return whether timeouts have ended the upstream's good state."""
        good_states = (HealthState.HEALTHY, HealthState.RAMPING)
        return self._timeouts > 0 and self.state not in good_states

    def weight_share(
        self, median_ms: float, suspicions: int, now: float
    ) -> float:
        """Return the share of its weight that the upstream gets, 0 to 1.

        :param median_ms: median latency of its peers; 0 if unknown
        :param suspicions: number of other hosts that suspect it
        """
        if self.state is HealthState.BACKED_OFF:
            return 0.0
        if self.state is HealthState.HALF_OPEN:
            return self._cfg.half_open_weight if self._probes > 0 else 0.0
        share = self._shed_factor * (1 - self._failure_rate)
        share *= self._slowness(median_ms, now)
        if suspicions:
            share *= self._cfg.suspicion_weight**suspicions
        if self.state is HealthState.SUSPECT:
            share *= self._cfg.suspect_weight
        elif self.state is HealthState.RAMPING:
            share *= self._ramp(now)
        return max(share, self._cfg.min_weight)

    def _ramp(self, now: float) -> float:
        """Return the present share of a ramp, in steps of a twentieth."""
        risen = min(1.0, max(0.0, now - self._since) / self._ramp_s)
        floor = self._cfg.ramp_floor
        return round((floor + (1 - floor) * risen) * 20) / 20

    def _slowness(self, median_ms: float, now: float) -> float:
        """Return the share left by own latencies or, without them, by load."""
        if self.has_own_samples(now):
            slow_ms = median_ms * self._cfg.slow_ratio
            if median_ms <= 0 or self.latency_ms <= slow_ms:
                return 1.0
            return slow_ms / self.latency_ms
        if now - self._load_reported_at > self._cfg.sample_lifetime_s:
            return 1.0
        return 1.0 - self._reported_load / 2

    def next_at(self) -> float:
        """Return when a back-off ends, 0 without one."""
        if self.state is HealthState.BACKED_OFF:
            return self._until
        return 0.0
