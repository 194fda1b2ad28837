"""Hosts and upstreams in the forms that the paths and cores need."""

from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import placement
from foxtailworks import upstreams

# A host that has said that it leaves hands over for so long at most.
LEAVING_S = 15.0


class Views:
    """Follows membership and directory; recomputes on their changes."""

    def __init__(
        self,
        members: membership.Membership,
        directory: upstreams.Directory,
        placer: placement.Placer,
    ) -> None:
        self._members = members
        self._directory = directory
        self._placer = placer
        self._seen: tuple[int, int, int] = (-1, -1, -1)
        self._left_at: dict[ids.HostId, float] = {}
        self._by_peer: dict[ids.Address, ids.HostId] = {}
        self._by_address: dict[ids.Address, upstreams.Upstream] = {}

    def refresh(self, now: float) -> bool:
        """Bring the placer up to date; say whether anything changed."""
        leaving = self._leaving(now)
        current = (
            self._members.version(),
            self._directory.records_version(),
            len(leaving),
        )
        if current == self._seen:
            return False
        self._seen = current
        self._by_peer = {
            item.address: item.id for item in self._members.hosts()
        }
        open_ones = [item for item in self._directory.all() if item.is_open]
        self._by_address = {item.address: item for item in open_ones}
        self._placer.set_hosts(self._host_views(leaving), now)
        views = tuple(self._upstream_view(item) for item in open_ones)
        self._placer.set_upstreams(views, now)
        return True

    def _leaving(self, now: float) -> tuple[membership.Host, ...]:
        """Return hosts that said that they leave and may still be here."""
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
            item for item in left if now - self._left_at[item.id] < LEAVING_S
        )

    def _host_views(
        self, leaving: tuple[membership.Host, ...]
    ) -> tuple[placement.HostView, ...]:
        """Return live hosts, and those that are leaving but still here."""
        live = (
            placement.HostView(item.id, item.zone)
            for item in self._members.live()
        )
        state = placement.HostState.LEAVING
        going = (
            placement.HostView(item.id, item.zone, state) for item in leaving
        )
        return (*live, *going)

    def _upstream_view(
        self, item: upstreams.Upstream
    ) -> placement.UpstreamView:
        """Return one upstream as the placer sees it."""
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
        """Return the entry host that sends from ``address``."""
        return self._by_peer.get(address)

    def address_of(self, host: ids.HostId) -> ids.Address | None:
        """Return where an entry host takes datagrams."""
        found = self._members.get(host)
        return found.address if found is not None else None

    def upstream(self, item: ids.UpstreamId) -> upstreams.Upstream | None:
        """Return an upstream that established work may go on at."""
        return self._directory.get(item)

    def upstream_at(self, address: ids.Address) -> upstreams.Upstream | None:
        """Return the upstream that owns ``address`` now."""
        return self._by_address.get(address)
