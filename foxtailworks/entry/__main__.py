"""Entry point of ``python -m foxtailworks.entry``."""

from foxtailworks import entry

entry.main()
