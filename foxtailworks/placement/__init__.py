"""Assignment of flows and of idempotent requests to upstreams.

A :class:`Placer` on each entry host decides where packets of flows go; a
:class:`Balancer` picks upstreams for idempotent requests.

Example::

    placer = placement.Placer(me, zone, now, epoch)
    placer.set_hosts(hosts, now)
    placer.set_upstreams(upstreams, now)
    placer.on_packet(service, caller, now)
"""

from foxtailworks.placement._balancer import Balancer
from foxtailworks.placement._balancer import Candidate
from foxtailworks.placement._balancer import ChoiceContext
from foxtailworks.placement._balancer import LeastLocalLoad
from foxtailworks.placement._balancer import LeastReportedLoad
from foxtailworks.placement._balancer import Outcome
from foxtailworks.placement._balancer import Policy
from foxtailworks.placement._balancer import PowerOfTwo
from foxtailworks.placement._balancer import RandomChoice
from foxtailworks.placement._balancer import RoundRobin
from foxtailworks.placement._balancer import UpstreamLoad
from foxtailworks.placement._messages import DeadHost
from foxtailworks.placement._messages import Digest
from foxtailworks.placement._messages import DigestAck
from foxtailworks.placement._messages import Handshake
from foxtailworks.placement._messages import JoinedHost
from foxtailworks.placement._messages import Message
from foxtailworks.placement._messages import MESSAGES
from foxtailworks.placement._messages import Synced
from foxtailworks.placement._placer import MAX_HOPS
from foxtailworks.placement._placer import Placer
from foxtailworks.placement._types import Decision
from foxtailworks.placement._types import Deliver
from foxtailworks.placement._types import HostState
from foxtailworks.placement._types import HostView
from foxtailworks.placement._types import PlacementConfig
from foxtailworks.placement._types import PlacerCounts
from foxtailworks.placement._types import Refuse
from foxtailworks.placement._types import RelayTo
from foxtailworks.placement._types import Send
from foxtailworks.placement._types import UpstreamView

__all__ = [
    "MAX_HOPS",
    "MESSAGES",
    "Balancer",
    "Candidate",
    "ChoiceContext",
    "DeadHost",
    "Decision",
    "Deliver",
    "Digest",
    "DigestAck",
    "Handshake",
    "HostState",
    "HostView",
    "JoinedHost",
    "LeastLocalLoad",
    "LeastReportedLoad",
    "Message",
    "Outcome",
    "PlacementConfig",
    "Placer",
    "PlacerCounts",
    "Policy",
    "PowerOfTwo",
    "RandomChoice",
    "Refuse",
    "RelayTo",
    "RoundRobin",
    "Send",
    "Synced",
    "UpstreamLoad",
    "UpstreamView",
]
