"""Service discovery: instances announce themselves and hold leases.

Each coordinator has a :class:`Registry`, which receives heartbeats, shares
them with the other coordinators and expires leases.  Each edge host has a
:class:`Roster`, which merges the registries of all coordinators, so that it
doesn't depend on any single one.

Example::

    registry = discovery.Registry(lease_s=3.0)
    registry.announce(instance, now)
    roster = discovery.Roster()
    roster.merge(peer, registry.changes(session, 0), now)
    roster.of_service(service, now)
"""

from foxtailworks.discovery._instance import ContentToken
from foxtailworks.discovery._instance import Instance
from foxtailworks.discovery._instance import InstanceId
from foxtailworks.discovery._instance import InstanceState
from foxtailworks.discovery._messages import Changes
from foxtailworks.discovery._messages import HeardInstance
from foxtailworks.discovery._messages import ListedInstance
from foxtailworks.discovery._messages import RelayedHeartbeat
from foxtailworks.discovery._messages import Unshared
from foxtailworks.discovery._registry import LIST_INTERVAL_S
from foxtailworks.discovery._registry import Registry
from foxtailworks.discovery._roster import KnownInstance
from foxtailworks.discovery._roster import Roster

__all__ = [
    "LIST_INTERVAL_S",
    "Changes",
    "ContentToken",
    "HeardInstance",
    "Instance",
    "InstanceId",
    "InstanceState",
    "KnownInstance",
    "ListedInstance",
    "Registry",
    "RelayedHeartbeat",
    "Roster",
    "Unshared",
]
