"""Simulated traces that count flows moved off a live upstream.

A trace runs one placement design through one event. The packets of a flow
enter at any host that its caller can reach.
"""

import dataclasses
import functools
import random

from foxtailworks.bench import _fleet
from foxtailworks.bench import _slot_waiting
from foxtailworks.bench import _trace_cluster
from foxtailworks import ids

FLOWS_PER_UPSTREAM = 2000
"""Number of flows per upstream."""
OPEN_S = 20.0
"""Period in seconds in which the flows open."""
EVENT_S = 40.0
"""Virtual time of the event, in seconds."""
END_S = 280.0
"""Virtual time at which the trace ends, in seconds."""


@dataclasses.dataclass
class _Flow:
    """A caller and the upstream that last received its packets."""

    caller: ids.Address
    partition: int
    assigned_upstream: ids.UpstreamId | None = None
    broken: bool = False
    lost: bool = False


@dataclasses.dataclass(frozen=True)
class TraceResult:
    """Counts of one trace."""

    flows: int
    """Number of flows opened."""
    broken: int
    """Flows moved although their upstream was live and reachable."""
    orphaned: int
    """Flows moved because their upstream was gone, which no design avoids."""
    dropped: int
    """Number of packets that reached no upstream."""
    imbalance: float
    """Flows of the most loaded upstream by the mean, before the event."""


class FlowTrace:
    """Simulates one trace of packets through one placement design."""

    def __init__(
        self, design: _fleet.Design, size: _slot_waiting.ServiceSize, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.design = design
        self.size = size
        self.cluster = _trace_cluster.TraceCluster(design, size, self.rng)
        self._opened = 0
        self._dropped = 0
        self._imbalance = 0.0
        self._flows = [
            _Flow(_caller(i), self._draw_partition())
            for i in range(size.upstreams * FLOWS_PER_UPSTREAM)
        ]

    def _draw_partition(self) -> int:
        """Return a caller's partition while the first zone is isolated.

        :return: 1 for the first zone's partition, else 0
        """
        return int(self.rng.random() < 1 / self.size.zones)

    def run(self) -> TraceResult:
        """Run the trace and return its counts."""
        self._schedule_packets()
        self.cluster.schedule(0.0, self.cluster.tick)
        self.cluster.schedule(EVENT_S - 0.001, self._record_imbalance)
        self.cluster.run_until(END_S)
        return self._result()

    def churn(self, rate: float, seconds: float) -> None:
        """Open ``rate`` new flows a second for ``seconds``."""
        hosts = list(self.cluster.hosts)
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.now += _trace_cluster.TICK_S
            self.design.tick(self.cluster.now)
            for _ in range(int(rate * _trace_cluster.TICK_S)):
                self._opened += 1
                opened = self._opened
                caller = ids.Address(
                    f"10.4.{opened >> 8 & 255}.{opened & 255}",
                    1 + (opened >> 16),
                )
                host = self.rng.choice(hosts)
                self.design.packet(
                    host, _trace_cluster.SERVICE, caller, self.cluster.now
                )

    def last_new_flow_after_drain(self) -> float:
        """Drain an upstream and return when it got its last new flow.

        :return: seconds after the start of the drain
        """
        self.cluster.settle()
        first = next(iter(self.cluster.upstreams))
        started = self.cluster.now
        self.cluster.drain()
        last = 0.0
        for i in range(2000):
            self.cluster.settle(0.005)
            caller = ids.Address(f"10.5.{i >> 8}.{i & 255}", 7)
            host = self.rng.choice(list(self.cluster.hosts))
            found = self.design.packet(
                host, _trace_cluster.SERVICE, caller, self.cluster.now
            )
            if found == first:
                last = self.cluster.now - started
        return last

    def _schedule_packets(self) -> None:
        """Schedule the packets of all flows, busy ones and long idle ones."""
        for i, flow in enumerate(self._flows):
            times = [self.rng.uniform(16.0, 16.0 + OPEN_S)]
            times.append(EVENT_S + self.rng.uniform(8, END_S - EVENT_S - 8))
            if i % 3 == 0:
                start = EVENT_S + self.rng.uniform(0, 1)
                times += [start + step for step in (0, 1, 2, 4)]
            if i % 3 == 1:
                times.append(EVENT_S + self.rng.uniform(3, 30))
                times.append(END_S - 1)
            if i % 10 == 3:
                # Opens while the event is in progress.
                times[0] = EVENT_S + self.rng.uniform(0, 8)
            send = functools.partial(self._send, flow)
            for when in times:
                self.cluster.schedule(when, send)

    def _send(self, flow: _Flow) -> None:
        """Send one packet of a flow through any host its caller can reach."""
        entries = [
            view.host
            for view in self.cluster.hosts.values()
            if not self.cluster.partitions
            or self.cluster.partitions[view.zone] == flow.partition
        ]
        if not entries:
            self._dropped += 1
            return
        host = self.rng.choice(entries)
        found = self.design.packet(
            host, _trace_cluster.SERVICE, flow.caller, self.cluster.now
        )
        if found is None:
            self._dropped += 1
            return
        if flow.assigned_upstream not in (None, found):
            if self._is_reachable(flow.assigned_upstream, flow.partition):
                flow.broken = True
            else:
                flow.lost = True
        flow.assigned_upstream = found

    def _is_reachable(
        self, upstream: ids.UpstreamId | None, partition: int
    ) -> bool:
        """Return whether an upstream is live in the caller's partition."""
        if upstream is None or upstream not in self.cluster.upstreams:
            return False
        zone = self.cluster.upstreams[upstream].zone
        return (
            not self.cluster.partitions
            or self.cluster.partitions[zone] == partition
        )

    def _record_imbalance(self) -> None:
        """Record the imbalance of flows over the upstreams."""
        counts = dict.fromkeys(self.cluster.upstreams, 0)
        for flow in self._flows:
            if flow.assigned_upstream in counts:
                counts[flow.assigned_upstream] += 1
        mean = sum(counts.values()) / len(counts)
        self._imbalance = max(counts.values()) / mean

    def _result(self) -> TraceResult:
        """Return the counts of the trace."""
        return TraceResult(
            len(self._flows),
            sum(flow.broken for flow in self._flows),
            sum(flow.lost for flow in self._flows),
            self._dropped,
            self._imbalance,
        )


def _caller(i: int) -> ids.Address:
    """Return the ``i``-th caller."""
    return ids.Address(f"10.1.{i >> 8 & 255}.{i & 255}", 4000)
