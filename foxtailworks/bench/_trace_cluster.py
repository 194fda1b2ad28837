"""Hosts, upstreams and network of a simulated trace, in virtual time.

The hosts are notified of each change at different moments.
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


class TraceCluster:
    """Applies changes to a placement design and notifies its hosts.

    :param rng: source of the delays of notifications
    """

    def __init__(
        self,
        design: _fleet.Design,
        size: _slot_waiting.ServiceSize,
        rng: random.Random,
    ) -> None:
        self.rng = rng
        self.design = design
        self.size = size
        self.notify_s = NOTIFY_S
        self.now = 0.0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._serials = itertools.count()
        self._versions: dict[tuple[ids.HostId, str], int] = {}
        self.hosts = {
            view.host: view
            for view in (_host(i, size) for i in range(size.hosts))
        }
        self.upstreams = {
            view.upstream: view
            for view in (_upstream(i, size) for i in range(size.upstreams))
        }
        self.partitions: dict[ids.ZoneId, int] = {}
        for view in self.hosts.values():
            design.add_host(view, 0.0)
        self.notify_all(0.0)

    # Virtual time.

    def schedule(self, when: float, event: abc.Callable[[], None]) -> None:
        """Schedule ``event`` at ``when``, in virtual seconds."""
        heapq.heappush(self._events, (when, next(self._serials), event))

    def run_until(self, end: float) -> None:
        """Run the events that are scheduled until ``end``."""
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def settle(self, seconds: float = 30.0) -> None:
        """Advance virtual time without packets."""
        end = self.now + seconds
        self.run_until(end)
        while self.now < end:
            self.now += TICK_S
            self.design.tick(self.now)

    def tick(self) -> None:
        """Run the design's timers and schedule the next tick."""
        self.design.tick(self.now)
        self.schedule(self.now + TICK_S, self.tick)

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
