"""State machine with one document, of which the highest revision wins.

It serves operators that number their documents themselves.  A command whose
revision isn't higher than the stored one changes nothing, so commands may be
repeated and reordered.  Beside the document it stores the evacuated zones, of
which the last committed order holds.

Example::

    register = revisions.Register()
    register.apply(1, revisions.encode_put(revisions.Put(7, document)))
    register.current.revision  # 7
    order = revisions.Evacuate(zone, is_evacuated=True)
    register.apply(2, revisions.encode_evacuate(order))
    register.state.evacuation.zones  # (zone,)
"""

from foxtailworks.revisions._commands import Command
from foxtailworks.revisions._commands import COMMAND_FORM
from foxtailworks.revisions._commands import decode_command
from foxtailworks.revisions._commands import encode_evacuate
from foxtailworks.revisions._commands import encode_put
from foxtailworks.revisions._commands import Evacuate
from foxtailworks.revisions._commands import Evacuation
from foxtailworks.revisions._commands import NO_DOCUMENT
from foxtailworks.revisions._commands import NO_EVACUATION
from foxtailworks.revisions._commands import Put
from foxtailworks.revisions._commands import State
from foxtailworks.revisions._commands import StoredDocument
from foxtailworks.revisions._register import Outcome
from foxtailworks.revisions._register import Register
from foxtailworks.revisions._register import restore

__all__ = [
    "COMMAND_FORM",
    "NO_DOCUMENT",
    "NO_EVACUATION",
    "Command",
    "Evacuate",
    "Evacuation",
    "Outcome",
    "Put",
    "Register",
    "State",
    "StoredDocument",
    "decode_command",
    "encode_evacuate",
    "encode_put",
    "restore",
]
