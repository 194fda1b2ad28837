"""Coordinators: replicated configuration and registry of instances.

One :class:`Coordinator` runs on each host with a disk.  It replicates the
operators' document, whose revisions they number themselves, keeps the
registry of instances, and answers the polls of edge hosts.  Coordinators and
edge hosts communicate by datagrams only.

Example::

    async with coordinator.opened(cfg, read_table, clock) as running:
        await running.put(7, document)
        running.registry.announce(instance, clock())
"""

from foxtailworks.coordinator._documents import Documents
from foxtailworks.coordinator._messages import CODEC
from foxtailworks.coordinator._opened import opened
from foxtailworks.coordinator._program import Coordinator
from foxtailworks.coordinator._settings import Settings
from foxtailworks.coordinator._undecided import undecided_response

__all__ = [
    "CODEC",
    "Coordinator",
    "Documents",
    "Settings",
    "opened",
    "undecided_response",
]
