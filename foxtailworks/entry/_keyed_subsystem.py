"""Lifecycle of keyed requests: from the first roster to leaving."""

from collections import abc
import dataclasses
import random

from foxtailworks import contracts
from foxtailworks.entry import _cores
from foxtailworks.entry import _exchanges
from foxtailworks.entry import _keyed
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _rosters
from foxtailworks.entry import _selector
from foxtailworks import ids
from foxtailworks import requests

MIN_RETENTION_S = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Components:
    """Components that exist once the roster is known."""

    groups: requests.KeyGroups
    recovery: requests.Recovery
    rosters: _rosters.RosterAdoption
    coordinator: requests.Coordinator
    path: _keyed.KeyedPath


class KeyedSubsystem:
    """Coordinates keyed requests from the first roster with this host on.

    Until then requests are dropped and the host sends no heartbeats to the
    fabrics.

    :param incarnation: of this start of the process
    :param offer: passes a call to admission control
    :param saved_state: left by the last planned stop of this host
    """

    def __init__(
        self,
        cores: _cores.Cores,
        selector: _selector.UpstreamSelector,
        exchanges: _exchanges.Exchanges,
        peers: _peers.PeerTransport,
        replies: _replies.Replies,
        incarnation: ids.Incarnation,
        rng: random.Random,
        clock: abc.Callable[[], float],
        offer: abc.Callable[[_replies.Call], None],
        saved_state: requests.SavedState | None = None,
    ) -> None:
        self._cores = cores
        self._selector = selector
        self._exchanges = exchanges
        self._peers = peers
        self._replies = replies
        self._incarnation = incarnation
        self._rng = rng
        self._clock = clock
        self._offer = offer
        self._saved_state = saved_state
        self._started_at = clock()
        self._retention_s = MIN_RETENTION_S
        self._discovery: _rosters.RosterDiscovery | None = None
        self._components: _Components | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the roster is known and requests can be decided."""
        return self._components is not None

    # Rosters.

    def set_roster(self, roster: contracts.Roster, now: float) -> None:
        """Set the roster; the first one with this host starts the rest."""
        hosts = tuple((item.host, item.zone) for item in roster.hosts)
        current = requests.Roster(int(roster.epoch), hosts)
        me = self._cores.members.me.id
        my_entry = roster.find(me)
        if self._components is not None:
            self._components.rosters.set_newest(current, now)
        elif (
            my_entry is not None and my_entry.incarnation == self._incarnation
        ):
            self._start(current, (), True)
        elif my_entry is not None:
            self._discovery = _rosters.RosterDiscovery(
                me, current, self._peers, self._cores.cluster_view, now
            )

    def _start_if_discovered(self, now: float) -> bool:
        """Start once the older rosters that are still valid are known."""
        discovery = self._discovery
        if discovery is None:
            return False
        discovery.on_tick(now)
        if not discovery.is_done(now):
            return False
        self._discovery = None
        self._start(discovery.roster, discovery.older_rosters(), False)
        return True

    def _start(
        self,
        roster: requests.Roster,
        older_rosters: tuple[requests.Roster, ...],
        is_first_start: bool,
    ) -> None:
        """Create the coordinator and the store of claims."""
        me = self._cores.members.me.id
        groups = requests.KeyGroups(roster, self._retention_s, older_rosters)
        recovery = requests.Recovery(
            self._started_at,
            self._retention_s,
            is_first_start or self._saved_state is not None,
        )
        store = requests.ClaimStore(
            me, groups, recovery, incarnation=self._incarnation
        )
        coordinator = requests.Coordinator(
            me, self._incarnation, groups, store, self._selector, self._rng
        )
        if self._saved_state is not None:
            coordinator.restore(self._saved_state, self._clock())
        rosters = _rosters.RosterAdoption(
            groups, self._cores.cluster_view, self._peers
        )
        path = _keyed.KeyedPath(
            coordinator,
            self._cores.cluster_view,
            self._cores.directory,
            self._selector,
            self._exchanges,
            self._peers,
            self._replies,
            self._clock,
            self._offer,
        )
        self._components = _Components(
            groups, recovery, rosters, coordinator, path
        )
        self.set_live_hosts([item.id for item in self._cores.members.live()])

    def on_roster_epoch(
        self, src: ids.Address, msg: _rosters.RosterEpoch
    ) -> None:
        """Process another host's notice of its newest roster."""
        if self._components is not None:
            self._components.rosters.on_message(src, msg, self._clock())
        elif self._discovery is not None:
            self._discovery.on_message(src, msg)

    def share_divisor(self) -> int:
        """Return the number of hosts that share a limit; 0 for none."""
        if self._components is None:
            return 0
        return self._components.groups.share_divisor(self._cores.members.me.id)

    def set_retention(self, seconds: float) -> None:
        """Raise the retention to the longest of the contracts in force."""
        self._retention_s = max(self._retention_s, seconds)
        if self._components is not None:
            self._components.groups.set_retention(self._retention_s)
            self._components.recovery.set_retention(self._retention_s)

    def set_live_hosts(self, hosts: abc.Collection[ids.HostId]) -> None:
        """Set the hosts that membership considers live."""
        if self._components is not None:
            self._components.coordinator.set_live_hosts(hosts)

    # Requests.

    def on_call(self, call: _replies.Call, now: float) -> None:
        """Process a request from a caller or from another host."""
        if self._components is not None:
            self._components.path.on_call(call, now)

    def on_admitted(self, call: _replies.Call) -> None:
        """Continue a call that admission control has admitted."""
        if self._components is not None:
            self._components.path.on_admitted(call)

    def on_rejected(self, call: _replies.Call, retry_after_s: float) -> None:
        """Refuse a call that admission control has rejected."""
        if self._components is not None:
            self._components.path.on_rejected(call, retry_after_s)

    def on_message(self, src: ids.Address, msg: requests.Message) -> None:
        """Process another host's message about keyed requests."""
        if self._components is not None:
            self._components.path.on_message(src, msg)

    def on_upstream_lost(self, upstream: ids.UpstreamId) -> None:
        """End the work that was placed on a lost upstream."""
        if self._components is not None:
            now = self._clock()
            actions = self._components.coordinator.on_upstream_lost(
                now, upstream
            )
            self._components.path.perform(actions)

    def on_tick(self, now: float, others: abc.Iterable[ids.HostId]) -> bool:
        """Run the time-dependent steps.

        :returns: whether the set of valid rosters has changed
        """
        has_started = self._start_if_discovered(now)
        if self._components is None:
            return False
        self._components.path.on_tick(now)
        has_changed = self._components.rosters.on_tick(now, others)
        return has_started or has_changed

    def take_completed_runs(self) -> tuple[requests.CompletedRun, ...]:
        """Return the runs for this host to count; each is returned once."""
        if self._components is None:
            return ()
        return self._components.coordinator.take_completed_runs()

    # Leaving.

    def leave(self) -> None:
        """Reject new requests and continue those under way."""
        if self._components is not None:
            self._components.coordinator.leave()

    def is_idle(self) -> bool:
        """Return whether no request is under way."""
        return self._components is None or self._components.coordinator.is_idle

    def hand_over(self, now: float) -> None:
        """Hand this host's claims over to the other hosts."""
        if self._components is not None:
            actions = self._components.coordinator.hand_over(now)
            self._components.path.perform(actions)

    def saved_state(self, now: float) -> requests.SavedState | None:
        """Return the state for the next start of this host, if complete.

        A host that has decided nothing returns the state that it restored.
        """
        if self._components is None:
            return self._saved_state
        return self._components.coordinator.saved_state(now)

    def is_handed_over(self, now: float) -> bool:
        """Return whether the other hosts have this host's claims."""
        components = self._components
        return components is None or components.coordinator.is_handed_over(now)
