"""Timeouts and limits of steering."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Settings of steering; durations are in seconds."""

    min_answer_timeout_s: float = 0.04
    """Minimum timeout for an answer to a SYN, after which it is placed on
    another upstream."""
    max_answer_timeout_s: float = 0.15
    """Maximum timeout for an answer, used while answers take long."""
    answer_timeout_factor: float = 4.0
    """Timeout as a multiple of the average time to an answer."""
    answer_time_weight: float = 0.1
    """Weight of the newest answer in that moving average."""
    max_proactive_attempts: int = 2
    """Upstreams that a SYN is sent to before a retransmission shows that the
    caller still waits."""
    retransmissions_s: tuple[float, ...] = (0.2, 0.6, 1.4)
    """Times after a SYN at which the caller retransmits it; at the last one
    the caller times out."""
    retransmission_slack_s: float = 0.05
    """Delay with which a retransmission may arrive."""
    max_held_syns: int = 4096
    """Maximum number of SYNs held until routes arrive; more are dropped."""
    max_held_packets: int = 4096
    """Maximum number of packets of open flows that are held; older ones are
    dropped."""
    packet_hold_s: float = 1.0
    """Time for which a packet is held until its upstream is known."""
    backlog_load: float = 1.5
    """Load, in flows per slot of this host's share, up to which requests that
    waited are passed on."""
    back_off_s: float = 0.25
    """First back-off, after one unanswered SYN; doubles up to
    ``max_back_off_s``."""
    suspicion_valid_s: float = 0.4
    """Time for which other hosts' suspicion of an upstream is valid."""
    max_back_off_s: float = 2.0
    """Longest back-off."""
    deprioritized_load: float = 0.7
    """Load, in flows per slot, added to a suspected or (on a retry) remote
    upstream, for each level of suspicion."""
    closed_flow_kept_s: float = 2.0
    """Time for which a closed flow is kept in the table."""
    idle_flow_load: float = 0.05
    """Load of a flow without a request under way, in flows with one."""
    equal_load: float = 0.2
    """Difference in load, in flows per slot, up to which upstreams count as
    equal."""
    answer_end_s: float = 0.1
    """Time after a caller's acknowledgement from which its flow counts as
    idle."""
    opening_timeout_s: float = 1.5
    """Time after which an unanswered SYN expires."""
    exit_grace_s: float = 1.0
    """Time within which an upstream that has left ends; its flows are reset
    afterwards."""
    max_flows: int = 200_000
    """Maximum number of flows in the table."""
    cold_load: float = 0.5
    """Load, in flows per slot, added to a cold upstream."""
    spares_cold: bool = False
    """Whether a cold upstream gets no new flow at all."""
    heartbeat_s: float = 1.2
    """Interval of upstreams' heartbeats."""
    readmission_heartbeats: int = 2
    """Heartbeats of an upstream that are awaited after the evacuation of its
    zone; the first one may have been sent before its end."""
    readmission_slack_s: float = 0.5
    """Time for a heartbeat to be relayed and to reach this host."""
    view_valid_s: float = 1.0
    """Time after its arrival for which a view of all hosts' load is used."""
    upstream_queue: int = 8
    """Requests that an upstream queues beyond its slots before it refuses
    further ones; from the deployment sheets, as heartbeats don't tell it."""
    kept_zone_load: float = 0.6
    """Load, in requests per slot, up to which a zone keeps its callers'
    flows."""
    kept_zone_excess: float = 0.2
    """Load by which a zone may exceed the others and still keep its flows."""
    zone_share_step: float = 0.05
    """Change of the share of flows sent to other zones, for each view."""
    max_zone_share: float = 0.5
    """Largest share of a zone's new flows that is sent to other zones."""
