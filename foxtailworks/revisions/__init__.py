"""State machine with one document, of which the highest revision wins.

It serves operators that number their documents themselves.  A command whose
revision isn't higher than the stored one changes nothing, so commands may be
repeated and reordered.

Example::

    register = revisions.Register()
    register.apply(1, revisions.encode_put(revisions.Put(7, document)))
    register.current.revision  # 7
"""

from foxtailworks.revisions._register import decode_put
from foxtailworks.revisions._register import encode_put
from foxtailworks.revisions._register import NO_DOCUMENT
from foxtailworks.revisions._register import Outcome
from foxtailworks.revisions._register import Put
from foxtailworks.revisions._register import Register
from foxtailworks.revisions._register import restore
from foxtailworks.revisions._register import StoredDocument

__all__ = [
    "NO_DOCUMENT",
    "StoredDocument",
    "Outcome",
    "Put",
    "Register",
    "decode_put",
    "encode_put",
    "restore",
]
