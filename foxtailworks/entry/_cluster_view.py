"""Hosts and upstreams as the data paths and the placer need them."""

from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import placement
from foxtailworks import upstreams

# A leaving host hands its flows over for so many seconds at most.
MAX_LEAVING_S = 15.0


class ClusterView:
    """Resolves addresses; updates the placer's changed hosts and upstreams."""

    def __init__(
        self,
        members: membership.Membership,
        directory: upstreams.Directory,
        placer: placement.Placer,
    ) -> None:
        self._members = members
        self._directory = directory
        self._placer = placer
        self._last_versions: tuple[int, int, int] = (-1, -1, -1)
        self._left_at: dict[ids.HostId, float] = {}
        self._hosts_by_address: dict[ids.Address, ids.HostId] = {}
        self._upstreams_by_address: dict[ids.Address, upstreams.Upstream] = {}

    def refresh(self, now: float) -> bool:
        """Update the placer and return whether anything has changed."""
        leaving = self._leaving(now)
        versions = (
            self._members.version(),
            self._directory.records_version(),
            len(leaving),
        )
        if versions == self._last_versions:
            return False
        self._last_versions = versions
        self._hosts_by_address = {
            item.address: item.id for item in self._members.hosts()
        }
        open_ones = [item for item in self._directory.all() if item.is_open]
        self._upstreams_by_address = {item.address: item for item in open_ones}
        self._placer.set_hosts(self._host_views(leaving), now)
        upstream_views = tuple(self._upstream_view(item) for item in open_ones)
        self._placer.set_upstreams(upstream_views, now)
        return True

    def _leaving(self, now: float) -> tuple[membership.Host, ...]:
        """Return hosts that announced that they leave and may still run."""
        left = [
            item
            for item in self._members.hosts()
            if item.state is membership.HostState.LEFT
        ]
        for item in left:
            self._left_at.setdefault(item.id, now)
        known = {item.id for item in left}
        for host in [h for h in self._left_at if h not in known]:
            del self._left_at[host]
        return tuple(
            item
            for item in left
            if now - self._left_at[item.id] < MAX_LEAVING_S
        )

    def _host_views(
        self, leaving: tuple[membership.Host, ...]
    ) -> tuple[placement.HostView, ...]:
        """Return the placer's views of live and leaving hosts."""
        live_views = (
            placement.HostView(item.id, item.zone)
            for item in self._members.live()
        )
        state = placement.HostState.LEAVING
        leaving_views = (
            placement.HostView(item.id, item.zone, state) for item in leaving
        )
        return (*live_views, *leaving_views)

    def _upstream_view(
        self, item: upstreams.Upstream
    ) -> placement.UpstreamView:
        """Return the placer's view of one upstream."""
        health = self._directory.health_of(item.id)
        backed_off = health is upstreams.HealthState.BACKED_OFF
        return placement.UpstreamView(
            upstream=item.id,
            service=_services.service_key(item.customer, item.service),
            zone=item.zone,
            weight=item.slots * item.weight if item.takes_work else 0.0,
            accepts_new=item.takes_work and not backed_off,
        )

    def host_at(self, address: ids.Address) -> ids.HostId | None:
        """Return the entry host with the peer address, or ``None``."""
        return self._hosts_by_address.get(address)

    def address_of(self, host: ids.HostId) -> ids.Address | None:
        """Return the peer address of an entry host, or ``None``."""
        found = self._members.get(host)
        return found.address if found is not None else None

    def upstream(self, item: ids.UpstreamId) -> upstreams.Upstream | None:
        """Return an upstream that may serve established work, or ``None``."""
        return self._directory.get(item)

    def upstream_at(self, address: ids.Address) -> upstreams.Upstream | None:
        """Return the open upstream at ``address``, or ``None``."""
        return self._upstreams_by_address.get(address)
