"""Replicated state machines: consensus, disk and machine in one node.

Example::

    node = replicated.Node(disk, make_machine, rng, now)
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
from foxtailworks.replicated._node import MachineFactory
from foxtailworks.replicated._node import Node
from foxtailworks.replicated._node import Stopped

__all__ = [
    "COMPACT_ENTRIES",
    "Decided",
    "Displaced",
    "Event",
    "Machine",
    "MachineFactory",
    "Node",
    "Stopped",
]
