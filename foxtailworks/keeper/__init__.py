"""The program ``foxtail-keeper``: the replicated contract log.

:class:`Node` joins agreement, disk and catalogue without any link.
"""

from foxtailworks.keeper._cli import main
from foxtailworks.keeper._node import Node
from foxtailworks.replicated import Decided
from foxtailworks.replicated import Displaced

__all__ = ["Decided", "Displaced", "Node", "main"]
