"""Who serves: instances that announce themselves, and their leases.

A :class:`Registry` lives in each coordinator: it takes heartbeats, shares
them with the other coordinators, and lets leases run out.  A
:class:`Roster` lives in each edge host: it merges what all coordinators
say, so that none of them is needed alone.

Example::

    registry = discovery.Registry(lease_s=3.0)
    registry.announce(instance, now)
    roster = discovery.Roster()
    roster.merge(peer, registry.changes(session, 0), now)
    roster.of_service(service, now)
"""

from foxtailworks.discovery._instance import Instance
from foxtailworks.discovery._instance import InstanceId
from foxtailworks.discovery._instance import InstanceState
from foxtailworks.discovery._registry import Changes
from foxtailworks.discovery._registry import ListedInstance
from foxtailworks.discovery._registry import Registry
from foxtailworks.discovery._registry import RelayedHeartbeat
from foxtailworks.discovery._roster import KnownInstance
from foxtailworks.discovery._roster import Roster

__all__ = [
    "Changes",
    "Instance",
    "InstanceId",
    "InstanceState",
    "KnownInstance",
    "ListedInstance",
    "Registry",
    "RelayedHeartbeat",
    "Roster",
]
