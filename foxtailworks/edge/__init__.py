"""An entry host for fabrics whose packets carry a token.

Example::

    async with edge.opened(cfg, clock, rng, pass_on, stop) as host:
        decision = host.steering.open(opening, clock())
"""

from foxtailworks.edge._host import Host
from foxtailworks.edge._host import opened
from foxtailworks.edge._host import Settings

__all__ = ["Host", "Settings", "opened"]
