"""Which upstream a request goes to."""

from collections import abc
import random
import typing

import xxhash

from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import upstreams


class Choice:
    """Chooses among the candidates of a service."""

    def __init__(
        self,
        directory: upstreams.Directory,
        services: _services.ServiceIndex,
        rng: random.Random,
        clock: abc.Callable[[], float],
    ) -> None:
        self._directory = directory
        self._services = services
        self._rng = rng
        self._clock = clock

    def _candidates(
        self, service: ids.ServiceId
    ) -> tuple[upstreams.Candidate, ...]:
        """Return the upstreams that may take new work of a service."""
        route = self._services.get(service)
        if route is None:
            return ()
        return self._directory.candidates(
            route.customer, route.service.name, self._clock()
        )

    def __call__(
        self,
        service: ids.ServiceId,
        excluded: typing.Collection[ids.UpstreamId],
    ) -> ids.UpstreamId | None:
        """Return an upstream by weight, none of ``excluded``."""
        found = [
            item
            for item in self._candidates(service)
            if item.id not in excluded
        ]
        if not found:
            return None
        weights = [item.weight for item in found]
        return self._rng.choices(found, weights)[0].id

    def by_hash(
        self, service: ids.ServiceId, digest: int
    ) -> ids.UpstreamId | None:
        """Return the upstream that hosts with equal views agree on."""
        found = self._candidates(service)
        if not found:
            return None
        key = digest.to_bytes(8, "big")
        best = max(
            found,
            key=lambda item: xxhash.xxh3_64_intdigest(item.id.encode() + key),
        )
        return best.id
