"""Upstreams that a new flow may be placed on."""

import random

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _eligibility
from foxtailworks.steering import _flows
from foxtailworks.steering import _routes
from foxtailworks.steering import _tokens


class Candidates:
    """Finds the upstreams of a route that may get a new flow.

    :param roster: instances, kept up to date by its owner
    :param tokens: tokens of the instances; colliding ones aren't used
    :param rng: draws services by weight
    """

    def __init__(
        self,
        roster: discovery.Roster,
        tokens: _tokens.TokenIndex,
        eligibility: _eligibility.Eligibility,
        rng: random.Random,
    ) -> None:
        self._roster = roster
        self._tokens = tokens
        self._eligibility = eligibility
        self._rng = rng

    def usable(
        self, route: _routes.Route, now: float
    ) -> list[discovery.KnownInstance]:
        """Return the upstreams of a service that is drawn by weight."""
        ready = self._ready(self._draw_service(route), now)
        return self._eligibility.select(ready, now)

    def untried(
        self, flow: _flows.Flow | None, route: _routes.Route, now: float
    ) -> list[discovery.KnownInstance]:
        """Return the upstreams that a flow's SYN hasn't been sent to."""
        usable = self.usable(route, now)
        tried = flow.tried if flow is not None else ()
        return [item for item in usable if item.instance.key not in tried]

    def next_ready_at(self, route: _routes.Route, now: float) -> float:
        """Return when a route gets its next upstream, without new heartbeats.

        :returns: ``NEVER`` if that isn't known
        """
        return min(
            (
                self._eligibility.next_ready_at(
                    self._ready(item.service, now), now
                )
                for item in route.shares
                if item.weight
            ),
            default=_eligibility.NEVER,
        )

    def opens_at(self, route: _routes.Route, now: float) -> float:
        """Return when a route opens whose upstreams are all excluded.

        :returns: ``now`` for a route with an upstream, or without any ready
            one; ``NEVER`` if no upstream becomes usable by itself
        """
        ready = [
            known
            for item in route.shares
            if item.weight
            for known in self._ready(item.service, now)
        ]
        if not ready or self._eligibility.select(ready, now):
            return now
        return self._eligibility.next_ready_at(ready, now)

    def _ready(
        self, service: ids.ServiceId, now: float
    ) -> list[discovery.KnownInstance]:
        """Return the ready upstreams of a service, cold ones among them."""
        return [
            item
            for item in self._roster.of_service(service, now)
            if self._tokens.is_unique(item)
        ]

    def _draw_service(self, route: _routes.Route) -> ids.ServiceId:
        """Draw a service at random by the weights of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [item.weight for item in route.shares]
        share = self._rng.choices(route.shares, weights)[0]
        return share.service
