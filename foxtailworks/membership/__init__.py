"""Membership of entry hosts and gossip among them, after SWIM.

Within an availability zone hosts detect failures by SWIM: probes, indirect
probes, suspicion before a host is declared dead, and incarnations. Between
zones a few relays of each zone forward gossip, compare tables and report
which zones are reachable. Further tables (:class:`ReplicatedTable`) are
replicated along with the table of hosts.

Example::

    core = membership.Membership(me, seeds, random.Random(1), now=0.0)
    for action in core.on_tick(now=0.1):
        ...  # a Send, or an event such as HostChanged
"""

from foxtailworks.membership._config import Config
from foxtailworks.membership._core import Membership
from foxtailworks.membership._events import DeclaredDead
from foxtailworks.membership._events import HostChanged
from foxtailworks.membership._events import IsolationChanged
from foxtailworks.membership._events import Send
from foxtailworks.membership._events import ZoneChanged
from foxtailworks.membership._host import Host
from foxtailworks.membership._host import HostState
from foxtailworks.membership._messages import MESSAGES
from foxtailworks.membership._records import EncodedRecords
from foxtailworks.membership._replication import BucketHashes
from foxtailworks.membership._replication import GossipQueue
from foxtailworks.membership._replication import GossipScope
from foxtailworks.membership._replication import ReplicatedTable

__all__ = [
    "MESSAGES",
    "BucketHashes",
    "Config",
    "DeclaredDead",
    "EncodedRecords",
    "GossipQueue",
    "GossipScope",
    "Host",
    "HostChanged",
    "HostState",
    "IsolationChanged",
    "Membership",
    "ReplicatedTable",
    "Send",
    "ZoneChanged",
]
