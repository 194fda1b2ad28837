"""Which single change of the membership is due."""

from collections import abc
import dataclasses
import math

from foxtailworks import agreement
from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Durations in seconds, sizes in replicas."""

    max_voters: int = 7
    """Hosts that may be set aside for control (letter 1)."""
    min_voters: int = 3
    """Silent voters stay below this size unless a successor waits."""
    live_s: float = 0.8
    """A replica heard within this is live: three announcements."""
    displaced_s: float = 0.5
    """A replica heard so long after the last word of another one at its
    address has displaced it: two announcements, so that none is merely
    late."""
    replaced_s: float = 1.2
    """A voter silent for so long may give way to a waiting successor."""
    gone_s: float = 6.0
    """A voter silent for so long is dropped from a larger group."""
    forget_s: float = 10.0
    """A learner silent for so long is forgotten."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a replica said of itself last."""

    keeper: ids.KeeperId
    """Identity on its disk."""
    name: str
    """Name from its settings."""
    address: ids.Address
    """Where it is reached."""
    group: str
    """Group on its disk; empty while it has none."""
    founder: bool
    """The whole system starts for the first time."""
    heard_at: float
    """Steady seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What the leader knows."""

    now: float
    """Steady seconds."""
    me: ids.KeeperId
    """The leader."""
    group: str
    """Its group."""
    membership: agreement.Membership
    """Newest one in the log."""
    peers: abc.Mapping[ids.KeeperId, PeerStatus]
    """The other replicas, by identity."""
    caught_up: abc.Callable[[ids.KeeperId], bool]
    """Tells whether a learner holds all that is committed."""
    since: float
    """When this replica began to lead; silence counts from there."""

    def silence(self, keeper: ids.KeeperId) -> float:
        """Return for how many seconds a replica hasn't been heard."""
        if keeper == self.me:
            return 0.0
        seen = self.peers.get(keeper)
        heard = self.since if seen is None else max(seen.heard_at, self.since)
        return self.now - heard


def initial_membership(
    peers: abc.Iterable[PeerStatus], seeds: abc.Collection[ids.Address]
) -> agreement.Membership | None:
    """Return the first membership once all seeds are seen to be new.

    :param sightings: the replica itself and all that it has seen
    """
    by_address = {item.address: item for item in peers}
    found = [by_address.get(address) for address in seeds]
    first = [item for item in found if item is not None]
    others = [item for item in by_address.values() if item.group]
    if others or len(first) < len(seeds) or not first:
        return None
    if not all(item.founder for item in first):
        return None
    return agreement.Membership(tuple(_member(item, True) for item in first))


def next_membership(view: View, policy: Policy) -> agreement.Membership | None:
    """Return a membership that differs in one replica, or None."""
    return (
        _without_lost_disk(view, policy)
        or _without_silent(view, policy)
        or _with_voter(view, policy)
        or _with_learner(view, policy)
    )


def _without_lost_disk(
    view: View, policy: Policy
) -> agreement.Membership | None:
    """Drop a member at whose address another identity lives now."""
    residents = {
        item.address: item
        for item in view.peers.values()
        if view.now - item.heard_at < policy.live_s
    }
    for member in view.membership.members:
        resident = residents.get(member.address)
        if resident is None or member.keeper in (resident.keeper, view.me):
            continue
        seen = view.peers.get(member.keeper)
        last = seen.heard_at if seen is not None else -math.inf
        if resident.heard_at - last > policy.displaced_s:
            return view.membership.without(member.keeper)
    return None


def _without_silent(view: View, policy: Policy) -> agreement.Membership | None:
    """Drop a silent voter for a successor or from a large group."""
    voters = view.membership.voters()
    successor = next(_ready_learners(view, policy), None)
    patience = policy.gone_s
    if successor is not None:
        patience = policy.replaced_s
    for keeper in voters:
        can_shrink = successor is not None or len(voters) > policy.min_voters
        if can_shrink and view.silence(keeper) > patience:
            return view.membership.without(keeper)
    for member in view.membership.members:
        silence = view.silence(member.keeper)
        if not member.voter and silence > policy.forget_s:
            return view.membership.without(member.keeper)
    return None


def _with_voter(view: View, policy: Policy) -> agreement.Membership | None:
    """Let a learner vote that holds all that is committed.

    Never beside a silent voter: the quorum would grow by a replica that may
    be gone, and the next loss would leave too few.
    """
    voters = view.membership.voters()
    if len(voters) >= policy.max_voters:
        return None
    if any(view.silence(keeper) > policy.live_s for keeper in voters):
        return None
    held = {item.address for item in view.membership.members if item.voter}
    for learner in _ready_learners(view, policy):
        if learner.address not in held:
            voter = dataclasses.replace(learner, voter=True)
            return view.membership.put(voter)
    return None


def _ready_learners(
    view: View, policy: Policy
) -> abc.Iterator[agreement.Member]:
    """Yield the live learners that hold all that is committed."""
    for member in view.membership.members:
        is_live = view.silence(member.keeper) < policy.live_s
        if not member.voter and is_live and view.caught_up(member.keeper):
            yield member


def _with_learner(view: View, policy: Policy) -> agreement.Membership | None:
    """Let a live replica that belongs to no other group learn."""
    for item in view.peers.values():
        is_live = view.now - item.heard_at < policy.live_s
        is_ours = item.group in ("", view.group)
        if not is_live or not is_ours:
            continue
        if view.membership.find(item.keeper) is None:
            return view.membership.put(_member(item, False))
    return None


def _member(item: PeerStatus, voter: bool) -> agreement.Member:
    """Return a sighted replica as a member."""
    return agreement.Member(item.keeper, item.name, item.address, voter)
