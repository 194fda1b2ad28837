"""Which roster the other hosts have adopted, while more than one counts."""

from collections import abc
import dataclasses

from foxtailworks.entry import _peers
from foxtailworks.entry import _views
from foxtailworks import ids
from foxtailworks import requests

ASK_EVERY_S = 1.0
START_ASK_S = 0.2
START_MAX_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class RosterEpoch:
    """Tells which roster the sender's groups of keys go by."""

    epoch: int
    """Epoch of the newest roster that it has adopted."""
    asks: bool
    """The receiver is to answer with its own."""
    older: tuple[requests.Roster, ...] = ()
    """Rosters that still count beside it, for a host that starts."""


MESSAGES: dict[int, type] = {350: RosterEpoch}


class RosterStart:
    """Learns which older rosters still count, before a host decides.

    A host that has restarted gets only the newest roster from the keepers;
    a claim that the groups of an older one granted must still bind it.

    :param roster: the newest one
    """

    def __init__(
        self,
        me: ids.HostId,
        roster: requests.Roster,
        peers: _peers.Peers,
        views: _views.Views,
        now: float,
    ) -> None:
        self.roster = roster
        self._others = {host for host, _ in roster.hosts if host != me}
        self._peers = peers
        self._views = views
        self._until = now + START_MAX_S
        self._ask_at = now
        self._answers: dict[ids.HostId, tuple[requests.Roster, ...]] = {}

    def on_message(self, src: ids.Address, msg: RosterEpoch) -> None:
        """Note what another host goes by."""
        host = self._views.host_at(src)
        if host is not None and not msg.asks:
            self._answers[host] = msg.older

    def on_tick(self, now: float) -> None:
        """Ask the other hosts of the roster."""
        if now < self._ask_at:
            return
        self._ask_at = now + START_ASK_S
        for host in sorted(self._others - set(self._answers)):
            address = self._views.address_of(host)
            if address is not None:
                self._peers.send(address, RosterEpoch(0, True))

    def is_done(self, now: float) -> bool:
        """Tell whether all have answered, or it took too long."""
        return self._others <= set(self._answers) or now >= self._until

    def older(self) -> tuple[requests.Roster, ...]:
        """Return the longest list of older rosters that was told."""
        longest = max(self._answers.values(), key=len, default=())
        return tuple(
            item for item in longest if item.epoch < self.roster.epoch
        )


class Rosters:
    """Adopts rosters and follows who else has.

    An older roster counts until the other hosts are known to have left it;
    while one does, this host asks them once a second.
    """

    def __init__(
        self,
        groups: requests.KeyGroups,
        views: _views.Views,
        peers: _peers.Peers,
    ) -> None:
        self._groups = groups
        self._views = views
        self._peers = peers
        self._newest = groups.roster
        self._ask_at = 0.0
        self._state = (-1, False)

    def change(self, roster: requests.Roster, now: float) -> None:
        """Take in a roster; the hosts that it lacks are off."""
        kept = {host for host, _ in roster.hosts}
        gone = [host for host, _ in self._newest.hosts if host not in kept]
        self._newest = roster
        self._adopt(now)
        for host in gone:
            self._groups.record_adoption(now, host, roster.epoch)

    def _adopt(self, now: float) -> None:
        """Offer the newest roster, again when it had to wait."""
        if self._newest.epoch > self._groups.epoch:
            self._groups.adopt(now, self._newest)

    def on_message(
        self, src: ids.Address, msg: RosterEpoch, now: float
    ) -> None:
        """Note what another host has adopted."""
        host = self._views.host_at(src)
        if host is None:
            return
        self._groups.record_adoption(now, host, msg.epoch)
        if msg.asks:
            older = self._groups.rosters[:-1]
            epoch = self._groups.epoch
            self._peers.send(src, RosterEpoch(epoch, False, older))

    def on_tick(self, now: float, hosts: abc.Iterable[ids.HostId]) -> bool:
        """Ask the live hosts while an older roster counts.

        :returns: whether rosters have come or gone since the last time
        """
        if now < self._ask_at:
            return False
        self._ask_at = now + ASK_EVERY_S
        self._adopt(now)
        self._ask(hosts)
        state = (self._groups.epoch, self._groups.is_joint)
        changed = state != self._state
        self._state = state
        return changed

    def _ask(self, hosts: abc.Iterable[ids.HostId]) -> None:
        """Ask which roster the live hosts go by, while it matters."""
        if not self._groups.is_joint:
            return
        for host in hosts:
            address = self._views.address_of(host)
            if address is not None:
                self._peers.send(
                    address, RosterEpoch(self._groups.epoch, True)
                )
