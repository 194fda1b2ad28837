"""Which flows are moved from an upstream that lives, by design and event.

The hosts learn of each change at different moments; the packets of a flow
enter at any host that its caller reaches.
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
CONNECTIONS = 2000
"""Flows for each upstream."""
OPEN_S = 20.0
"""All flows open within this time."""
EVENT_S = 40.0
"""When the event happens."""
END_S = 280.0
"""When the last packets come."""
TICK_S = 0.1
"""How often time passes in the designs."""
LEARN_S = 0.5
"""Hosts learn of a change within this time."""
UNEVEN_S = 2.0
"""The same where views are to differ."""
DETECT_S = 1.5
"""A death is noticed after so long."""
LEAVE_S = 20.0
"""A host that leaves stays so long."""
CUT_S = 60.0
"""How long a cut lasts."""


@dataclasses.dataclass
class _Flow:
    """A caller and where its flow was last seen."""

    caller: ids.Address
    side: int
    stands: ids.UpstreamId | None = None
    broken: bool = False
    lost: bool = False


@dataclasses.dataclass(frozen=True)
class Broken:
    """What one run gave."""

    flows: int
    """Flows opened."""
    broken: int
    """Moved though their upstream lived and was reachable."""
    orphaned: int
    """Moved because their upstream was gone; no design can save them."""
    dropped: int
    """Packets that reached no upstream."""
    imbalance: float
    """Flows of the fullest upstream by the mean, before the event."""


class World:
    """One trace through one design."""

    def __init__(
        self, design: _fleet.Design, size: _slot_waiting.Size, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.design = design
        self.size = size
        self.learn_s = LEARN_S
        self.now = 0.0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()
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
        self.sides: dict[ids.ZoneId, int] = {}
        self._flows = [
            _Flow(_caller(i), self._draw_side())
            for i in range(size.upstreams * CONNECTIONS)
        ]
        for view in self.hosts.values():
            design.add_host(view, 0.0)
        self.learn(0.0)

    def _draw_side(self) -> int:
        """Return 1 for a caller that a cut leaves with the first zone."""
        return int(self.rng.random() < 1 / self.size.zones)

    # Time.

    def at(self, when: float, event: abc.Callable[[], None]) -> None:
        """Have ``event`` happen at ``when``."""
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def run(self) -> Broken:
        """Run the trace and return its figures."""
        self._schedule_packets()
        self.at(0.0, self._tick)
        self.at(EVENT_S - 0.001, self._note_imbalance)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            if self.now > END_S:
                break
            event()
        return self._result()

    def settle(self, seconds: float = 30.0) -> None:
        """Let time pass without packets."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        while self.now < end:
            self.now += TICK_S
            self.design.tick(self.now)

    def churn(self, rate: float, seconds: float) -> None:
        """Open new flows at a rate, for a while."""
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

    def last_new_after_drain(self) -> float:
        """Return when a drained upstream got its last new flow."""
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
        """Let time pass in the design."""
        self.design.tick(self.now)
        self.at(self.now + TICK_S, self._tick)

    def _schedule_packets(self) -> None:
        """Open all flows; some send all the time, others are idle long."""
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
                # Opened while the event goes on.
                times[0] = EVENT_S + self.rng.uniform(0, 8)
            send = functools.partial(self._send, flow)
            for when in times:
                self.at(when, send)

    def _send(self, flow: _Flow) -> None:
        """Send one packet of a flow through any host its caller reaches."""
        entries = [
            view.host
            for view in self.hosts.values()
            if not self.sides or self.sides[view.zone] == flow.side
        ]
        if not entries:
            self._dropped += 1
            return
        host = self.rng.choice(entries)
        found = self.design.packet(host, SERVICE, flow.caller, self.now)
        if found is None:
            self._dropped += 1
            return
        if flow.stands not in (None, found):
            if self._is_there(flow.stands, flow.side):
                flow.broken = True
            else:
                flow.lost = True
        flow.stands = found

    def _is_there(self, upstream: ids.UpstreamId | None, side: int) -> bool:
        """Return whether an upstream lives on the caller's side."""
        if upstream is None or upstream not in self.upstreams:
            return False
        zone = self.upstreams[upstream].zone
        return not self.sides or self.sides[zone] == side

    def _note_imbalance(self) -> None:
        """Count flows by upstream."""
        counts = dict.fromkeys(self.upstreams, 0)
        for flow in self._flows:
            if flow.stands in counts:
                counts[flow.stands] += 1
        mean = sum(counts.values()) / len(counts)
        self._imbalance = max(counts.values()) / mean

    def _result(self) -> Broken:
        """Return the figures."""
        return Broken(
            len(self._flows),
            sum(flow.broken for flow in self._flows),
            sum(flow.lost for flow in self._flows),
            self._dropped,
            self._imbalance,
        )

    # Changes.

    def learn(self, after_s: float | None = None) -> None:
        """Have every host learn what is so now, each at another moment."""
        for host in self.hosts:
            self.learn_at(host, after_s)

    def learn_at(self, host: ids.HostId, after_s: float | None = None) -> None:
        """Have one host learn what is so now."""
        side = self.sides.get(self.hosts[host].zone, 0)
        hosts = tuple(
            view
            for view in self.hosts.values()
            if self.sides.get(view.zone, 0) == side
        )
        upstreams = tuple(
            view
            for view in self.upstreams.values()
            if self.sides.get(view.zone, 0) == side
        )
        version = next(self._numbers)
        for learn, views in (
            (self.design.set_hosts, hosts),
            (self.design.set_upstreams, upstreams),
        ):
            wait = after_s
            if wait is None:
                wait = self.rng.uniform(0, self.learn_s)
            event = functools.partial(
                self._learned, host, version, learn, views
            )
            self.at(self.now + wait, event)

    def _learned(
        self,
        host: ids.HostId,
        version: int,
        learn: abc.Callable[..., None],
        views: tuple[typing.Any, ...],
    ) -> None:
        """Have a host learn of views unless it knows newer ones."""
        known = self._versions.get((host, learn.__name__), -1)
        if version > known:
            self._versions[host, learn.__name__] = version
            learn(host, views, self.now)

    def drain(self) -> None:
        """Drain the first upstream."""
        first = next(iter(self.upstreams))
        self.upstreams[first] = dataclasses.replace(
            self.upstreams[first], weight=0.0, accepts_new=False
        )
        self.learn()

    def add_upstream(self) -> None:
        """Add an upstream."""
        view = _upstream(self.size.upstreams, self.size)
        self.upstreams[view.upstream] = view
        self.learn()

    def crash_upstream(self) -> None:
        """End the last upstream."""
        self.upstreams.popitem()
        self.at(self.now + DETECT_S, self.learn)

    def crash_host(self) -> None:
        """End the last entry host."""
        host, _ = self.hosts.popitem()
        self.design.kill(host)
        self.at(self.now + DETECT_S, self.learn)

    def restart_host(self) -> None:
        """Kill the last entry host; it is back after 5 s."""
        host, view = self.hosts.popitem()
        self.design.kill(host)
        self.at(self.now + DETECT_S, self.learn)
        self.at(self.now + 5, lambda: self.join(view))

    def join(self, view: placement.HostView | None = None) -> None:
        """Add an entry host."""
        view = view or _host(self.size.hosts, self.size)
        self.hosts[view.host] = view
        self.design.add_host(view, self.now)
        self.learn_at(view.host, 0.0)
        self.learn()

    def leave(self) -> None:
        """Have the last entry host leave."""
        host = list(self.hosts)[-1]
        self.design.leave(host, self.now)
        self.hosts[host] = dataclasses.replace(
            self.hosts[host], state=placement.HostState.LEAVING
        )
        self.learn()
        self.at(self.now + LEAVE_S, lambda: self._end(host))

    def _end(self, host: ids.HostId) -> None:
        """End a host that has left."""
        del self.hosts[host]
        self.design.kill(host)
        self.learn()

    def cut(self) -> None:
        """Cut the first availability zone off, for a while."""
        zones = sorted({view.zone for view in self.hosts.values()})
        self.sides = {zone: int(zone == zones[0]) for zone in zones}
        self._set_sides()
        self.at(self.now + DETECT_S, self.learn)
        self.at(self.now + CUT_S, self.heal)

    def heal(self) -> None:
        """End the cut."""
        self.sides = {}
        self._set_sides()
        self.learn()

    def _set_sides(self) -> None:
        """Tell the design who reaches whom."""
        self.design.set_sides(
            {
                view.host: self.sides.get(view.zone, 0)
                for view in self.hosts.values()
            }
        )


def _zone(i: int, size: _slot_waiting.Size) -> ids.ZoneId:
    """Return the zone of the ``i``-th host or upstream."""
    return ids.ZoneId(f"zone-{i % size.zones}")


def _host(i: int, size: _slot_waiting.Size) -> placement.HostView:
    """Return the ``i``-th entry host."""
    return placement.HostView(ids.HostId(f"entry-{i}"), _zone(i, size))


def _upstream(i: int, size: _slot_waiting.Size) -> placement.UpstreamView:
    """Return the ``i``-th upstream."""
    name = ids.UpstreamId(f"10.9.{i}.1:9000#1")
    return placement.UpstreamView(name, SERVICE, _zone(i, size))


def _caller(i: int) -> ids.Address:
    """Return the ``i``-th caller."""
    return ids.Address(f"10.1.{i >> 8 & 255}.{i & 255}", 4000)
