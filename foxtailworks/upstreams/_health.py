"""What this host has seen of one upstream, and what follows from it."""

import enum
import random

from foxtailworks.upstreams import _config

LATENCY_SHARE = 0.2
FAILURE_SHARE = 0.1
SHED_FACTOR = 0.8
SHED_RECOVERY = 0.05
DOUBLINGS = 8


class Outcome(enum.Enum):
    """How one piece of work went."""

    ANSWERED = "answered"
    """A whole answer came, whatever it said."""
    SHED = "shed"
    """The upstream refused because it is full."""
    SILENT = "silent"
    """Nothing came in time."""
    UNREACHABLE = "unreachable"
    """The address refused the packet."""


class HealthState(enum.Enum):
    """How much work an upstream is trusted with."""

    RAMPING = "ramping"
    """Weight rises to the full one."""
    HEALTHY = "healthy"
    """Full weight."""
    SUSPECT = "suspect"
    """Silent of late; little weight."""
    BACKED_OFF = "backed-off"
    """Left alone for a while."""
    HALF_OPEN = "half-open"
    """A few probes decide."""


class Health:
    """Health of one upstream as one host sees it.

    :param cold: whether the weight is ramped up first
    """

    __slots__ = (
        "_back_offs",
        "_cfg",
        "_failures",
        "_good",
        "_hint",
        "_hint_at",
        "_probes",
        "_probes_at",
        "_ramp_s",
        "_rng",
        "_samples",
        "_sampled_at",
        "_shed_factor",
        "_sheds",
        "_silences",
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
        cold: bool,
    ) -> None:
        self._cfg = config
        self._rng = rng
        self.state = HealthState.RAMPING if cold else HealthState.HEALTHY
        self.latency_ms = 0.0
        self._ramp_s = config.ramp_s
        self._since = now
        self._until = 0.0
        self._silences = 0
        self._sheds = 0
        self._good = 0
        self._back_offs = 0
        self._failures = 0.0
        self._shed_factor = 1.0
        self._probes = 0
        self._probes_at = 0.0
        self._samples = 0
        self._sampled_at = now
        self._hint = 0.0
        self._hint_at = -1e9
        self.answered_at = -1e9

    def observe(self, outcome: Outcome, latency_ms: float, now: float) -> bool:
        """Take an outcome in; tell whether the state changed.

        Outcomes of work that was sent before the present state began say
        nothing on it, unless they are answers.
        """
        before = self.state
        if outcome is Outcome.ANSWERED:
            self._on_answer(latency_ms, now)
        elif now - latency_ms / 1000 >= self._since or not self._is_returning:
            self._on_failure(outcome, now)
        return self.state is not before

    @property
    def _is_returning(self) -> bool:
        """Tell whether the upstream comes back from a back-off."""
        return self._back_offs > 0

    def _on_answer(self, latency_ms: float, now: float) -> None:
        """Count an answer."""
        self.answered_at = now
        self._silences = 0
        self._sheds = 0
        self._failures *= 1 - FAILURE_SHARE
        self._shed_factor = min(1.0, self._shed_factor + SHED_RECOVERY)
        self._note_latency(latency_ms, now)
        self._good += 1
        if self.state is HealthState.SUSPECT:
            self._enter(HealthState.HEALTHY, now)
        elif (
            self.state is HealthState.HALF_OPEN
            and self._good >= self._cfg.half_open_answers
        ):
            self._ramp_s = self._cfg.return_ramp_s
            self._enter(HealthState.RAMPING, now)

    def _note_latency(self, latency_ms: float, now: float) -> None:
        """Fold one time to answer into the mean."""
        if now - self._sampled_at > self._cfg.hint_s:
            self._samples = 0
        self._sampled_at = now
        self._samples += 1
        share = max(LATENCY_SHARE, 1 / self._samples)
        self.latency_ms += share * (latency_ms - self.latency_ms)

    def _on_failure(self, outcome: Outcome, now: float) -> None:
        """Count a shed, a silence or a refusal."""
        self._good = 0
        if outcome is Outcome.SHED:
            self._on_shed(now)
            return
        self._silences += 1
        self._failures += FAILURE_SHARE * (1 - self._failures)
        hard = outcome is Outcome.UNREACHABLE
        limit = self._cfg.back_off_silences
        if self.state is HealthState.BACKED_OFF:
            return
        if hard or self.state is HealthState.HALF_OPEN:
            self._back_off(self._cfg.back_off_s, now)
        elif self._silences >= limit:
            self._back_off(self._cfg.back_off_s, now)
        elif self._silences >= self._cfg.suspect_silences:
            self._enter(HealthState.SUSPECT, now)

    def _on_shed(self, now: float) -> None:
        """Give a full upstream less, and leave it alone if that's no use."""
        self._sheds += 1
        self._shed_factor *= SHED_FACTOR
        if self.state is HealthState.BACKED_OFF:
            return
        is_half_open = self.state is HealthState.HALF_OPEN
        if is_half_open or self._sheds >= self._cfg.back_off_sheds:
            self._back_off(self._cfg.shed_back_off_s, now)

    def _back_off(self, base_s: float, now: float) -> None:
        """Leave the upstream alone for a jittered, doubling time."""
        wait = base_s * 2 ** min(self._back_offs, DOUBLINGS)
        wait = min(wait, self._cfg.max_back_off_s)
        self._back_offs += 1
        self._until = now + wait * self._rng.uniform(0.5, 1.0)
        self._enter(HealthState.BACKED_OFF, now)

    def _enter(self, state: HealthState, now: float) -> None:
        """Change the state."""
        if state is not self.state:
            self.state = state
            self._since = now

    def refresh(self, now: float) -> None:
        """Let time pass."""
        if self.state is HealthState.BACKED_OFF and now >= self._until:
            self._enter(HealthState.HALF_OPEN, now)
            self._good = 0
            self._refill(now)
        elif self.state is HealthState.HALF_OPEN:
            if self._probes <= 0 and now >= self._probes_at:
                self._refill(now)
        elif self.state is HealthState.RAMPING:
            if now - self._since >= self._ramp_s:
                self._back_offs = 0
                self._enter(HealthState.HEALTHY, now)

    def _refill(self, now: float) -> None:
        """Let some more probes through."""
        self._probes = self._cfg.half_open_probes
        wait = self._cfg.half_open_interval_s * self._rng.uniform(0.75, 1.25)
        self._probes_at = now + wait

    def on_placed(self) -> bool:
        """Count work as placed; tell whether no more may follow now."""
        if self.state is not HealthState.HALF_OPEN:
            return False
        self._probes -= 1
        return self._probes <= 0

    def hint(self, load: float, now: float) -> None:
        """Note a reported load."""
        self._hint = min(1.0, max(0.0, load))
        self._hint_at = now

    def has_own_samples(self, now: float) -> bool:
        """Tell whether own observations outweigh what is reported."""
        is_fresh = now - self._sampled_at <= self._cfg.hint_s
        return is_fresh and self._samples >= self._cfg.own_samples

    @property
    def is_silent(self) -> bool:
        """Tell whether silence has cost the upstream its good state."""
        calm = (HealthState.HEALTHY, HealthState.RAMPING)
        return self._silences > 0 and self.state not in calm

    def share(self, median_ms: float, doubts: int, now: float) -> float:
        """Return the share of its weight that the upstream gets, 0 to 1.

        :param median_ms: median time to answer of its peers; 0 if unknown
        :param doubts: other hosts that found it silent
        """
        if self.state is HealthState.BACKED_OFF:
            return 0.0
        if self.state is HealthState.HALF_OPEN:
            return self._cfg.half_open_weight if self._probes > 0 else 0.0
        share = self._shed_factor * (1 - self._failures)
        share *= self._slowness(median_ms, now)
        if doubts:
            share *= self._cfg.doubt_weight**doubts
        if self.state is HealthState.SUSPECT:
            share *= self._cfg.suspect_weight
        elif self.state is HealthState.RAMPING:
            share *= self._ramp(now)
        return max(share, self._cfg.min_weight)

    def _ramp(self, now: float) -> float:
        """Return how far a ramp has risen, in steps of a twentieth."""
        risen = min(1.0, max(0.0, now - self._since) / self._ramp_s)
        floor = self._cfg.ramp_floor
        return round((floor + (1 - floor) * risen) * 20) / 20

    def _slowness(self, median_ms: float, now: float) -> float:
        """Return what time to answer or, without it, a report leaves."""
        if self.has_own_samples(now):
            slow_ms = median_ms * self._cfg.slow_ratio
            if median_ms <= 0 or self.latency_ms <= slow_ms:
                return 1.0
            return slow_ms / self.latency_ms
        if now - self._hint_at > self._cfg.hint_s:
            return 1.0
        return 1.0 - self._hint / 2

    def next_at(self) -> float:
        """Return when time alone will change the share."""
        if self.state is HealthState.BACKED_OFF:
            return self._until
        return 0.0
