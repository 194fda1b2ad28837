"""The group of coordinators: founded once, kept whole by its leader."""

import uuid

from foxtailworks import agreement
from foxtailworks.coordinator import _peers
from foxtailworks.coordinator import _settings
from foxtailworks import errors
from foxtailworks import logs
from foxtailworks import replicated
from foxtailworks import upkeep

UPKEEP_S = 0.2
"""The membership is looked at so often."""

_EVENTS = logs.Events("coordinator")


class Group:
    """Asks what is due and has the node do it.

    :param peers: the other coordinators
    """

    def __init__(
        self, cfg: _settings.Settings, peers: _peers.Peers, now: float
    ) -> None:
        self._cfg = cfg
        self._peers = peers
        self._leading_since = now
        self._due_at = now

    def on_role_changed(self, now: float) -> None:
        """Count the others' silence anew: another leader may have heard."""
        self._leading_since = now

    def on_tick(self, node: replicated.Node, now: float) -> None:
        """Found the group, or make the change of it that is due."""
        if now < self._due_at:
            return
        self._due_at = now + UPKEEP_S
        if not node.replica.group:
            self._found(node, now)
        elif node.replica.role is agreement.Role.LEADER:
            self._change(node, now)

    def _found(self, node: replicated.Node, now: float) -> None:
        """Create the group, at the first of the seeds."""
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
            (me, *self._peers.sightings.values()), self._cfg.seeds
        )
        if members is not None:
            node.bootstrap(uuid.uuid4().hex, members, now)
            _EVENTS.info("group_founded", members=len(members.members))

    def _change(self, node: replicated.Node, now: float) -> None:
        """Propose the change of the membership that is due."""
        replica = node.replica
        view = upkeep.View(
            now,
            replica.keeper,
            replica.group,
            replica.membership,
            self._peers.sightings,
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
