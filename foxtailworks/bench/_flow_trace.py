"""Simulated traces that count flows moved off a live upstream.

A trace runs one placement design through one event. The hosts are notified
of each change at different moments; the packets of a flow enter at any host
that its caller can reach.
"""

from collections import abc
import dataclasses
import functools
import heapq
import itertools
import random
import typing

from foxtailworks.bench import _fleet
from foxtailworks.bench import _slot_waiting
from foxtailworks import ids
from foxtailworks import placement

SERVICE = ids.ServiceId("bench")
FLOWS_PER_UPSTREAM = 2000
"""Number of flows per upstream."""
OPEN_S = 20.0
"""Period in seconds in which the flows open."""
EVENT_S = 40.0
"""Virtual time of the event, in seconds."""
END_S = 280.0
"""Virtual time at which the trace ends, in seconds."""
TICK_S = 0.1
"""Seconds between two timer ticks of a design."""
NOTIFY_S = 0.5
"""Most seconds until a host is notified of a change."""
NOTIFY_UNEVENLY_S = 2.0
"""Most seconds until a host is notified where views are to differ."""
DETECT_S = 1.5
"""Seconds until a crash is detected."""
LEAVE_S = 20.0
"""Seconds from the start of a host's leave until it stops."""
PARTITION_S = 60.0
"""Length of a network partition in seconds."""


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
        self.notify_s = NOTIFY_S
        self.now = 0.0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._serials = itertools.count()
        self._versions: dict[tuple[ids.HostId, str], int] = {}
        self._opened = 0
        self._dropped = 0
        self._imbalance = 0.0
        self.hosts = {
            view.host: view
            for view in (_host(i, size) for i in range(size.hosts))
        }
        self.upstreams = {
            view.upstream: view
            for view in (_upstream(i, size) for i in range(size.upstreams))
        }
        self.partitions: dict[ids.ZoneId, int] = {}
        self._flows = [
            _Flow(_caller(i), self._draw_partition())
            for i in range(size.upstreams * FLOWS_PER_UPSTREAM)
        ]
        for view in self.hosts.values():
            design.add_host(view, 0.0)
        self.notify_all(0.0)

    def _draw_partition(self) -> int:
        """Return a caller's partition while the first zone is isolated.

        :return: 1 for the first zone's partition, else 0
        """
        return int(self.rng.random() < 1 / self.size.zones)

    # Virtual time.

    def schedule(self, when: float, event: abc.Callable[[], None]) -> None:
        """Schedule ``event`` at ``when``, in virtual seconds."""
        heapq.heappush(self._events, (when, next(self._serials), event))

    def run(self) -> TraceResult:
        """Run the trace and return its counts."""
        self._schedule_packets()
        self.schedule(0.0, self._tick)
        self.schedule(EVENT_S - 0.001, self._record_imbalance)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            if self.now > END_S:
                break
            event()
        return self._result()

    def settle(self, seconds: float = 30.0) -> None:
        """Advance virtual time without packets."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        while self.now < end:
            self.now += TICK_S
            self.design.tick(self.now)

    def churn(self, rate: float, seconds: float) -> None:
        """Open ``rate`` new flows a second for ``seconds``."""
        hosts = list(self.hosts)
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.design.tick(self.now)
            for _ in range(int(rate * TICK_S)):
                self._opened += 1
                opened = self._opened
                caller = ids.Address(
                    f"10.4.{opened >> 8 & 255}.{opened & 255}",
                    1 + (opened >> 16),
                )
                host = self.rng.choice(hosts)
                self.design.packet(host, SERVICE, caller, self.now)

    def last_new_flow_after_drain(self) -> float:
        """Drain an upstream and return when it got its last new flow.

        :return: seconds after the start of the drain
        """
        self.settle()
        first = next(iter(self.upstreams))
        started = self.now
        self.drain()
        last = 0.0
        for i in range(2000):
            self.settle(0.005)
            caller = ids.Address(f"10.5.{i >> 8}.{i & 255}", 7)
            host = self.rng.choice(list(self.hosts))
            found = self.design.packet(host, SERVICE, caller, self.now)
            if found == first:
                last = self.now - started
        return last

    def _tick(self) -> None:
        """Run the design's timers and schedule the next tick."""
        self.design.tick(self.now)
        self.schedule(self.now + TICK_S, self._tick)

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
                self.schedule(when, send)

    def _send(self, flow: _Flow) -> None:
        """Send one packet of a flow through any host its caller can reach."""
        entries = [
            view.host
            for view in self.hosts.values()
            if not self.partitions
            or self.partitions[view.zone] == flow.partition
        ]
        if not entries:
            self._dropped += 1
            return
        host = self.rng.choice(entries)
        found = self.design.packet(host, SERVICE, flow.caller, self.now)
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
        if upstream is None or upstream not in self.upstreams:
            return False
        zone = self.upstreams[upstream].zone
        return not self.partitions or self.partitions[zone] == partition

    def _record_imbalance(self) -> None:
        """Record the imbalance of flows over the upstreams."""
        counts = dict.fromkeys(self.upstreams, 0)
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

    # Changes of hosts, upstreams and network.

    def notify_all(self, after_s: float | None = None) -> None:
        """Notify every host of the current state, each after its own delay.

        :param after_s: the same delay for all, in place of a random one
        """
        for host in self.hosts:
            self.notify_host(host, after_s)

    def notify_host(
        self, host: ids.HostId, after_s: float | None = None
    ) -> None:
        """Notify one host of the current state."""
        partition = self.partitions.get(self.hosts[host].zone, 0)
        hosts = tuple(
            view
            for view in self.hosts.values()
            if self.partitions.get(view.zone, 0) == partition
        )
        upstreams = tuple(
            view
            for view in self.upstreams.values()
            if self.partitions.get(view.zone, 0) == partition
        )
        version = next(self._serials)
        for apply_views, views in (
            (self.design.set_hosts, hosts),
            (self.design.set_upstreams, upstreams),
        ):
            wait = after_s
            if wait is None:
                wait = self.rng.uniform(0, self.notify_s)
            event = functools.partial(
                self._deliver_views, host, version, apply_views, views
            )
            self.schedule(self.now + wait, event)

    def _deliver_views(
        self,
        host: ids.HostId,
        version: int,
        apply_views: abc.Callable[..., None],
        views: tuple[typing.Any, ...],
    ) -> None:
        """Deliver views to a host unless it has newer ones."""
        known = self._versions.get((host, apply_views.__name__), -1)
        if version > known:
            self._versions[host, apply_views.__name__] = version
            apply_views(host, views, self.now)

    def drain(self) -> None:
        """Start to drain the first upstream."""
        first = next(iter(self.upstreams))
        self.upstreams[first] = dataclasses.replace(
            self.upstreams[first], weight=0.0, accepts_new=False
        )
        self.notify_all()

    def add_upstream(self) -> None:
        """Add one upstream to the service."""
        view = _upstream(self.size.upstreams, self.size)
        self.upstreams[view.upstream] = view
        self.notify_all()

    def crash_upstream(self) -> None:
        """Crash the last upstream; hosts detect it later."""
        self.upstreams.popitem()
        self.schedule(self.now + DETECT_S, self.notify_all)

    def crash_host(self) -> None:
        """Crash the last entry host; the others detect it later."""
        host, _ = self.hosts.popitem()
        self.design.kill(host)
        self.schedule(self.now + DETECT_S, self.notify_all)

    def restart_host(self) -> None:
        """Crash the last entry host and start it again after 5 s."""
        host, view = self.hosts.popitem()
        self.design.kill(host)
        self.schedule(self.now + DETECT_S, self.notify_all)
        self.schedule(self.now + 5, lambda: self.join(view))

    def join(self, view: placement.HostView | None = None) -> None:
        """Add an entry host, or start ``view`` again."""
        view = view or _host(self.size.hosts, self.size)
        self.hosts[view.host] = view
        self.design.add_host(view, self.now)
        self.notify_host(view.host, 0.0)
        self.notify_all()

    def leave(self) -> None:
        """Let the last entry host leave in order."""
        host = list(self.hosts)[-1]
        self.design.leave(host, self.now)
        self.hosts[host] = dataclasses.replace(
            self.hosts[host], state=placement.HostState.LEAVING
        )
        self.notify_all()
        self.schedule(self.now + LEAVE_S, lambda: self._remove_host(host))

    def _remove_host(self, host: ids.HostId) -> None:
        """Stop a host that has left and notify the others."""
        del self.hosts[host]
        self.design.kill(host)
        self.notify_all()

    def isolate_zone(self) -> None:
        """Isolate the first availability zone for ``PARTITION_S``."""
        zones = sorted({view.zone for view in self.hosts.values()})
        self.partitions = {zone: int(zone == zones[0]) for zone in zones}
        self._apply_partitions()
        self.schedule(self.now + DETECT_S, self.notify_all)
        self.schedule(self.now + PARTITION_S, self.heal)

    def heal(self) -> None:
        """End the network partition and notify all hosts."""
        self.partitions = {}
        self._apply_partitions()
        self.notify_all()

    def _apply_partitions(self) -> None:
        """Pass the partition of each host to the design."""
        self.design.set_partitions(
            {
                view.host: self.partitions.get(view.zone, 0)
                for view in self.hosts.values()
            }
        )


def _zone(i: int, size: _slot_waiting.ServiceSize) -> ids.ZoneId:
    """Return the zone of the ``i``-th host or upstream."""
    return ids.ZoneId(f"zone-{i % size.zones}")


def _host(i: int, size: _slot_waiting.ServiceSize) -> placement.HostView:
    """Return the ``i``-th entry host."""
    return placement.HostView(ids.HostId(f"entry-{i}"), _zone(i, size))


def _upstream(
    i: int, size: _slot_waiting.ServiceSize
) -> placement.UpstreamView:
    """Return the ``i``-th upstream."""
    name = ids.UpstreamId(f"10.9.{i}.1:9000#1")
    return placement.UpstreamView(name, SERVICE, _zone(i, size))


def _caller(i: int) -> ids.Address:
    """Return the ``i``-th caller."""
    return ids.Address(f"10.1.{i >> 8 & 255}.{i & 255}", 4000)
