"""A document of which the highest revision is in force.

The replicated state machine behind operators that number their documents
themselves: a revision that isn't higher than the one held changes nothing,
so that a resent or overtaken change is harmless in any order.

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
