"""Flows that carry a token of their upstream: no flow table to lose.

Where the packets of both ends carry a few bytes that the system may choose,
the opening packet is given a token of the upstream that it is placed on,
and each later packet is routed by its token alone, by any edge host.

Example::

    made = steering.Steering(roster, zone, rng)
    made.put_routes(table)
    decision = made.open(opening, now)
"""

from foxtailworks.steering._choice import Chooser
from foxtailworks.steering._config import Config
from foxtailworks.steering._decisions import Decision
from foxtailworks.steering._decisions import Drop
from foxtailworks.steering._decisions import Forward
from foxtailworks.steering._decisions import Reason
from foxtailworks.steering._decisions import Reset
from foxtailworks.steering._events import Answered
from foxtailworks.steering._events import Ended
from foxtailworks.steering._events import Ending
from foxtailworks.steering._events import Event
from foxtailworks.steering._events import Placed
from foxtailworks.steering._events import TurnedAway
from foxtailworks.steering._events import Unanswered
from foxtailworks.steering._flows import FlowKey
from foxtailworks.steering._flows import InstanceKey
from foxtailworks.steering._openings import Opening
from foxtailworks.steering._routes import RequestKind
from foxtailworks.steering._routes import Route
from foxtailworks.steering._routes import RouteTable
from foxtailworks.steering._routes import Share
from foxtailworks.steering._steering import Due
from foxtailworks.steering._steering import Packet
from foxtailworks.steering._steering import Steering
from foxtailworks.steering._tables import TableCodec
from foxtailworks.steering._tokens import Token
from foxtailworks.steering._tokens import token_of
from foxtailworks.steering._tokens import Tokens

__all__ = [
    "Answered",
    "Chooser",
    "Config",
    "Decision",
    "Drop",
    "Due",
    "Ended",
    "Ending",
    "Event",
    "FlowKey",
    "Forward",
    "InstanceKey",
    "Opening",
    "Packet",
    "Placed",
    "Reason",
    "RequestKind",
    "Reset",
    "Route",
    "RouteTable",
    "Share",
    "Steering",
    "TableCodec",
    "Token",
    "Tokens",
    "TurnedAway",
    "Unanswered",
    "token_of",
]
