"""Times and bounds of the directory of upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """All of it can be set."""

    ramp_s: float = 20.0
    """Time in which a cold upstream's weight rises to the full one."""
    return_ramp_s: float = 10.0
    """The same for one that returns from back-off."""
    ramp_floor: float = 0.1
    """Share of the weight that a ramp starts with."""
    refresh_s: float = 0.25
    """Time for which computed weights are kept."""
    suspect_silences: int = 2
    """Silences in a row that make an upstream suspect."""
    back_off_silences: int = 4
    """Silences in a row after which it is left alone."""
    back_off_sheds: int = 6
    """Sheds in a row after which it is left alone."""
    suspect_weight: float = 0.25
    """Share of the weight that a suspect gets."""
    back_off_s: float = 1.0
    """First back-off after silence; doubles up to ``max_back_off_s``."""
    shed_back_off_s: float = 0.2
    """First back-off after sheds; doubles up to ``max_back_off_s``."""
    max_back_off_s: float = 30.0
    """Longest back-off."""
    half_open_probes: int = 2
    """Work that one returning upstream gets in each interval."""
    half_open_interval_s: float = 1.0
    """Time after which further probes are let through."""
    half_open_answers: int = 3
    """Answers that end the half-open state."""
    half_open_weight: float = 0.1
    """Share of the weight that a returning upstream gets."""
    slow_ratio: float = 2.0
    """Times the median time to answer from which an upstream is slow."""
    min_weight: float = 0.02
    """Least share of the weight that observation leaves."""
    own_samples: int = 5
    """Own observations that outweigh a reported load."""
    hint_s: float = 10.0
    """Age at which a reported load counts no more."""
    share_suspicions: bool = True
    """Whether hosts of a zone tell one another of silent upstreams."""
    doubt_s: float = 60.0
    """Lifetime of another host's doubt."""
    enough_doubts: int = 2
    """Reporters after which others add none of their own."""
    doubt_weight: float = 0.25
    """Share of the weight that each reporter's doubt leaves."""
    orphan_grace_s: float = 5.0
    """Added to the lifetime of an upstream whose holder is lost."""
    lapse_s: float = 7_200.0
    """How long an upstream stays lapsed, behind a cut, before it expires."""
    freeze_gap_s: float = 2.0
    """Gap between ticks taken as the process having been stopped."""
    tombstone_s: float = 3_600.0
    """How long an ended or expired upstream is remembered."""
    max_upstreams: int = 16_384
    """Cap of the table."""
