"""Upstreams that may be unreachable or whose lifetime is uncertain."""

from foxtailworks import ids
from foxtailworks import membership
from foxtailworks.upstreams import _record
from foxtailworks.upstreams import _table


class Reachability:
    """Lapsed upstreams and unreachable availability zones on one host."""

    def __init__(self) -> None:
        self.lapsed: set[ids.Address] = set()
        """Upstreams whose lifetime is over on this host, but may have been
        renewed by their unreachable holder."""
        self._unreachable_zones: set[ids.ZoneId] = set()
        # Announced here although their zone is unreachable.
        self._reachable: set[ids.Address] = set()

    def takes_work(self, item: _record.Upstream) -> bool:
        """Return whether an upstream takes work and isn't lapsed."""
        return item.takes_work and item.address not in self.lapsed

    def is_unreachable(self, item: _record.Upstream) -> bool:
        """Return whether an upstream's zone is unreachable.

        An upstream that was announced here since then is reachable.
        """
        return (
            item.zone in self._unreachable_zones
            and item.address not in self._reachable
        )

    def is_uncertain(self, item: _record.Upstream) -> bool:
        """Return whether an upstream is lapsed or unreachable."""
        return item.address in self.lapsed or self.is_unreachable(item)

    def on_merged(self, item: _record.Upstream) -> None:
        """Count the upstream of a newly merged record as reachable."""
        if item.zone in self._unreachable_zones:
            self._reachable.add(item.address)

    def on_zone_changed(
        self, event: membership.ZoneChanged, table: _table.UpstreamTable
    ) -> None:
        """Update the unreachable zones; forget what was heard from one."""
        change = (
            self._unreachable_zones.discard
            if event.reachable
            else self._unreachable_zones.add
        )
        change(event.zone)
        self._reachable = {
            address
            for address in self._reachable
            if (item := table.get(address)) is not None
            and item.zone in self._unreachable_zones - {event.zone}
        }
