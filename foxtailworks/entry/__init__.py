"""``foxtail-entry``: takes callers' packets and places them."""

from foxtailworks.entry._cli import main
from foxtailworks.entry._host import EntryHost

__all__ = ["EntryHost", "main"]
