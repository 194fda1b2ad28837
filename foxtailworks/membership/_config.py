"""Times and bounds of membership."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """All of it can be set; the defaults suit links below 100 ms."""

    probe_interval_s: float = 1.0
    """Time between two probes of a host."""
    probe_timeout_s: float = 0.4
    """Wait for an answer before others are asked to probe."""
    indirect_probes: int = 3
    """Hosts that are asked to probe in one's stead."""
    suspicion_s: float = 3.0
    """Time that a suspect has to refute."""
    gossip_interval_s: float = 0.2
    """Time between two rounds of gossip while there is news."""
    gossip_fanout: int = 3
    """Hosts that one round is sent to."""
    relays: int = 3
    """Hosts of each availability zone that talk to other ones."""
    zone_timeout_s: float = 4.0
    """Silence after which a relay reports an availability zone cut off."""
    zone_report_s: float = 15.0
    """Lifetime of such a report."""
    isolation_s: float = 4.0
    """Silence of all others after which a host takes itself as isolated."""
    minority_memory_s: float = 60.0
    """How long the dead count as missing when a majority is judged."""
    freeze_gap_s: float = 2.0
    """Gap between ticks taken as the process having been stopped."""
    reconnect_s: float = 5.0
    """Time between two probes of hosts held dead."""
    join_interval_s: float = 1.0
    """Time between two tries to join through seeds."""
    sync_interval_s: float = 1.0
    """Least time between two comparisons of whole tables."""
    sync_quiet_s: float = 1.0
    """Time without a change before tables are compared."""
    sync_max_bytes: int = 6_000
    """Most bytes that answer one comparison."""
    datagram_bytes: int = 1_200
    """Largest datagram."""
    piggyback_bytes: int = 400
    """Most bytes of news on a probe or its answer."""
    bulk_bytes_per_s: float = 12_000.0
    """Sustained rate of gossip and table comparison."""
    bulk_burst_bytes: float = 8_000.0
    """Burst of gossip and table comparison."""
    tombstone_s: float = 7_200.0
    """How long a host that is dead or has left is remembered."""
    max_hosts: int = 4_096
    """Cap of the table of hosts."""
