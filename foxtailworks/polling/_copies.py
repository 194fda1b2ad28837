"""When an edge host asks a coordinator for a copy of all its instances.

Answers the load of a start with thousands of upstreams: a copy of 3,000 is
100 KB, and 300 hosts that each fetch one from each of six coordinators carry
180 MB between zones, though all six are the same a moment later.  So a host
compares digests first, and adopts the copy that it has.
"""

from foxtailworks import ids

WAIT_S = 2.0
"""Time for which a host that has a copy waits for another coordinator's
instances to become the same: upstreams' heartbeats are relayed within it."""


class Copies:
    """Decides whether a poll may be answered with a whole copy.

    Example::

        if copies.may_ask(source, is_known, is_responsive, has_copy):
            max_parts = transfers.grant(source, is_responsive, now)
    """

    def __init__(self) -> None:
        self._differs_since: dict[ids.Address, float] = {}
        self._wanted: set[ids.Address] = set()

    def may_ask(
        self,
        source: ids.Address,
        is_known: bool,
        is_responsive: bool,
        has_copy: bool,
    ) -> bool:
        """Return whether a coordinator may answer with a large message.

        Otherwise it tells its digest if its answer is large.

        :param is_known: whether the host has a version of its instances
        :param is_responsive: whether it answered the last poll; one that
            didn't may have started anew
        :param has_copy: whether the host has a running coordinator's copy
        """
        may_match = has_copy and not (is_known and is_responsive)
        return not may_match or source in self._wanted

    def on_difference(
        self, source: ids.Address, is_known: bool, has_copy: bool, now: float
    ) -> bool:
        """Record a digest unlike the copy's; return whether to ask now."""
        since = self._differs_since.setdefault(source, now)
        if has_copy and not is_known and now - since < WAIT_S:
            return False
        self._wanted.add(source)
        return True

    def want(self, source: ids.Address) -> None:
        """Let a coordinator answer with a large message in any case."""
        self._wanted.add(source)

    def on_answer(self, source: ids.Address) -> None:
        """Record that the host has a coordinator's instances."""
        self._differs_since.pop(source, None)
        self._wanted.discard(source)
