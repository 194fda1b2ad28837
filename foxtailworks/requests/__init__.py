"""Protocol cores for keyed and idempotent requests.

A request with a key runs at most once: a host claims the key at a majority
of the key's group before it sends the request to an upstream.  A request
without a key is idempotent and is retried within a budget.

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
from foxtailworks.requests._actions import Cancel
from foxtailworks.requests._actions import CancelResult
from foxtailworks.requests._actions import CompletedRun
from foxtailworks.requests._actions import Forward
from foxtailworks.requests._actions import KeyedRequest
from foxtailworks.requests._actions import Place
from foxtailworks.requests._actions import Refuse
from foxtailworks.requests._actions import Send
from foxtailworks.requests._actions import Unknown
from foxtailworks.requests._body_router import BlockRoute
from foxtailworks.requests._body_router import body_id
from foxtailworks.requests._body_router import BodyRouter
from foxtailworks.requests._budget import RetryBudget
from foxtailworks.requests._coordinator import Coordinator
from foxtailworks.requests._entry import State
from foxtailworks.requests._groups import choose_group
from foxtailworks.requests._groups import Group
from foxtailworks.requests._groups import KeyGroups
from foxtailworks.requests._groups import Roster
from foxtailworks.requests._idempotent import CancelIdempotent
from foxtailworks.requests._idempotent import IdempotentRequest
from foxtailworks.requests._idempotent import IdempotentRequests
from foxtailworks.requests._idempotent import PlaceIdempotent
from foxtailworks.requests._idempotent import PlacementToken
from foxtailworks.requests._messages import AttemptId
from foxtailworks.requests._messages import BodyBinding
from foxtailworks.requests._messages import BodyBindRequest
from foxtailworks.requests._messages import Claim
from foxtailworks.requests._messages import ClaimId
from foxtailworks.requests._messages import HandOver
from foxtailworks.requests._messages import HandOverComplete
from foxtailworks.requests._messages import KeyPageRequest
from foxtailworks.requests._messages import make_codec
from foxtailworks.requests._messages import Message
from foxtailworks.requests._messages import MESSAGES
from foxtailworks.requests._messages import Outcome
from foxtailworks.requests._messages import Placement
from foxtailworks.requests._messages import RecordOutcome
from foxtailworks.requests._recovery import Recovery
from foxtailworks.requests._saved_state import decode_saved_state
from foxtailworks.requests._saved_state import encode_saved_state
from foxtailworks.requests._saved_state import SavedState
from foxtailworks.requests._store import ClaimStore

__all__ = [
    "MESSAGES",
    "Action",
    "Answer",
    "AttemptId",
    "BlockRoute",
    "BodyBindRequest",
    "BodyBinding",
    "BodyRouter",
    "Cancel",
    "CancelIdempotent",
    "CancelResult",
    "Claim",
    "ClaimId",
    "ClaimStore",
    "CompletedRun",
    "Coordinator",
    "Forward",
    "Group",
    "HandOver",
    "HandOverComplete",
    "IdempotentRequest",
    "IdempotentRequests",
    "KeyGroups",
    "KeyPageRequest",
    "KeyedRequest",
    "Message",
    "Outcome",
    "Place",
    "PlaceIdempotent",
    "Placement",
    "PlacementToken",
    "RecordOutcome",
    "Recovery",
    "Refuse",
    "RetryBudget",
    "Roster",
    "SavedState",
    "Send",
    "State",
    "Unknown",
    "body_id",
    "choose_group",
    "decode_saved_state",
    "encode_saved_state",
    "make_codec",
]
