"""Keeps a group of replicas whole without an operator.

The leader asks, a few times a second, which single change of the membership
is due: a new replica learns, then votes; one whose disk was lost and one
that stays silent while a successor waits give up their vote.

Example::

    due = upkeep.next_membership(view, upkeep.Policy())
    if due is not None:
        node.propose_membership(due, now)
"""

from foxtailworks.upkeep._rules import initial_membership
from foxtailworks.upkeep._rules import next_membership
from foxtailworks.upkeep._rules import PeerStatus
from foxtailworks.upkeep._rules import Policy
from foxtailworks.upkeep._rules import View

__all__ = [
    "PeerStatus",
    "Policy",
    "View",
    "initial_membership",
    "next_membership",
]
