"""Rules that choose the next change of the group's membership."""

from collections import abc
import dataclasses
import math

from foxtailworks import agreement
from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits of the rules: durations in seconds, sizes in replicas."""

    max_voters: int = 7
    """Maximum number of voters: users reserve at most this many hosts for
    control."""
    min_voters: int = 3
    """A group with this many voters or fewer removes an unresponsive one only
    if a successor is ready."""
    live_s: float = 0.8
    """A replica is live if its last contact is more recent than this, which is
    the time of three announcements."""
    displaced_after_s: float = 0.5
    """A member whose address another replica now announces is removed once the
    member's last contact is this much older than the other's: the time of two
    announcements, so that a late announcement doesn't remove a member."""
    remove_voter_after_s: float = 1.2
    """An unresponsive voter is removed after this time if a successor is
    ready, as a learner or as a voter: a group with more than ``min_voters``
    voters has one. Until then it counts for majorities, so that the group
    bears one loss less."""
    remove_learner_after_s: float = 10.0
    """An unresponsive learner is removed after this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """Last announcement of a replica."""

    keeper: ids.KeeperId
    """Identity stored on its disk."""
    name: str
    """Host name from its settings."""
    address: ids.Address
    """Address at which it is reached."""
    group: str
    """Group stored on its disk; empty while it belongs to none."""
    is_first_start: bool
    """Whether its settings say that the whole system starts for the first
    time."""
    last_contact_at: float
    """Time of the last announcement, in monotonic seconds."""
    command_form: int = 0
    """Highest form of commands in the log that it applies."""
    is_leaving: bool = False
    """Whether its process is about to end as planned."""


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """State of the group as seen by its leader."""

    now: float
    """Current time in monotonic seconds."""
    me: ids.KeeperId
    """Identity of the leader."""
    group: str
    """Group that the leader belongs to."""
    membership: agreement.Membership
    """Newest membership in the leader's log."""
    peers: abc.Mapping[ids.KeeperId, PeerStatus]
    """Last announcements of the other replicas, by identity."""
    is_up_to_date: abc.Callable[[ids.KeeperId], bool]
    """Returns whether a learner has stored all committed entries."""
    leading_since: float
    """Start of this replica's leadership, in monotonic seconds. Earlier
    time without contact isn't counted."""

    def time_since_contact(self, keeper: ids.KeeperId) -> float:
        """Return the seconds since the last contact with a replica."""
        if keeper == self.me:
            return 0.0
        status = self.peers.get(keeper)
        last_contact_at = (
            self.leading_since
            if status is None
            else max(status.last_contact_at, self.leading_since)
        )
        return self.now - last_contact_at

    def is_leaving(self, keeper: ids.KeeperId) -> bool:
        """Return whether a replica has announced the end of its process."""
        status = self.peers.get(keeper)
        return status is not None and status.is_leaving


def initial_membership(
    peers: abc.Iterable[PeerStatus], seeds: abc.Collection[ids.Address]
) -> agreement.Membership | None:
    """Return the first membership once all seeds have announced a first start.

    :param peers: last announcements of this replica and of all others
    :param seeds: addresses of the replicas that create the group
    :return: None while a seed is missing or isn't at its first start, or if a
        replica already belongs to a group
    """
    by_address = {item.address: item for item in peers}
    lookups = [by_address.get(address) for address in seeds]
    seed_statuses = [item for item in lookups if item is not None]
    existing_members = [item for item in by_address.values() if item.group]
    if (
        existing_members
        or len(seed_statuses) < len(seeds)
        or not seed_statuses
    ):
        return None
    if not all(item.is_first_start for item in seed_statuses):
        return None
    return agreement.Membership(
        tuple(_member(item, True) for item in seed_statuses)
    )


def next_membership(view: View, policy: Policy) -> agreement.Membership | None:
    """Return a membership with one change, or None if none is due."""
    return (
        _without_replaced_member(view, policy)
        or _without_leaving_voter(view, policy)
        or _without_unresponsive(view, policy)
        or _with_voter(view, policy)
        or _with_learner(view, policy)
    )


