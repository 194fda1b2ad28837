"""Raft consensus on a replicated log, without any I/O of its own.

Implements elections with pre-vote, a leader lease by check-quorum, commits
only in the leader's own term, reads confirmed by a majority, snapshots, and
membership changes of one keeper at a time.

Example::

    replica = agreement.Replica(keeper, agreement.Restored(), rng, now)
    for action in replica.on_tick(now):
        ...
"""

from foxtailworks.agreement._actions import Action
from foxtailworks.agreement._actions import Apply
from foxtailworks.agreement._actions import Persist
from foxtailworks.agreement._actions import PersistSnapshot
from foxtailworks.agreement._actions import ReadAborted
from foxtailworks.agreement._actions import ReadReady
from foxtailworks.agreement._actions import Restore
from foxtailworks.agreement._actions import Role
from foxtailworks.agreement._actions import RoleChanged
from foxtailworks.agreement._actions import Send
from foxtailworks.agreement._core import RestoredState
from foxtailworks.agreement._core import Timing
from foxtailworks.agreement._messages import Append
from foxtailworks.agreement._messages import AppendAnswer
from foxtailworks.agreement._messages import ElectNow
from foxtailworks.agreement._messages import Entry
from foxtailworks.agreement._messages import EntryKind
from foxtailworks.agreement._messages import HardState
from foxtailworks.agreement._messages import Member
from foxtailworks.agreement._messages import Membership
from foxtailworks.agreement._messages import Message
from foxtailworks.agreement._messages import MESSAGES
from foxtailworks.agreement._messages import Snapshot
from foxtailworks.agreement._messages import SnapshotAnswer
from foxtailworks.agreement._messages import SnapshotPart
from foxtailworks.agreement._messages import VoteAnswer
from foxtailworks.agreement._messages import VoteRequest
from foxtailworks.agreement._replica import Replica

__all__ = [
    "MESSAGES",
    "Action",
    "Append",
    "AppendAnswer",
    "Apply",
    "ElectNow",
    "Entry",
    "EntryKind",
    "HardState",
    "Member",
    "Membership",
    "Message",
    "Persist",
    "PersistSnapshot",
    "ReadAborted",
    "ReadReady",
    "Replica",
    "Restore",
    "RestoredState",
    "Role",
    "RoleChanged",
    "Send",
    "Snapshot",
    "SnapshotAnswer",
    "SnapshotPart",
    "Timing",
    "VoteAnswer",
    "VoteRequest",
]
