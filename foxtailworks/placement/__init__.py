"""Which upstream a flow belongs to, and which one a request goes to.

A :class:`Placer` on each entry host answers for packets of flows; a
:class:`Balancer` picks upstreams for requests that are idempotent.

Example::

    placer = placement.Placer(me, zone, now, epoch)
    placer.set_hosts(hosts, now)
    placer.set_upstreams(upstreams, now)
    placer.on_packet(service, caller, now)
"""

from foxtailworks.placement._messages import Absent
from foxtailworks.placement._messages import Digest
from foxtailworks.placement._messages import DigestAck
from foxtailworks.placement._messages import Fresh
from foxtailworks.placement._messages import Message
from foxtailworks.placement._messages import MESSAGES
from foxtailworks.placement._messages import Resend
from foxtailworks.placement._messages import Synced
from foxtailworks.placement._placer import MAX_HOPS
from foxtailworks.placement._placer import Placer
from foxtailworks.placement._placer import PlacerCounts
from foxtailworks.placement._types import Decision
from foxtailworks.placement._types import Deliver
from foxtailworks.placement._types import HostState
from foxtailworks.placement._types import HostView
from foxtailworks.placement._types import PlacementConfig
from foxtailworks.placement._types import Refuse
from foxtailworks.placement._types import RelayTo
from foxtailworks.placement._types import Send
from foxtailworks.placement._types import UpstreamView

__all__ = [
    "MAX_HOPS",
    "MESSAGES",
    "Absent",
    "Decision",
    "Deliver",
    "Digest",
    "DigestAck",
    "Fresh",
    "HostState",
    "HostView",
    "Message",
    "PlacementConfig",
    "Placer",
    "PlacerCounts",
    "Refuse",
    "RelayTo",
    "Resend",
    "Send",
    "Synced",
    "UpstreamView",
]
