"""The program ``foxtail-keeper``: a replica of the contract log.

:class:`Node` combines agreement, disk and catalogue without any links.
"""

from foxtailworks.keeper._cli import main
from foxtailworks.keeper._node import Node
from foxtailworks.replicated import Decided
from foxtailworks.replicated import Displaced

__all__ = ["Decided", "Displaced", "Node", "main"]
