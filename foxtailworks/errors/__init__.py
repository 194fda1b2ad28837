"""Numbered result codes and the exception that carries them.

Example::

    raise errors.FoxtailError(
        errors.Code.SETTINGS_INVALID, "port must be 1..65535", file="a.json"
    )
"""

from foxtailworks.errors._codes import Code
from foxtailworks.errors._codes import describe
from foxtailworks.errors._exceptions import FoxtailError

__all__ = ["Code", "FoxtailError", "describe"]
