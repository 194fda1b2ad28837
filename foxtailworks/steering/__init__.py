"""Stateless routing of flows whose packets carry a token.

The packets of both ends have a few bytes that the system may choose.  The
edge host that places a flow's SYN writes a token of the chosen upstream into
them, and any edge host routes each later packet by its token alone.  So no
flow table can be lost.

Example::

    made = steering.Steering(roster, zone, rng)
    made.put_routes(table)
    decision = made.open(syn, now)
"""

from foxtailworks.steering._choice import Chooser
from foxtailworks.steering._config import Config
from foxtailworks.steering._decisions import Decision
from foxtailworks.steering._decisions import Drop
from foxtailworks.steering._decisions import DuePacket
from foxtailworks.steering._decisions import Forward
from foxtailworks.steering._decisions import Reason
from foxtailworks.steering._decisions import Reset
from foxtailworks.steering._events import Answered
from foxtailworks.steering._events import Ended
from foxtailworks.steering._events import Ending
from foxtailworks.steering._events import Event
from foxtailworks.steering._events import Placed
from foxtailworks.steering._events import Rejected
from foxtailworks.steering._events import Unanswered
from foxtailworks.steering._flows import FlowKey
from foxtailworks.steering._flows import InstanceKey
from foxtailworks.steering._held_packets import Packet
from foxtailworks.steering._load_view import LoadView
from foxtailworks.steering._pending import Syn
from foxtailworks.steering._routes import RequestKind
from foxtailworks.steering._routes import Route
from foxtailworks.steering._routes import RouteTable
from foxtailworks.steering._routes import Share
from foxtailworks.steering._steering import Steering
from foxtailworks.steering._tables import TableDecoder
from foxtailworks.steering._tables import TableEncoder
from foxtailworks.steering._tokens import Token
from foxtailworks.steering._tokens import token_of
from foxtailworks.steering._tokens import TokenIndex

__all__ = [
    "Answered",
    "Chooser",
    "Config",
    "Decision",
    "Drop",
    "DuePacket",
    "Ended",
    "Ending",
    "Event",
    "FlowKey",
    "Forward",
    "InstanceKey",
    "LoadView",
    "Packet",
    "Placed",
    "Reason",
    "Rejected",
    "RequestKind",
    "Reset",
    "Route",
    "RouteTable",
    "Share",
    "Steering",
    "Syn",
    "TableDecoder",
    "TableEncoder",
    "Token",
    "TokenIndex",
    "Unanswered",
    "token_of",
]
