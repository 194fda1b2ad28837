"""Edge host: routes callers' packets that carry a token.

Example::

    async with edge.opened(
        cfg, clock, rng, carry_out, describe, stop
    ) as host:
        decision = host.steering.open(syn, clock())
"""

from foxtailworks.edge._host import Host
from foxtailworks.edge._host import opened
from foxtailworks.edge._host import Settings
from foxtailworks.edge._ingress import Ingress
from foxtailworks.edge._link import Link
from foxtailworks.edge._scrape import CONTENT_TYPE

__all__ = ["CONTENT_TYPE", "Host", "Ingress", "Link", "Settings", "opened"]
