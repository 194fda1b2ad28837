"""Execution of the actions that the cores of an entry host return."""

from collections import abc
import functools

from foxtailworks import contracts
from foxtailworks.entry import _cluster_view
from foxtailworks.entry import _peers
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import observe
from foxtailworks import placement
from foxtailworks import upstreams

_EVENTS = observe.Events("entry")


class ActionDispatcher:
    """Executes the actions of the cores: messages, log lines, callbacks.

    :param on_contracts_update: applies a new version of the contracts
    :param on_upstream_lost: ends the work placed on a closed upstream
    """

    def __init__(
        self,
        cluster_view: _cluster_view.ClusterView,
        peers: _peers.PeerTransport,
        on_contracts_update: abc.Callable[[contracts.Update], None],
        on_upstream_lost: abc.Callable[[ids.UpstreamId], None],
    ) -> None:
        self._cluster_view = cluster_view
        self._peers = peers
        self._on_contracts_update = on_contracts_update
        self._on_upstream_lost = on_upstream_lost

    def perform(self, actions: abc.Iterable[object]) -> None:
        """Execute the actions that a core has returned."""
        for action in actions:
            self._perform(action)

    @functools.singledispatchmethod
    def _perform(self, action: object) -> None:
        """Log an event that needs no further action."""
        _EVENTS.debug("noted", what=type(action).__name__)

    @_perform.register
    def _send_datagram(self, action: membership.Send) -> None:
        """Send a membership message to its address."""
        self._peers.send(action.to, action.msg)

    @_perform.register
    def _send_to_host(self, action: placement.Send) -> None:
        """Send a placement message to a host with a known address."""
        address = self._cluster_view.address_of(action.host)
        if address is not None:
            self._peers.send(address, action.message)

    @_perform.register
    def _send_version(self, action: contracts.SendToHost) -> None:
        """Send a version of the contracts to another host."""
        address = self._cluster_view.address_of(action.to)
        if address is not None:
            self._peers.send(address, action.msg)

    @_perform.register
    def _put_in_force(self, action: contracts.PutInForce) -> None:
        """Apply a new version of the contracts."""
        self._on_contracts_update(action.update)

    @_perform.register
    def _host_changed(self, action: membership.HostChanged) -> None:
        """Log the change of a host's state."""
        _EVENTS.info(
            "host_changed",
            host=action.host.id,
            state=action.state.name.lower(),
            incarnation=action.host.incarnation,
        )

    @_perform.register
    def _zone_changed(self, action: membership.ZoneChanged) -> None:
        """Log that an availability zone is unreachable, or reachable again."""
        _EVENTS.warning(
            "zone_changed", zone=action.zone, reachable=action.reachable
        )

    @_perform.register
    def _isolation_changed(self, action: membership.IsolationChanged) -> None:
        """Log that this host is isolated, or no longer isolated."""
        _EVENTS.warning("isolation_changed", isolated=action.isolated)

    @_perform.register
    def _held_dead(self, action: membership.DeclaredDead) -> None:
        """Log that other hosts had declared this host dead."""
        _EVENTS.warning("held_dead", incarnation=action.incarnation)

    @_perform.register
    def _announcement_refused(
        self, action: upstreams.AnnouncementRefused
    ) -> None:
        """Log an upstream's announcement that contradicts a newer one."""
        _EVENTS.warning("announcement_refused", what=action)

    @_perform.register
    def _upstream_changed(self, action: upstreams.UpstreamChanged) -> None:
        """Log an upstream's change; end the work placed on a closed one."""
        _EVENTS.info(
            "upstream_changed",
            upstream=action.id,
            service=action.upstream.service,
            takes_work=action.takes_work,
            is_open=action.is_open,
        )
        if not action.is_open:
            self._on_upstream_lost(action.id)
