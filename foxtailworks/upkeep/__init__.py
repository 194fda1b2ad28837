"""Automatic membership changes of a group of replicas.

The leader computes a few times a second which single change is due: a new
replica becomes a learner, then a voter; a member whose disk was lost is
removed, and one that is unresponsive or leaving if it has a successor.

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
