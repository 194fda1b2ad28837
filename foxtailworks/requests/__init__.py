"""Requests: at most one run for a key, retries for the rest.

A request with a key is claimed at a majority of the key's group before it
is placed; a request without one is retried within a budget.

Example::

    groups = requests.KeyGroups(roster, retention_s=300.0)
    recovery = requests.Recovery(now, 300.0, fresh=True)
    store = requests.ClaimStore(host, groups, recovery)
    coordinator = requests.Coordinator(
        host, incarnation, groups, store, choose, rng
    )
    for action in coordinator.request(now, arrival):
        perform(action)
"""

from foxtailworks.requests._actions import Action
from foxtailworks.requests._actions import Answer
from foxtailworks.requests._actions import Arrival
from foxtailworks.requests._actions import Cancel
from foxtailworks.requests._actions import CancelResult
from foxtailworks.requests._actions import PassTo
from foxtailworks.requests._actions import Place
from foxtailworks.requests._actions import Ran
from foxtailworks.requests._actions import Refuse
from foxtailworks.requests._actions import Send
from foxtailworks.requests._actions import Unknown
from foxtailworks.requests._bodies import Bodies
from foxtailworks.requests._bodies import body_id
from foxtailworks.requests._bodies import Bound
from foxtailworks.requests._budget import RetryBudget
from foxtailworks.requests._coordinator import Coordinator
from foxtailworks.requests._entry import State
from foxtailworks.requests._groups import choose_group
from foxtailworks.requests._groups import Group
from foxtailworks.requests._groups import KeyGroups
from foxtailworks.requests._groups import Roster
from foxtailworks.requests._idempotent import CancelTry
from foxtailworks.requests._idempotent import IdempotentRequests
from foxtailworks.requests._idempotent import PlaceTry
from foxtailworks.requests._idempotent import Repeatable
from foxtailworks.requests._idempotent import TryToken
from foxtailworks.requests._memory import decode_memory
from foxtailworks.requests._memory import encode_memory
from foxtailworks.requests._memory import Memory
from foxtailworks.requests._messages import AttemptId
from foxtailworks.requests._messages import BodyBind
from foxtailworks.requests._messages import BodyBound
from foxtailworks.requests._messages import Claim
from foxtailworks.requests._messages import ClaimId
from foxtailworks.requests._messages import HandOver
from foxtailworks.requests._messages import Left
from foxtailworks.requests._messages import make_codec
from foxtailworks.requests._messages import Message
from foxtailworks.requests._messages import MESSAGES
from foxtailworks.requests._messages import Outcome
from foxtailworks.requests._messages import PageRequest
from foxtailworks.requests._messages import Placement
from foxtailworks.requests._messages import RecordOutcome
from foxtailworks.requests._recovery import Recovery
from foxtailworks.requests._store import ClaimStore

__all__ = [
    "MESSAGES",
    "Action",
    "Answer",
    "Arrival",
    "AttemptId",
    "Bodies",
    "BodyBind",
    "BodyBound",
    "Bound",
    "Cancel",
    "CancelResult",
    "CancelTry",
    "Claim",
    "ClaimId",
    "ClaimStore",
    "Coordinator",
    "Group",
    "HandOver",
    "IdempotentRequests",
    "KeyGroups",
    "Left",
    "Memory",
    "Message",
    "Outcome",
    "PageRequest",
    "PassTo",
    "Place",
    "PlaceTry",
    "Placement",
    "RecordOutcome",
    "Ran",
    "Recovery",
    "Refuse",
    "Repeatable",
    "RetryBudget",
    "Roster",
    "Send",
    "State",
    "TryToken",
    "Unknown",
    "body_id",
    "choose_group",
    "decode_memory",
    "encode_memory",
    "make_codec",
]
