"""Adoption of rosters by the hosts, while more than one is valid."""

from collections import abc
import dataclasses

from foxtailworks.entry import _cluster_view
from foxtailworks.entry import _peers
from foxtailworks import ids
from foxtailworks import requests

QUERY_INTERVAL_S = 1.0
START_QUERY_INTERVAL_S = 0.2
START_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class RosterEpoch:
    """Newest roster that the sender uses for its groups of keys."""

    epoch: int
    """Epoch of the newest roster that the sender has adopted."""
    wants_reply: bool
    """Whether the receiver is to answer with its own epoch."""
    older_rosters: tuple[requests.Roster, ...] = ()
    """Older rosters that are still valid, for a host that starts."""


MESSAGES: dict[int, type] = {350: RosterEpoch}


class RosterDiscovery:
    """Queries the older rosters that are still valid, before a host decides.

    A restarted host receives only the newest roster from the keepers, but
    must respect claims that were granted by the groups of an older one.

    :param roster: newest roster
    """

    def __init__(
        self,
        me: ids.HostId,
        roster: requests.Roster,
        peers: _peers.PeerTransport,
        cluster_view: _cluster_view.ClusterView,
        now: float,
    ) -> None:
        self.roster = roster
        self._others = {host for host, _ in roster.hosts if host != me}
        self._peers = peers
        self._cluster_view = cluster_view
        self._deadline = now + START_TIMEOUT_S
        self._next_query_at = now
        self._answers: dict[ids.HostId, tuple[requests.Roster, ...]] = {}

    def on_message(self, src: ids.Address, msg: RosterEpoch) -> None:
        """Record the older rosters in another host's reply."""
        host = self._cluster_view.host_at(src)
        if host is not None and not msg.wants_reply:
            self._answers[host] = msg.older_rosters

    def on_tick(self, now: float) -> None:
        """Query the hosts that haven't answered yet."""
        if now < self._next_query_at:
            return
        self._next_query_at = now + START_QUERY_INTERVAL_S
        for host in sorted(self._others - set(self._answers)):
            address = self._cluster_view.address_of(host)
            if address is not None:
                self._peers.send(address, RosterEpoch(0, True))

    def is_done(self, now: float) -> bool:
        """Return whether all hosts have answered or time is up."""
        return self._others <= set(self._answers) or now >= self._deadline

    def older_rosters(self) -> tuple[requests.Roster, ...]:
        """Return the longest list of older rosters received."""
        longest = max(self._answers.values(), key=len, default=())
        return tuple(
            item for item in longest if item.epoch < self.roster.epoch
        )


class RosterAdoption:
    """Adopts rosters and tracks the adoption by other hosts.

    An older roster is valid until all other hosts are known to have adopted
    a newer one; until then this host queries them once a second.
    """

    def __init__(
        self,
        groups: requests.KeyGroups,
        cluster_view: _cluster_view.ClusterView,
        peers: _peers.PeerTransport,
    ) -> None:
        self._groups = groups
        self._cluster_view = cluster_view
        self._peers = peers
        self._newest = groups.roster
        self._next_query_at = 0.0
        self._last_state = (-1, False)

    def set_newest(self, roster: requests.Roster, now: float) -> None:
        """Set the newest roster and ignore hosts that it lacks."""
        kept = {host for host, _ in roster.hosts}
        removed = [host for host, _ in self._newest.hosts if host not in kept]
        self._newest = roster
        self._adopt_newest(now)
        for host in removed:
            self._groups.record_adoption(now, host, roster.epoch)

    def _adopt_newest(self, now: float) -> None:
        """Adopt the newest roster, unless it has to wait."""
        if self._newest.epoch > self._groups.epoch:
            self._groups.adopt(now, self._newest)

    def on_message(
        self, src: ids.Address, msg: RosterEpoch, now: float
    ) -> None:
        """Record the roster that another host has adopted."""
        host = self._cluster_view.host_at(src)
        if host is None:
            return
        self._groups.record_adoption(now, host, msg.epoch)
        if msg.wants_reply:
            older_rosters = self._groups.rosters[:-1]
            epoch = self._groups.epoch
            self._peers.send(src, RosterEpoch(epoch, False, older_rosters))

    def on_tick(self, now: float, hosts: abc.Iterable[ids.HostId]) -> bool:
        """Query the live hosts while an older roster is valid.

        :returns: whether the set of valid rosters has changed
        """
        if now < self._next_query_at:
            return False
        self._next_query_at = now + QUERY_INTERVAL_S
        self._adopt_newest(now)
        self._query(hosts)
        state = (self._groups.epoch, self._groups.is_joint)
        changed = state != self._last_state
        self._last_state = state
        return changed

    def _query(self, hosts: abc.Iterable[ids.HostId]) -> None:
        """Query the epochs of live hosts while an older roster is valid."""
        if not self._groups.is_joint:
            return
        for host in hosts:
            address = self._cluster_view.address_of(host)
            if address is not None:
                self._peers.send(
                    address, RosterEpoch(self._groups.epoch, True)
                )
