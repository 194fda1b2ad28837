"""Relays between availability zones and which zones they reach."""

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
    """Return the relays of one zone: the same on every host."""
    ranked = sorted(
        hosts, key=lambda host: xxhash.xxh64_intdigest(host.id.encode())
    )
    return ranked[:count]


@dataclasses.dataclass(slots=True)
class _Report:
    """The last report of one relay on one zone."""

    sequence: int
    reachable: bool
    until: float


@dataclasses.dataclass(slots=True)
class _Contact:
    """What this relay has seen of another zone."""

    heard_at: float
    asked: int = 0
    reported_at: float = -1e9
    reachable: bool = True


class ZoneMonitor:
    """Reports of the own zone's relays on the other zones.

    Each relay probes hosts of the other zones and reports those that stay
    silent. A zone counts as cut off when a majority of the relays says so.
    Reports end by themselves.
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
        self.cut: frozenset[ids.ZoneId] = frozenset()
        self.pending = self._queue.pending
        self.hashes = _replication.BucketHashes()
        self.changed_at = 0.0

    def relays(self, zone: ids.ZoneId) -> list[_host.Host]:
        """Return the relays of ``zone``."""
        return choose_relays(self._hosts.live_in(zone), self._cfg.relays)

    def leave(self) -> None:
        """Watch other zones by oneself: news no longer comes here."""
        self._leaving = True

    def is_relay(self) -> bool:
        """Tell whether this host speaks with other zones."""
        return self._me.id in self._reporters()

    def _reporters(self) -> set[ids.HostId]:
        """Return the hosts whose reports count here."""
        if self._leaving:
            return {self._me.id}
        return {host.id for host in self.relays(self._me.zone)}

    def note_asked(self, zone: ids.ZoneId, now: float) -> None:
        """Count a probe that went to another zone."""
        contact = self._contacts.setdefault(zone, _Contact(now))
        contact.asked += 1

    def note_heard(self, zone: ids.ZoneId, now: float) -> None:
        """Note an answer out of another zone."""
        contact = self._contacts.get(zone)
        if contact is not None:
            contact.heard_at = now
            contact.asked = 0

    def forget_contacts(self) -> None:
        """Start anew: this host was stopped or isn't a relay any more."""
        self._contacts.clear()

    def report(self, now: float) -> list[object]:
        """Report on zones whose state changed or must be renewed."""
        events: list[object] = []
        for zone, contact in self._contacts.items():
            silent = now - contact.heard_at
            reachable = silent < self._cfg.zone_timeout_s or contact.asked < 3
            is_due = now - contact.reported_at >= REPORT_REFRESH_S
            if reachable == contact.reachable and (reachable or not is_due):
                continue
            contact.reachable = reachable
            contact.reported_at = now
            # Time grows over restarts of a relay as a plain count wouldn't.
            self._sequence = max(self._sequence + 1, int(now * 10))
            report = _messages.ZoneReport(
                self._me.id, self._sequence, zone, reachable
            )
            events += self.merge(report, _replication.GossipScope.ZONE, now)
        return events

    def set_role(self, zone_hosts: int, is_relay: bool) -> None:
        """Learn the size of the own zone and whether this host relays."""
        self._queue.set_role(zone_hosts, is_relay)

    def decode(self, item: bytes) -> _messages.ZoneReport:
        """Return the report in ``item``."""
        report = _messages.CODEC.decode(item)
        assert isinstance(report, _messages.ZoneReport)
        return report

    def merge(
        self,
        record: _messages.ZoneReport,
        spread: _replication.GossipScope,
        now: float,
    ) -> list[object]:
        """Take a report in if it is newer; only relays of the own zone."""
        reporter = self._hosts.get(record.reporter)
        if reporter is None or reporter.zone != self._me.zone:
            return []
        key = (record.reporter, record.zone)
        old = self._reports.get(key)
        if old is not None and old.sequence >= record.sequence:
            return []
        if old is None and len(self._reports) >= MAX_REPORTS:
            return []
        until = now + self._cfg.zone_report_s
        self._reports[key] = _Report(record.sequence, record.reachable, until)
        self._queue.put(
            f"{record.reporter}/{record.zone}",
            _messages.CODEC.encode(record),
            _replication.GossipScope.ZONE,
            urgent=True,
        )
        return self._judge(now)

    def _judge(self, now: float) -> list[object]:
        """Work out which zones are cut off; tell the changes."""
        relays = self._reporters()
        down: collections.Counter[ids.ZoneId] = collections.Counter(
            zone
            for (reporter, zone), report in self._reports.items()
            if reporter in relays and not report.reachable
        )
        cut = frozenset(
            zone for zone, count in down.items() if 2 * count > len(relays)
        )
        changed = sorted(cut ^ self.cut)
        self.cut = cut
        return [_events.ZoneChanged(zone, zone not in cut) for zone in changed]

    def on_tick(self, now: float) -> list[object]:
        """Drop reports that ended and judge again."""
        ended = [k for k, item in self._reports.items() if now >= item.until]
        for key in ended:
            del self._reports[key]
        return self._judge(now) if ended else []

    def on_event(self, event: _events.Event, now: float) -> list[object]:
        """Judge again when the set of relays may have changed."""
        return self._judge(now) if self._reports else []

    def items_of(self, bucket: int) -> list[bytes]:
        """Return nothing: reports are renewed, not compared."""
        return []
