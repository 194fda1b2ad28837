"""The program ``foxtail-entry``: assigns callers' packets to upstreams."""

from foxtailworks.entry._cli import main
from foxtailworks.entry._host import EntryHost

__all__ = ["EntryHost", "main"]
