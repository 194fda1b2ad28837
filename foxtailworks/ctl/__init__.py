"""Command line tool ``foxtailctl`` for operators.

Example::

    foxtailctl contract put balans.json --base 12 --wait-in-force 4
"""

from foxtailworks.ctl._app import main
from foxtailworks.ctl._exits import Exit
from foxtailworks.ctl._exits import exit_of

__all__ = ["Exit", "exit_of", "main"]
