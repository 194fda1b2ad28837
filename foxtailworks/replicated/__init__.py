"""A state machine that every replica applies alike, over its own disk.

Example::

    node = replicated.Node(disk, restore, rng, now)
    node.propose_data(command, now)
    node.flush(now)
    for event in node.take_events():
        ...
"""

from foxtailworks.replicated._node import COMPACT_ENTRIES
from foxtailworks.replicated._node import Decided
from foxtailworks.replicated._node import Displaced
from foxtailworks.replicated._node import Event
from foxtailworks.replicated._node import Machine
from foxtailworks.replicated._node import Node
from foxtailworks.replicated._node import Restore

__all__ = [
    "COMPACT_ENTRIES",
    "Decided",
    "Displaced",
    "Event",
    "Machine",
    "Node",
    "Restore",
]
