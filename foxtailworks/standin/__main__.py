"""Entry point of ``python -m foxtailworks.standin``."""

from foxtailworks import standin

standin.main()
