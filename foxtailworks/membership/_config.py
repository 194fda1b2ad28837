"""Settings of membership."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Intervals in seconds and bounds, for links with up to 100 ms latency."""

    probe_interval_s: float = 1.0
    """Time between two probes that this host starts."""
    probe_timeout_s: float = 0.4
    """Timeout of a direct ack, and then of the indirect ones."""
    indirect_probes: int = 3
    """Number of hosts that a ping-req is sent to."""
    suspicion_s: float = 3.0
    """Time for a suspect to refute before it is declared dead."""
    gossip_interval_s: float = 0.2
    """Time between two rounds of gossip while updates are pending."""
    gossip_fanout: int = 3
    """Number of hosts that one round of gossip is sent to."""
    relays_per_zone: int = 3
    """Number of hosts of each zone that communicate with other zones."""
    zone_timeout_s: float = 4.0
    """Time since last contact after which a zone is reported unreachable."""
    zone_report_lifetime_s: float = 15.0
    """Time to live of a relay's report on another zone."""
    isolation_s: float = 4.0
    """Time without contact to any host after which this one is isolated."""
    minority_window_s: float = 60.0
    """Time for which dead hosts count when checking for a minority."""
    freeze_gap_s: float = 2.0
    """Gap between two ticks that means this process was suspended."""
    reconnect_interval_s: float = 5.0
    """Time between two attempts to reach dead hosts and missing seeds."""
    join_interval_s: float = 1.0
    """Time between two attempts to join through the seeds."""
    sync_interval_s: float = 1.0
    """Minimum time between two table comparisons."""
    sync_stable_s: float = 1.0
    """Time that a table must be unchanged before it is compared."""
    sync_max_bytes: int = 6_000
    """Maximum size of the records sent for one table comparison."""
    datagram_bytes: int = 1_200
    """Maximum size of a datagram."""
    piggyback_bytes: int = 400
    """Maximum size of the updates piggybacked on a ping or an ack."""
    bulk_bytes_per_s: float = 12_000.0
    """Sustained rate of gossip and table comparison together."""
    bulk_burst_bytes: float = 8_000.0
    """Burst size of gossip and table comparison together."""
    tombstone_s: float = 7_200.0
    """Time for which the record of a dead host or one that left is kept."""
    max_hosts: int = 4_096
    """Maximum number of records in the table of hosts."""
