"""What the cores of an entry host ask for, carried out."""

from collections import abc
import functools

from foxtailworks import contracts
from foxtailworks.entry import _peers
from foxtailworks.entry import _views
from foxtailworks import ids
from foxtailworks import membership
from foxtailworks import observe
from foxtailworks import placement
from foxtailworks import upstreams

_EVENTS = observe.Events("entry")


class Actions:
    """Sends messages, logs events and passes changes on.

    :param put: follows a new version of the contracts
    :param upstream_gone: gives up what was placed on an ended upstream
    """

    def __init__(
        self,
        views: _views.Views,
        peers: _peers.Peers,
        put: abc.Callable[[contracts.Update], None],
        upstream_gone: abc.Callable[[ids.UpstreamId], None],
    ) -> None:
        self._views = views
        self._peers = peers
        self._put = put
        self._upstream_gone = upstream_gone

    def perform(self, actions: abc.Iterable[object]) -> None:
        """Carry out what a core asks for."""
        for action in actions:
            self._perform(action)

    @functools.singledispatchmethod
    def _perform(self, action: object) -> None:
        """Log an event that asks for nothing."""
        _EVENTS.debug("noted", what=type(action).__name__)

    @_perform.register
    def _send_datagram(self, action: membership.Send) -> None:
        """Send a message to an address."""
        self._peers.send(action.to, action.msg)

    @_perform.register
    def _send_to_host(self, action: placement.Send) -> None:
        """Send a message to a host."""
        address = self._views.address_of(action.host)
        if address is not None:
            self._peers.send(address, action.message)

    @_perform.register
    def _pass_on(self, action: contracts.SendToHost) -> None:
        """Pass a version on to a host."""
        address = self._views.address_of(action.to)
        if address is not None:
            self._peers.send(address, action.msg)

    @_perform.register
    def _put_in_force(self, action: contracts.PutInForce) -> None:
        """Follow a new version of the contracts."""
        self._put(action.update)

    @_perform.register
    def _host_changed(self, action: membership.HostChanged) -> None:
        """Log a host's change."""
        _EVENTS.info(
            "host_changed",
            host=action.host.id,
            state=action.state.name.lower(),
            incarnation=action.host.incarnation,
        )

    @_perform.register
    def _zone_changed(self, action: membership.ZoneChanged) -> None:
        """Log that an availability zone was cut off or is back."""
        _EVENTS.warning(
            "zone_changed", zone=action.zone, reachable=action.reachable
        )

    @_perform.register
    def _isolation_changed(self, action: membership.IsolationChanged) -> None:
        """Log that this host hears nobody, or hears others again."""
        _EVENTS.warning("isolation_changed", isolated=action.isolated)

    @_perform.register
    def _held_dead(self, action: membership.DeclaredDead) -> None:
        """Log that the others held this host dead."""
        _EVENTS.warning("held_dead", incarnation=action.incarnation)

    @_perform.register
    def _announcement_refused(
        self, action: upstreams.AnnouncementRefused
    ) -> None:
        """Log an upstream's announcement that contradicts a newer one."""
        _EVENTS.warning("announcement_refused", what=action)

    @_perform.register
    def _upstream_changed(self, action: upstreams.UpstreamChanged) -> None:
        """Log an upstream's change and end what was placed there."""
        _EVENTS.info(
            "upstream_changed",
            upstream=action.id,
            service=action.upstream.service,
            takes_work=action.takes_work,
            is_open=action.is_open,
        )
        if not action.is_open:
            self._upstream_gone(action.id)
