"""Simulated cluster that checks the invariants of membership and directory.

Upstreams announce themselves through any host, as with the fabric. Every
event of every process is checked when it happens; agreement of the hosts is
checked after all faults have healed.
"""

import dataclasses
import random

from foxtailworks.bench import _virtual_cluster
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import upstreams

LIFETIME_S = 15.0
CONVERGE_S = 90.0
CUSTOMER = ids.CustomerId("huaylas")
SERVICES = (ids.ServiceId("routes"), ids.ServiceId("photos"))

_State = upstreams.UpstreamState


@dataclasses.dataclass(slots=True)
class SimulatedUpstream:
    """A simulated upstream process and its latest announcement."""

    announcement: upstreams.Announcement
    running: bool = True


class World:
    """A simulated cluster, its upstreams and their invariants.

    :raises AssertionError: an invariant is violated
    """

    def __init__(
        self, hosts: int, zones: int, regions: int, addresses: int, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self.cluster = _virtual_cluster.Cluster(
            hosts, zones, regions, seed, self._observe
        )
        self.upstreams: dict[int, SimulatedUpstream] = {}
        self.addresses = addresses
        self._zones = zones
        self._last_states: dict[tuple[int, str], tuple[int, int]] = {}
        self._ended: set[tuple[int, ids.UpstreamId]] = set()
        self._newest_incarnations: dict[tuple[int, ids.Address], int] = {}
        self._incarnations: dict[int, int] = {}
        self.cluster.start_all()

    # Faults and changes.

    def start_upstream(self, number: int, service: int) -> None:
        """Start a new process at an address, possibly of another service."""
        self._incarnations[number] = self._incarnations.get(number, 0) + 1
        announcement = upstreams.Announcement(
            address=ids.Address(f"10.200.0.{number + 1}", 5683),
            customer=CUSTOMER,
            service=SERVICES[service],
            zone=ids.ZoneId(f"zone-{number % self._zones}"),
            incarnation=ids.Incarnation(self._incarnations[number]),
            lifetime_s=LIFETIME_S,
        )
        process = SimulatedUpstream(announcement)
        self.stop_upstream(number)
        self.upstreams[number] = process
        self._announce_periodically(process)

    def stop_upstream(self, number: int) -> None:
        """Stop an upstream without an announcement."""
        process = self.upstreams.pop(number, None)
        if process is not None:
            process.running = False

    def drain_upstream(self, number: int) -> None:
        """Let an upstream announce that it drains."""
        process = self.upstreams[number]
        process.announcement = dataclasses.replace(
            process.announcement, state=_State.DRAINING
        )
        self._announce_once(process)

    def _announce_periodically(self, process: SimulatedUpstream) -> None:
        """Announce an upstream now and at intervals while it runs."""
        if process.running:
            self._announce_once(process)
            delay_s = LIFETIME_S / 3 * self._rng.uniform(0.9, 1.1)
            self.cluster.schedule(
                delay_s, lambda: self._announce_periodically(process)
            )

    def _announce_once(self, process: SimulatedUpstream) -> None:
        """Announce an upstream to one random running host."""
        running = sorted(self.cluster.processes)
        if running:
            number = self._rng.choice(running)
            self.cluster.announce(number, process.announcement)

    # Invariants of every event.

    def _observe(
        self, process: _virtual_cluster.Process, event: object, now: float
    ) -> None:
        """Check the invariants of one event of one process."""
        if isinstance(event, membership.HostChanged):
            self._check_host_state(process, event)
        elif isinstance(event, upstreams.UpstreamChanged):
            self._check_upstream_change(process, event)
            self._check_candidates(process, event, now)
        elif isinstance(event, upstreams.AnnouncementRefused):
            self._raise_incarnation(event)

    def _check_host_state(
        self, process: _virtual_cluster.Process, event: membership.HostChanged
    ) -> None:
        """Check that a host's incarnation and state never go back."""
        key = (process.serial, event.host.id)
        rank = (event.host.incarnation, event.state.value)
        assert rank > self._last_states.get(key, (-1, 0)), (
            "state went back",
            event,
        )
        self._last_states[key] = rank

    def _check_upstream_change(
        self,
        process: _virtual_cluster.Process,
        event: upstreams.UpstreamChanged,
    ) -> None:
        """Check that an ended or replaced upstream never opens again."""
        upstream = event.upstream
        ended_key = (process.serial, event.id)
        key = (process.serial, upstream.address)
        if event.is_open:
            assert ended_key not in self._ended, (
                "ended upstream reopened",
                event,
            )
            newest = self._newest_incarnations.get(key, -1)
            assert upstream.incarnation >= newest, (
                "incarnation went back",
                event,
            )
            self._newest_incarnations[key] = upstream.incarnation
        elif upstream.state is _State.ENDED:
            self._ended.add(ended_key)
        found = process.directory.get(event.id)
        if not event.is_open:
            assert found is None, ("closed upstream still listed", event)

    def _check_candidates(
        self,
        process: _virtual_cluster.Process,
        event: upstreams.UpstreamChanged,
        now: float,
    ) -> None:
        """Check that all candidates take work and are of the service."""
        for service in SERVICES:
            found = process.directory.candidates(CUSTOMER, service, now)
            for item in found:
                record = process.directory.get(item.id)
                assert record is not None, ("ended candidate", item)
                assert record.takes_work, ("draining candidate", item)
                assert record.service == service, ("wrong service", item)

    def _raise_incarnation(self, event: upstreams.AnnouncementRefused) -> None:
        """Raise a refused upstream's incarnation above the recorded one."""
        for number, process in self.upstreams.items():
            old = process.announcement
            if old.address != event.address:
                continue
            if old.incarnation <= event.incarnation:
                incarnation = ids.Incarnation(event.incarnation + 1)
                self._incarnations[number] = incarnation
                process.announcement = dataclasses.replace(
                    old, incarnation=incarnation
                )

    # Invariants after all faults have healed.

    def converge(self, seconds: float = CONVERGE_S) -> None:
        """Heal all faults, run for ``seconds`` and check agreement."""
        self.cluster.heal()
        self.cluster.network = _virtual_cluster.Network()
        self.cluster.run(seconds)
        running = {
            process.host.id: process
            for process in self.cluster.processes.values()
        }
        live = {key for key, item in running.items() if not item.leaving}
        for process in running.values():
            self._check_live_hosts(process, live)
            self._check_upstreams(process)

    def _check_live_hosts(
        self, process: _virtual_cluster.Process, live: set[ids.HostId]
    ) -> None:
        """Check that a host's live hosts are exactly the running ones."""
        seen = {host.id for host in process.membership.live()}
        missing, wrong = live - seen, seen - live
        assert not missing and not wrong, (process.host.id, missing, wrong)
        zones = {
            item.host.zone
            for item in self.cluster.processes.values()
            if item.host.id in live
        }
        unreachable = process.membership.unreachable_zones() & zones
        assert not unreachable, (process.host.id, unreachable)

    def _check_upstreams(self, process: _virtual_cluster.Process) -> None:
        """Check that a host lists exactly the running upstreams."""
        found = {
            item.address: (item.incarnation, item.service, item.state)
            for item in process.directory.all()
            if item.is_open and not self._has_lost_holder_zone(process, item)
        }
        wanted = {
            item.announcement.address: (
                item.announcement.incarnation,
                item.announcement.service,
                item.announcement.state,
            )
            for item in self.upstreams.values()
        }
        assert found == wanted, (process.host.id, found, wanted)
        for item in self.upstreams.values():
            service = item.announcement.service
            now = self.cluster.now
            ready = item.announcement.state is _State.READY
            chosen = process.directory.candidates(CUSTOMER, service, now)
            is_in = item.announcement.id in {one.id for one in chosen}
            assert is_in == ready, (process.host.id, item.announcement)

    def _has_lost_holder_zone(
        self, process: _virtual_cluster.Process, item: upstreams.Upstream
    ) -> bool:
        """Return whether an upstream lapsed because its holder's zone is lost.

        A zone whose last hosts died at once can't be distinguished from an
        isolated one, so that the upstreams they held only lapse.
        """
        holder = process.membership.get(item.holder)
        zones = {
            other.host.zone
            for other in self.cluster.processes.values()
            if not other.leaving
        }
        is_lost = holder is not None and holder.zone not in zones
        return is_lost and item.address in process.directory.lapsed()
