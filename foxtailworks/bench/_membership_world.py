"""Membership and directories under faults, with their promises checked.

Upstreams announce themselves through any host, as the fabric would have it.
Every event of every process is checked when it happens; agreement is checked
after everything has healed.
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
class UpstreamProcess:
    """One upstream address and the process that owns it now."""

    announcement: upstreams.Announcement
    running: bool = True


class World:
    """A cluster, its upstreams, and what must hold.

    :raises AssertionError: a promise is broken
    """

    def __init__(
        self, hosts: int, zones: int, regions: int, addresses: int, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self.cluster = _virtual_cluster.Cluster(
            hosts, zones, regions, seed, self._observe
        )
        self.upstreams: dict[int, UpstreamProcess] = {}
        self.addresses = addresses
        self._zones = zones
        self._claims: dict[tuple[int, str], tuple[int, int]] = {}
        self._gone: set[tuple[int, ids.UpstreamId]] = set()
        self._newest: dict[tuple[int, ids.Address], int] = {}
        self._incarnations: dict[int, int] = {}
        self.cluster.start_all()

    # Faults and changes.

    def start_upstream(self, number: int, service: int) -> None:
        """Start a new process at an address, perhaps for another service."""
        self._incarnations[number] = self._incarnations.get(number, 0) + 1
        announcement = upstreams.Announcement(
            address=ids.Address(f"10.200.0.{number + 1}", 5683),
            customer=CUSTOMER,
            service=SERVICES[service],
            zone=ids.ZoneId(f"zone-{number % self._zones}"),
            incarnation=ids.Incarnation(self._incarnations[number]),
            lifetime_s=LIFETIME_S,
        )
        process = UpstreamProcess(announcement)
        self.stop_upstream(number)
        self.upstreams[number] = process
        self._announce(process)

    def stop_upstream(self, number: int) -> None:
        """End an upstream without a word."""
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

    def _announce(self, process: UpstreamProcess) -> None:
        """Announce an upstream again and again."""
        if process.running:
            self._announce_once(process)
            again = LIFETIME_S / 3 * self._rng.uniform(0.9, 1.1)
            self.cluster.later(again, lambda: self._announce(process))

    def _announce_once(self, process: UpstreamProcess) -> None:
        """Announce an upstream to one host that the fabric chose."""
        running = sorted(self.cluster.processes)
        if running:
            number = self._rng.choice(running)
            self.cluster.announce(number, process.announcement)

    # What must hold at every event.

    def _observe(
        self, process: _virtual_cluster.Process, event: object, now: float
    ) -> None:
        """Check one event of one process."""
        if isinstance(event, membership.HostChanged):
            self._check_claim(process, event)
        elif isinstance(event, upstreams.UpstreamChanged):
            self._check_upstream(process, event)
            self._check_candidates(process, event, now)
        elif isinstance(event, upstreams.AnnouncementRefused):
            self._on_refused(event)

    def _check_claim(
        self, process: _virtual_cluster.Process, event: membership.HostChanged
    ) -> None:
        """A claim is ended by a higher incarnation or a later state only."""
        key = (process.serial, event.host.id)
        rank = (event.host.incarnation, event.state.value)
        assert rank > self._claims.get(key, (-1, 0)), ("fell back", event)
        self._claims[key] = rank

    def _check_upstream(
        self,
        process: _virtual_cluster.Process,
        event: upstreams.UpstreamChanged,
    ) -> None:
        """What has ended or lost its address never comes back."""
        upstream = event.upstream
        gone = (process.serial, event.id)
        key = (process.serial, upstream.address)
        if event.is_open:
            assert gone not in self._gone, ("came back", event)
            newest = self._newest.get(key, -1)
            assert upstream.incarnation >= newest, ("older", event)
            self._newest[key] = upstream.incarnation
        elif upstream.state is _State.ENDED:
            self._gone.add(gone)
        found = process.directory.get(event.id)
        if not event.is_open:
            assert found is None, ("still found", event)

    def _check_candidates(
        self,
        process: _virtual_cluster.Process,
        event: upstreams.UpstreamChanged,
        now: float,
    ) -> None:
        """No candidate drains, has ended or belongs to another service."""
        for service in SERVICES:
            found = process.directory.candidates(CUSTOMER, service, now)
            for item in found:
                record = process.directory.get(item.id)
                assert record is not None, ("ended candidate", item)
                assert record.takes_work, ("draining candidate", item)
                assert record.service == service, ("wrong service", item)

    def _on_refused(self, event: upstreams.AnnouncementRefused) -> None:
        """Start a refused upstream under the incarnation that is asked."""
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

    # What must hold after everything has healed.

    def converge(self, seconds: float = CONVERGE_S) -> None:
        """Heal all, let time pass and check that every host agrees."""
        self.cluster.heal()
        self.cluster.network = _virtual_cluster.Network()
        self.cluster.run(seconds)
        running = {
            process.host.id: process
            for process in self.cluster.processes.values()
        }
        live = {key for key, item in running.items() if not item.leaving}
        for process in running.values():
            self._check_view(process, live)
            self._check_records(process)

    def _check_view(
        self, process: _virtual_cluster.Process, live: set[ids.HostId]
    ) -> None:
        """Each host holds exactly the running ones as live."""
        seen = {host.id for host in process.membership.live()}
        missing, wrong = live - seen, seen - live
        assert not missing and not wrong, (process.host.id, missing, wrong)
        zones = {
            item.host.zone
            for item in self.cluster.processes.values()
            if item.host.id in live
        }
        cut = process.membership.unreachable_zones() & zones
        assert not cut, (process.host.id, cut)

    def _check_records(self, process: _virtual_cluster.Process) -> None:
        """Each host knows the running upstreams and no other."""
        found = {
            item.address: (item.incarnation, item.service, item.state)
            for item in process.directory.all()
            if item.is_open and not self._is_rightly_lapsed(process, item)
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

    def _is_rightly_lapsed(
        self, process: _virtual_cluster.Process, item: upstreams.Upstream
    ) -> bool:
        """Tell whether no host is left that could say how it fares.

        A zone whose last hosts died at once can't be told from one that is
        cut off, so that the upstreams they held only lapse.
        """
        holder = process.membership.get(item.holder)
        zones = {
            other.host.zone
            for other in self.cluster.processes.values()
            if not other.leaving
        }
        is_lost = holder is not None and holder.zone not in zones
        return is_lost and item.address in process.directory.lapsed()
