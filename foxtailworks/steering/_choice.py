"""Choice of the upstream for a new flow."""

from collections import abc
import random
import typing

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _config
from foxtailworks.steering import _flows
from foxtailworks.steering import _load_view


_Rated = tuple[float, float, discovery.KnownInstance]
# Load in flows per slot with the penalty, the penalty alone, candidate.


def _load_of(rated: _Rated) -> float:
    """Return the load of a rated candidate."""
    return rated[0]


class Chooser:
    """Chooses among the least loaded upstreams at random.

    :param load: returns the load of this host's flows on an upstream
    :param zone: availability zone that is preferred among equals
    :param view: load of all hosts' requests, used while it is valid
    """

    def __init__(
        self,
        load: abc.Callable[[_flows.InstanceKey], float],
        zone: ids.ZoneId,
        rng: random.Random,
        config: _config.Config,
        view: _load_view.LoadView | None = None,
    ) -> None:
        self._load = load
        self._zone = zone
        self._rng = rng
        self._cfg = config
        self._view = view

    def choose(
        self,
        candidates: typing.Sequence[discovery.KnownInstance],
        penalty: abc.Callable[[discovery.KnownInstance], float],
        now: float,
    ) -> discovery.KnownInstance | None:
        """Return one of the least loaded candidates; None without any.

        :param penalty: returns the evidence against a candidate; by so many
            flows per slot the others must be more loaded
        """
        if self._view is not None and self._view.is_valid(now):
            chosen = self._view.choose(candidates, penalty)
            if chosen is not None:
                return chosen
        rated = [self._rate(item, penalty(item)) for item in candidates]
        if not rated:
            return None
        lowest, its_penalty, _ = min(rated, key=_load_of)
        best = [
            item
            for load, added, item in rated
            if load <= lowest + self._cfg.equal_load and added <= its_penalty
        ]
        near = [item for item in best if item.instance.zone == self._zone]
        return self._rng.choice(near or best)

    def _rate(self, item: discovery.KnownInstance, penalty: float) -> _Rated:
        """Return a candidate with its load."""
        return self._load_per_slot(item.instance) + penalty, penalty, item

    def _load_per_slot(self, instance: discovery.Instance) -> float:
        """Return the load per slot, more for a cold upstream."""
        load = self._load(instance.key) / max(1, instance.slots)
        return load + self._cfg.cold_load if instance.cold_ms else load
