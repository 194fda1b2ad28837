"""Settings of the directory of upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Intervals in seconds, shares of an upstream's weight, and bounds."""

    ramp_s: float = 20.0
    """Time in which the weight of a cold upstream rises to its full value."""
    return_ramp_s: float = 10.0
    """The same time for an upstream that returns from back-off."""
    ramp_floor: float = 0.1
    """Share of the weight that a ramp starts with."""
    refresh_s: float = 0.25
    """Time for which computed weights are cached."""
    suspect_timeouts: int = 2
    """Consecutive timeouts after which an upstream is suspect."""
    back_off_timeouts: int = 4
    """Consecutive timeouts after which an upstream is backed off."""
    back_off_sheds: int = 6
    """Consecutive sheds after which an upstream is backed off."""
    suspect_weight: float = 0.25
    """Share of the weight that a suspect upstream keeps."""
    back_off_s: float = 1.0
    """First back-off after timeouts; doubles up to ``max_back_off_s``."""
    shed_back_off_s: float = 0.2
    """First back-off after sheds; doubles up to ``max_back_off_s``."""
    max_back_off_s: float = 30.0
    """Maximum duration of a back-off."""
    half_open_probes: int = 2
    """Pieces of work that a half-open upstream gets in each interval."""
    half_open_interval_s: float = 1.0
    """Interval after which it gets more, jittered by a quarter."""
    half_open_answers: int = 3
    """Number of answers that end the half-open state."""
    half_open_weight: float = 0.1
    """Share of the weight that a half-open upstream keeps."""
    slow_ratio: float = 2.0
    """Multiple of the median latency above which an upstream is slow."""
    min_weight: float = 0.02
    """Minimum share of the weight unless backed off or half-open."""
    own_samples: int = 5
    """Number of own observations that outweigh a reported load."""
    sample_lifetime_s: float = 10.0
    """Age at which observed latency and a reported load are discarded."""
    share_suspicions: bool = True
    """Whether hosts of a zone notify one another of suspected upstreams."""
    suspicion_lifetime_s: float = 60.0
    """Time to live of another host's suspicion."""
    sufficient_reporters: int = 2
    """Number of reporters after which other hosts don't report as well."""
    suspicion_weight: float = 0.25
    """Factor of the weight for each host that suspects the upstream."""
    orphan_grace_s: float = 5.0
    """Time added to the lifetime of an upstream whose holder is lost."""
    lapse_s: float = 7_200.0
    """Time that an upstream with an unreachable holder stays lapsed, before
    it expires."""
    freeze_gap_s: float = 2.0
    """Gap between two ticks that means this process was suspended."""
    tombstone_s: float = 3_600.0
    """Time for which the record of an ended or expired upstream is kept."""
    max_upstreams: int = 16_384
    """Maximum number of records in the table."""
