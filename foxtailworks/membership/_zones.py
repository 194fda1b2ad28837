"""Relays between availability zones and their reachability reports."""

import collections
import dataclasses

import xxhash

from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _events
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts
from foxtailworks.membership import _messages
from foxtailworks.membership import _replication

REPORT_REFRESH_S = 5.0
MAX_REPORTS = 1_024


def choose_relays(hosts: list[_host.Host], count: int) -> list[_host.Host]:
    """Choose the relays of one zone; every host chooses the same."""
    ranked = sorted(
        hosts, key=lambda host: xxhash.xxh64_intdigest(host.id.encode())
    )
    return ranked[:count]


@dataclasses.dataclass(slots=True)
class _Report:
    """Last report of one relay on one zone."""

    sequence: int
    reachable: bool
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Contact:
    """Contact of this relay with another zone."""

    last_contact_at: float
    unanswered_probes: int = 0
    reported_at: float = -1e9
    reachable: bool = True


class ZoneMonitor:
    """Reports of the own zone's relays on the other zones.

    Each relay probes hosts of the other zones and reports zones that don't
    answer. A zone counts as unreachable when a majority of the relays
    reports it so. Reports expire unless they are renewed.
    """

    tags = frozenset({121})

    def __init__(
        self, me: _host.Host, config: _config.Config, hosts: _hosts.HostTable
    ) -> None:
        self._me = me
        self._cfg = config
        self._hosts = hosts
        self._reports: dict[tuple[ids.HostId, ids.ZoneId], _Report] = {}
        self._contacts: dict[ids.ZoneId, _Contact] = {}
        self._queue = _replication.GossipQueue()
        self._sequence = 0
        self._leaving = False
        self.unreachable: frozenset[ids.ZoneId] = frozenset()
        self.pending = self._queue.pending
        self.hashes = _replication.BucketHashes()
        self.changed_at = 0.0

    def relays(self, zone: ids.ZoneId) -> list[_host.Host]:
        """Return the relays of ``zone`` among its live hosts."""
        return choose_relays(
            self._hosts.live_in(zone), self._cfg.relays_per_zone
        )

    def leave(self) -> None:
        """Count only own reports, since a leaving host gets no gossip."""
        self._leaving = True

    def is_relay(self) -> bool:
        """Return whether this host is a relay of its zone."""
        return self._me.id in self._counted_reporters()

    def _counted_reporters(self) -> set[ids.HostId]:
        """Return the hosts whose reports count on this host."""
        if self._leaving:
            return {self._me.id}
        return {host.id for host in self.relays(self._me.zone)}

    def on_probe_sent(self, zone: ids.ZoneId, now: float) -> None:
        """Count a probe sent to another zone."""
        contact = self._contacts.setdefault(zone, _Contact(now))
        contact.unanswered_probes += 1

    def on_contact(self, zone: ids.ZoneId, now: float) -> None:
        """Record contact with another zone."""
        contact = self._contacts.get(zone)
        if contact is not None:
            contact.last_contact_at = now
            contact.unanswered_probes = 0

    def clear_contacts(self) -> None:
        """Discard all contacts, after a suspension or as no relay any more."""
        self._contacts.clear()

    def make_reports(self, now: float) -> list[object]:
        """Report zones that changed, and renew reports on unreachable ones.

        :return: events of zones that changed by it
        """
        events: list[object] = []
        for zone, contact in self._contacts.items():
            since_contact_s = now - contact.last_contact_at
            reachable = (
                since_contact_s < self._cfg.zone_timeout_s
                or contact.unanswered_probes < 3
            )
            is_due = now - contact.reported_at >= REPORT_REFRESH_S
            if reachable == contact.reachable and (reachable or not is_due):
                continue
            contact.reachable = reachable
            contact.reported_at = now
            # The time keeps the number growing over restarts of this relay.
            self._sequence = max(self._sequence + 1, int(now * 10))
            report = _messages.ZoneReport(
                self._me.id, self._sequence, zone, reachable
            )
            events += self.merge(report, _replication.GossipScope.ZONE, now)
        return events

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Set the number of live hosts in the zone and this host's role."""
        self._queue.set_role(zone_hosts, is_relay)

    def decode(self, item: bytes) -> _messages.ZoneReport:
        """Decode the report in ``item``.

        :raises FoxtailError: the item is malformed
        """
        report = _messages.CODEC.decode(item)
        assert isinstance(report, _messages.ZoneReport)
        return report

    def merge(
        self,
        record: _messages.ZoneReport,
        scope: _replication.GossipScope,
        now: float,
    ) -> list[object]:
        """Store a newer report of a host of the own zone; return events."""
        reporter = self._hosts.get(record.reporter)
        if reporter is None or reporter.zone != self._me.zone:
            return []
        key = (record.reporter, record.zone)
        old = self._reports.get(key)
        if old is not None and old.sequence >= record.sequence:
            return []
        if old is None and len(self._reports) >= MAX_REPORTS:
            return []
        expires_at = now + self._cfg.zone_report_lifetime_s
        self._reports[key] = _Report(
            record.sequence, record.reachable, expires_at
        )
        self._queue.put(
            f"{record.reporter}/{record.zone}",
            _messages.CODEC.encode(record),
            _replication.GossipScope.ZONE,
            urgent=True,
        )
        return self._update_unreachable(now)

    def _update_unreachable(self, now: float) -> list[object]:
        """Recompute the unreachable zones; return events for the changes."""
        relays = self._counted_reporters()
        counts: collections.Counter[ids.ZoneId] = collections.Counter(
            zone
            for (reporter, zone), report in self._reports.items()
            if reporter in relays and not report.reachable
        )
        unreachable = frozenset(
            zone for zone, count in counts.items() if 2 * count > len(relays)
        )
        changed = sorted(unreachable ^ self.unreachable)
        self.unreachable = unreachable
        return [
            _events.ZoneChanged(zone, zone not in unreachable)
            for zone in changed
        ]

    def on_tick(self, now: float) -> list[object]:
        """Drop expired reports and recompute the unreachable zones."""
        ended = [
            k for k, item in self._reports.items() if now >= item.expires_at
        ]
        for key in ended:
            del self._reports[key]
        return self._update_unreachable(now) if ended else []

    def on_event(self, event: _events.Event, now: float) -> list[object]:
        """Recompute the unreachable zones, since relays may have changed."""
        return self._update_unreachable(now) if self._reports else []

    def items_of(self, bucket: int) -> list[bytes]:
        """Return no records: reports are renewed, not compared."""
        return []
