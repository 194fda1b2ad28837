"""Placement: every host assigns a flow to the same upstream.

Shows: packets of one flow arrive at any host and reach one upstream; a host
stops and no flow moves; an upstream leaves and only its flows move.
"""

from collections import abc
import random

from foxtailworks import ids
from foxtailworks import placement

TICK_S = 0.1
SERVICE = ids.ServiceId("slot-desk")
HOSTS = tuple(
    placement.HostView(ids.HostId(f"host-{n}"), ids.ZoneId(f"zone-{n % 2}"))
    for n in range(4)
)
UPSTREAMS = tuple(
    placement.UpstreamView(
        ids.UpstreamId(f"10.0.9.{n + 1}:5683#1"),
        SERVICE,
        ids.ZoneId(f"zone-{n % 2}"),
    )
    for n in range(6)
)
CALLERS = tuple(ids.Address("10.1.0.1", port) for port in range(2000, 2200))
Assignments = dict[ids.Address, ids.UpstreamId]


class Adapter:
    """Delivers packets and control messages between hosts without delay."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.placers = {
            view.host: placement.Placer(
                view.host, view.zone, self.now, ids.Incarnation(1)
            )
            for view in HOSTS
        }
        for placer in self.placers.values():
            placer.set_roster(HOSTS)
            placer.set_hosts(HOSTS, self.now)
            placer.set_upstreams(UPSTREAMS, self.now)

    def stop(self, host: ids.HostId) -> None:
        """Stop a host and update the others' lists of hosts."""
        del self.placers[host]
        left = tuple(view for view in HOSTS if view.host in self.placers)
        for placer in self.placers.values():
            placer.set_hosts(left, self.now)

    def set_upstreams_everywhere(
        self, views: tuple[placement.UpstreamView, ...]
    ) -> None:
        """Set the remaining upstreams on all hosts."""
        for placer in self.placers.values():
            placer.set_upstreams(views, self.now)

    def run(self, seconds: float) -> None:
        """Advance the virtual time; control messages arrive without delay."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            for host, placer in self.placers.items():
                for send in list(placer.on_tick(self.now)):
                    self._send(host, send)

    def _send(self, src: ids.HostId, send: placement.Send) -> None:
        """Deliver a control message and the answers to it."""
        if send.host in self.placers:
            placer = self.placers[send.host]
            for answer in placer.on_message(src, send.message, self.now):
                self._send(send.host, answer)

    def packet(self, caller: ids.Address) -> placement.Decision:
        """Send a packet to a random host; follow its relays to the end."""
        host = self.rng.choice(sorted(self.placers))
        decision = self.placers[host].on_packet(SERVICE, caller, self.now)
        while isinstance(decision, placement.RelayTo):
            src, host = host, decision.host
            decision = self.placers[host].on_packet(
                SERVICE, caller, self.now, src, decision.hops
            )
        return decision

    def assignments(self) -> Assignments:
        """Send a packet from each caller; return the upstreams by caller."""
        found: Assignments = {}
        for caller in CALLERS:
            decision = self.packet(caller)
            assert isinstance(decision, placement.Deliver)
            found[caller] = decision.upstream
        return found


def run(seed: int) -> abc.Iterator[str]:
    """Run the scenario and yield a line for each result."""
    adapter = Adapter(seed)
    adapter.run(30.0)
    first = adapter.assignments()
    assert len(set(first.values())) == len(UPSTREAMS)
    for _ in range(5):
        adapter.run(1.0)
        assert adapter.assignments() == first
    yield f"{len(CALLERS)} flows, 6 packets each: each at one upstream"

    adapter.stop(HOSTS[0].host)
    adapter.run(1.0)
    assert adapter.assignments() == first
    yield f"{HOSTS[0].host} stopped; no flow moved"

    gone = UPSTREAMS[0].upstream
    adapter.set_upstreams_everywhere(UPSTREAMS[1:])
    adapter.run(1.0)
    last = adapter.assignments()
    moved = {caller for caller in CALLERS if last[caller] != first[caller]}
    assert moved == {c for c, upstream in first.items() if upstream == gone}
    assert gone not in last.values()
    yield f"{gone} left; its {len(moved)} flows moved and no other"


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
