"""A route table with one route, for tests that play callers."""

from foxtailworks import ids
from foxtailworks import steering

DESTINATION = ids.Address("198.18.0.1", 443)


def one_route():
    """Return a table that sends one destination to the service ``desk``."""
    route = steering.Route(
        DESTINATION,
        (steering.Share(ids.ServiceId("desk"), 1),),
        steering.RequestKind.IDEMPOTENT,
        2_500,
        250,
        1,
    )
    return steering.RouteTable(1, (route,), 15_000)
