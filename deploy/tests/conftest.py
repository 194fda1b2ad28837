"""Lets tests import the adapter's modules as its programs do.

They can't stand in the adapter's own folder: pytest would import that as
the module ``platform``, in place of Python's own.
"""

import pathlib
import sys

HERE = pathlib.Path(__file__).parent

sys.path[:0] = [str(HERE.parents[1] / "platform"), str(HERE)]