def _without_replaced_member(
    view: View, policy: Policy
) -> agreement.Membership | None:
    """Return the membership without a replaced member, or None.

    A member is replaced if another identity now announces its address.
    """
    live_by_address = {
        item.address: item
        for item in view.peers.values()
        if view.now - item.last_contact_at < policy.live_s
    }
    for member in view.membership.members:
        current = live_by_address.get(member.address)
        if current is None or member.keeper in (current.keeper, view.me):
            continue
        status = view.peers.get(member.keeper)
        last_contact_at = (
            status.last_contact_at if status is not None else -math.inf
        )
        if (
            current.last_contact_at - last_contact_at
            > policy.displaced_after_s
        ):
            return view.membership.without(member.keeper)
    return None


def _without_leaving_voter(
    view: View, policy: Policy
) -> agreement.Membership | None:
    """Return the membership without a voter that is leaving, or None.

    It may be gone for good, and the next loss may follow at once. A small
    group keeps it, since most that leave are only restarted.
    """
    voters = view.membership.voters()
    if len(voters) <= policy.min_voters:
        return None
    leaving = (item for item in voters if view.is_leaving(item))
    keeper = next(leaving, None)
    return None if keeper is None else view.membership.without(keeper)


def _without_unresponsive(
    view: View, policy: Policy
) -> agreement.Membership | None:
    """Return the membership without an unresponsive member, or None.

    A small group keeps its unresponsive voters until a successor is ready.
    """
    voters = view.membership.voters()
    has_successor = len(voters) > policy.min_voters or any(
        _ready_learners(view, policy)
    )
    for keeper in voters:
        is_due = view.time_since_contact(keeper) > policy.remove_voter_after_s
        if has_successor and is_due:
            return view.membership.without(keeper)
    for member in view.membership.members:
        time_since_contact = view.time_since_contact(member.keeper)
        if (
            not member.voter
            and time_since_contact > policy.remove_learner_after_s
        ):
            return view.membership.without(member.keeper)
    return None


def _with_voter(view: View, policy: Policy) -> agreement.Membership | None:
    """Return the membership with a ready learner as voter, or None.

    No learner is promoted while a voter is unresponsive or leaving: the quorum
    would include a replica that may be gone, and the next loss would leave too
    few.
    """
    voters = view.membership.voters()
    if len(voters) >= policy.max_voters:
        return None
    if any(
        view.time_since_contact(keeper) > policy.live_s
        or view.is_leaving(keeper)
        for keeper in voters
    ):
        return None
    voter_addresses = {
        item.address for item in view.membership.members if item.voter
    }
    for learner in _ready_learners(view, policy):
        if learner.address not in voter_addresses:
            voter = dataclasses.replace(learner, voter=True)
            return view.membership.put(voter)
    return None


def _ready_learners(
    view: View, policy: Policy
) -> abc.Iterator[agreement.Member]:
    """Yield the live learners that have stored all committed entries."""
    for member in view.membership.members:
        is_live = view.time_since_contact(member.keeper) < policy.live_s
        stays = is_live and not view.is_leaving(member.keeper)
        if not member.voter and stays and view.is_up_to_date(member.keeper):
            yield member


def _with_learner(view: View, policy: Policy) -> agreement.Membership | None:
    """Return the membership with a new learner, or None.

    The learner is a live replica that belongs to no other group.
    """
    for item in view.peers.values():
        is_live = view.now - item.last_contact_at < policy.live_s
        can_join = item.group in ("", view.group) and not item.is_leaving
        if not is_live or not can_join:
            continue
        if view.membership.find(item.keeper) is None:
            return view.membership.put(_member(item, False))
    return None


def _member(item: PeerStatus, voter: bool) -> agreement.Member:
    """Convert the status of a replica to a member."""
    return agreement.Member(item.keeper, item.name, item.address, voter)
