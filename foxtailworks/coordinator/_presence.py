"""Periodic announcements of a coordinator to the others."""

from collections import abc

from foxtailworks.coordinator import _messages
from foxtailworks.coordinator import _peers
from foxtailworks.coordinator import _relay
from foxtailworks.coordinator import _settings
from foxtailworks import ids
from foxtailworks import replicated
from foxtailworks import revisions


class Announcer:
    """Makes the announcement that is due, and tells who gets it.

    :param session: number that differs at each start of the process
    :param now: monotonic seconds, as in all methods
    """

    def __init__(
        self,
        cfg: _settings.Settings,
        peers: _peers.Peers,
        session: int,
        now: float,
    ) -> None:
        self._cfg = cfg
        self._peers = peers
        self._session = session
        self._next_at = now
        self._is_leaving = False

    def leave(self) -> None:
        """Announce from now on that the process is about to end."""
        self._is_leaving = True
        self._next_at = float("-inf")

    def take_due(
        self, node: replicated.Node, now: float
    ) -> abc.Iterator[tuple[_messages.Presence, ids.Address]]:
        """Yield the announcement with each receiver, if one is due."""
        if now < self._next_at:
            return
        self._next_at = now + _peers.PRESENCE_INTERVAL_S
        replica = node.replica
        msg = _messages.Presence(
            replica.keeper,
            self._cfg.name,
            self._cfg.zone,
            self._cfg.listen_address,
            replica.group,
            self._cfg.is_first_start,
            self._session,
            self._peers.recent_addresses(now),
            _relay.LIST_FORM,
            revisions.COMMAND_FORM,
            self._is_leaving,
        )
        members = (item.address for item in replica.membership.members)
        targets = {*members, *self._peers.addresses()}
        for address in targets - {self._cfg.listen_address}:
            yield msg, address
