"""A keeper for platforms that number their documents themselves.

One :class:`Coordinator` on each host with a disk: replicated revisions of
the operators' document, the registry of instances, and what edge hosts poll.
All that coordinators and edge hosts say to one another are datagrams.

Example::

    async with coordinator.opened(cfg, read_table, clock) as running:
        await running.put(7, document)
        running.registry.announce(instance, clock())
"""

from foxtailworks.coordinator._documents import Documents
from foxtailworks.coordinator._messages import CODEC
from foxtailworks.coordinator._program import Coordinator
from foxtailworks.coordinator._program import opened
from foxtailworks.coordinator._settings import Settings

__all__ = [
    "CODEC",
    "Coordinator",
    "Documents",
    "Settings",
    "opened",
]
