"""Entry point of ``python -m foxtailworks.keeper``."""

from foxtailworks import keeper

keeper.main()
