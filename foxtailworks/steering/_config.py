"""Times and bounds of steering."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Durations in seconds unless the name says otherwise."""

    answer_min_s: float = 0.04
    """An opening unanswered for so long is placed again: several round
    trips, and below the 200 ms after which a caller sends a copy."""
    answer_max_s: float = 0.15
    """The same at most, while answers are seen to take long."""
    answer_factor: float = 4.0
    """Patience, in times that an answer usually takes."""
    answer_share: float = 0.1
    """Weight of the newest answer in the usual time."""
    unprompted: int = 2
    """Upstreams that an opening is tried at before the caller's copy shows
    that it still waits."""
    copies_s: tuple[float, ...] = (0.2, 0.6, 1.4)
    """Times after an opening at which its caller's next copy is due; after
    the last one it gives up."""
    copy_slack_s: float = 0.05
    """How much later a copy may come."""
    max_held: int = 4096
    """Openings that wait for routes; more are dropped."""
    back_off_s: float = 0.25
    """First back-off, after one miss; doubles up to ``max_back_off_s``. A
    lost packet or a change of the routers costs an upstream no more."""
    doubt_s: float = 0.4
    """Other hosts' word on a silent upstream counts so long: over a poll."""
    max_back_off_s: float = 2.0
    """Longest back-off; a cut that has healed is noticed within it."""
    avoided_load: float = 0.7
    """Load, in slots per slot, added to an avoided upstream's own: others
    come first, until they have so much more to do that a vain try costs
    less than waiting there."""
    closed_s: float = 2.0
    """A closed flow is remembered so long, so that its last packets don't
    count as an open one."""
    opening_s: float = 1.5
    """A caller gives an opening up after 1.4 s."""
    exit_s: float = 1.0
    """An upstream that has taken its leave ends within it; its flows are
    reset only afterwards, so that it may still end them itself."""
    max_flows: int = 200_000
    """Flows remembered, as a hint for choosing; routing needs none of them."""
    cold_load: float = 0.5
    """Load, in slots per slot, added to a cold upstream's own."""
