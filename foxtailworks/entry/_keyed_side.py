"""What serves requests that may not be repeated, from its roster on."""

from collections import abc
import dataclasses
import random

from foxtailworks import contracts
from foxtailworks.entry import _choice
from foxtailworks.entry import _cores
from foxtailworks.entry import _exchanges
from foxtailworks.entry import _keyed
from foxtailworks.entry import _peers
from foxtailworks.entry import _replies
from foxtailworks.entry import _rosters
from foxtailworks import ids
from foxtailworks import requests

MIN_RETENTION_S = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Parts:
    """What exists once the roster is known."""

    groups: requests.KeyGroups
    recovery: requests.Recovery
    rosters: _rosters.Rosters
    coordinator: requests.Coordinator
    path: _keyed.KeyedPath


class KeyedSide:
    """Starts with the first roster that has this host; then decides.

    Until then it takes nothing, and the host asks the fabric for nothing.

    :param incarnation: of this start of the process
    :param offer: asks admission for a call
    :param memory: what this host remembered when it last stopped as planned
    """

    def __init__(
        self,
        cores: _cores.Cores,
        choice: _choice.Choice,
        exchanges: _exchanges.Exchanges,
        peers: _peers.Peers,
        replies: _replies.Replies,
        incarnation: ids.Incarnation,
        rng: random.Random,
        clock: abc.Callable[[], float],
        offer: abc.Callable[[_replies.Call], None],
        memory: requests.SavedState | None = None,
    ) -> None:
        self._cores = cores
        self._choice = choice
        self._exchanges = exchanges
        self._peers = peers
        self._replies = replies
        self._incarnation = incarnation
        self._rng = rng
        self._clock = clock
        self._offer = offer
        self._saved_state = memory
        self._started_at = clock()
        self._retention_s = MIN_RETENTION_S
        self._starting: _rosters.RosterStart | None = None
        self._parts: _Parts | None = None

    @property
    def is_ready(self) -> bool:
        """Tell whether requests can be decided on."""
        return self._parts is not None

    # Rosters.

    def set_roster(self, roster: contracts.Roster, now: float) -> None:
        """Take in a roster; one with this host starts it."""
        hosts = tuple((item.host, item.zone) for item in roster.hosts)
        current = requests.Roster(int(roster.epoch), hosts)
        me = self._cores.members.me.id
        mine = roster.find(me)
        if self._parts is not None:
            self._parts.rosters.change(current, now)
        elif mine is not None and mine.incarnation == self._incarnation:
            self._start(current, (), True)
        elif mine is not None:
            self._starting = _rosters.RosterStart(
                me, current, self._peers, self._cores.views, now
            )

    def _start_if_told(self, now: float) -> bool:
        """Start once the older rosters that still count are known."""
        starting = self._starting
        if starting is None:
            return False
        starting.on_tick(now)
        if not starting.is_done(now):
            return False
        self._starting = None
        self._start(starting.roster, starting.older(), False)
        return True

    def _start(
        self,
        roster: requests.Roster,
        older: tuple[requests.Roster, ...],
        fresh: bool,
    ) -> None:
        """Make the coordinator and this host's memory of claims."""
        me = self._cores.members.me.id
        groups = requests.KeyGroups(roster, self._retention_s, older)
        recovery = requests.Recovery(
            self._started_at,
            self._retention_s,
            fresh or self._saved_state is not None,
        )
        store = requests.ClaimStore(
            me, groups, recovery, incarnation=self._incarnation
        )
        coordinator = requests.Coordinator(
            me, self._incarnation, groups, store, self._choice, self._rng
        )
        if self._saved_state is not None:
            coordinator.restore(self._saved_state, self._clock())
        rosters = _rosters.Rosters(groups, self._cores.views, self._peers)
        path = _keyed.KeyedPath(
            coordinator,
            self._cores.views,
            self._cores.directory,
            self._choice,
            self._exchanges,
            self._peers,
            self._replies,
            self._clock,
            self._offer,
        )
        self._parts = _Parts(groups, recovery, rosters, coordinator, path)
        self.set_alive([item.id for item in self._cores.members.live()])

    def on_roster_epoch(
        self, src: ids.Address, msg: _rosters.RosterEpoch
    ) -> None:
        """Note which roster another host goes by."""
        if self._parts is not None:
            self._parts.rosters.on_message(src, msg, self._clock())
        elif self._starting is not None:
            self._starting.on_message(src, msg)

    def share_divisor(self) -> int:
        """Return by how many hosts a limit is divided here; 0 for none."""
        if self._parts is None:
            return 0
        return self._parts.groups.share_divisor(self._cores.members.me.id)

    def set_retention(self, seconds: float) -> None:
        """Take in the longest retention of the contracts in force."""
        self._retention_s = max(self._retention_s, seconds)
        if self._parts is not None:
            self._parts.groups.set_retention(self._retention_s)
            self._parts.recovery.set_retention(self._retention_s)

    def set_alive(self, hosts: abc.Collection[ids.HostId]) -> None:
        """Take in which hosts are held to be live."""
        if self._parts is not None:
            self._parts.coordinator.set_live_hosts(hosts)

    # Requests.

    def take(self, call: _replies.Call, now: float) -> None:
        """Take a request in, from a caller or from another host."""
        if self._parts is not None:
            self._parts.path.take(call, now)

    def admitted(self, call: _replies.Call) -> None:
        """Go on with a call that was let in."""
        if self._parts is not None:
            self._parts.path.admitted(call)

    def rejected(self, call: _replies.Call, retry_after_s: float) -> None:
        """Refuse a call that wasn't let in."""
        if self._parts is not None:
            self._parts.path.rejected(call, retry_after_s)

    def on_message(self, src: ids.Address, msg: requests.Message) -> None:
        """Take another host's message in."""
        if self._parts is not None:
            self._parts.path.on_message(src, msg)

    def upstream_gone(self, upstream: ids.UpstreamId) -> None:
        """Give up on what was placed on an upstream that has ended."""
        if self._parts is not None:
            now = self._clock()
            gone = self._parts.coordinator.on_upstream_lost(now, upstream)
            self._parts.path.perform(gone)

    def on_tick(self, now: float, others: abc.Iterable[ids.HostId]) -> bool:
        """Let time pass.

        :returns: whether rosters have come or gone
        """
        has_started = self._start_if_told(now)
        if self._parts is None:
            return False
        self._parts.path.on_tick(now)
        has_changed = self._parts.rosters.on_tick(now, others)
        return has_started or has_changed

    def take_completed_runs(self) -> tuple[requests.CompletedRun, ...]:
        """Return the runs that this host must count; each comes once."""
        if self._parts is None:
            return ()
        return self._parts.coordinator.take_completed_runs()

    # Leaving.

    def leave(self) -> None:
        """Take no new requests; go on with those under way."""
        if self._parts is not None:
            self._parts.coordinator.leave()

    def is_idle(self) -> bool:
        """Tell whether no request is under way."""
        return self._parts is None or self._parts.coordinator.is_idle

    def hand_over(self, now: float) -> None:
        """Give this host's claims to the others."""
        if self._parts is not None:
            handed = self._parts.coordinator.hand_over(now)
            self._parts.path.perform(handed)

    def memory(self, now: float) -> requests.SavedState | None:
        """Return what the next start of this host must know, if whole.

        A host that has decided nothing leaves what it was left itself.
        """
        if self._parts is None:
            return self._saved_state
        return self._parts.coordinator.saved_state(now)

    def is_handed_over(self, now: float) -> bool:
        """Tell whether the others have this host's claims."""
        parts = self._parts
        return parts is None or parts.coordinator.is_handed_over(now)
