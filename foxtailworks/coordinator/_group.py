"""Creation and automatic membership changes of the coordinators' group."""

import uuid

from foxtailworks import agreement
from foxtailworks.coordinator import _peers
from foxtailworks.coordinator import _settings
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import replicated
from foxtailworks import upkeep

CHECK_INTERVAL_S = 0.2
"""Interval between two checks of the membership."""

_EVENTS = logs.Events("coordinator")


def new_keeper() -> ids.KeeperId:
    """Create an identity for an empty disk."""
    return ids.KeeperId(uuid.uuid4().hex)


class Group:
    """Determines the membership change that is due and proposes it.

    :param peers: last announcements of the other coordinators
    :param now: monotonic seconds, as in all methods
    """

    def __init__(
        self, cfg: _settings.Settings, peers: _peers.Peers, now: float
    ) -> None:
        self._cfg = cfg
        self._peers = peers
        self._leading_since = now
        self._next_check_at = now

    def on_role_changed(self, now: float) -> None:
        """Restart the time since the last contact with each peer.

        Another leader may have had contact with it in the meantime.
        """
        self._leading_since = now

    def on_tick(self, node: replicated.Node, now: float) -> None:
        """Create the group, or propose the membership change that is due."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        if not node.replica.group:
            self._bootstrap_if_ready(node, now)
        elif node.replica.role is agreement.Role.LEADER:
            self._propose_change(node, now)

    def address_of(
        self, node: replicated.Node, keeper: ids.KeeperId
    ) -> ids.Address | None:
        """Return the address at which a replica listens, or None."""
        member = node.replica.membership.find(keeper)
        if member is not None:
            return member.address
        status = self._peers.statuses.get(keeper)
        return status.address if status is not None else None

    def outdated(
        self, node: replicated.Node, form: int
    ) -> tuple[ids.KeeperId, ...]:
        """Return the members that can't apply commands of a form.

        Those that haven't announced themselves to this coordinator are left
        out: a member that is down must not hold up orders, and returns with
        the release that is then in use.
        """
        statuses = self._peers.statuses
        others = {i.keeper for i in node.replica.membership.members}
        others.discard(node.replica.keeper)
        return tuple(
            keeper
            for keeper in sorted(others)
            if keeper in statuses and statuses[keeper].command_form < form
        )

    def _bootstrap_if_ready(self, node: replicated.Node, now: float) -> None:
        """Create the group, on the seed with the lowest address only."""
        if not self._cfg.is_first_start:
            return
        if self._cfg.listen_address != min(self._cfg.seeds):
            return
        me = upkeep.PeerStatus(
            node.replica.keeper,
            self._cfg.name,
            self._cfg.listen_address,
            "",
            True,
            now,
        )
        members = upkeep.initial_membership(
            (me, *self._peers.statuses.values()), self._cfg.seeds
        )
        if members is not None:
            node.bootstrap(uuid.uuid4().hex, members, now)
            _EVENTS.info("group_founded", members=len(members.members))

    def _propose_change(self, node: replicated.Node, now: float) -> None:
        """Propose the membership change that is due, if there is one."""
        replica = node.replica
        view = upkeep.View(
            now,
            replica.keeper,
            replica.group,
            replica.membership,
            self._peers.statuses,
            lambda keeper: (
                replica.match_index_of(keeper) >= replica.commit_index
            ),
            self._leading_since,
        )
        due = upkeep.next_membership(view, self._cfg.policy)
        if due is None:
            return
        try:
            node.propose_membership(due, now)
        except errors.FoxtailError as exc:
            _EVENTS.failed("membership_waits", exc)
        else:
            _EVENTS.info(
                "membership_changes",
                members=len(due.members),
                voters=len(due.voters()),
            )
