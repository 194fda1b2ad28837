"""Choice of the upstream for a new flow."""

from collections import abc
import random
import typing

from foxtailworks import discovery
from foxtailworks.steering import _config
from foxtailworks.steering import _flows


class Chooser:
    """Chooses the least loaded upstream and breaks ties at random.

    :param load: returns the open flows that this host sees at an upstream
    """

    def __init__(
        self,
        load: abc.Callable[[_flows.InstanceKey], float],
        rng: random.Random,
        config: _config.Config,
    ) -> None:
        self._load = load
        self._rng = rng
        self._cfg = config

    def choose(
        self,
        candidates: typing.Sequence[discovery.KnownInstance],
        is_deprioritized: abc.Callable[[discovery.KnownInstance], bool],
    ) -> discovery.KnownInstance | None:
        """Return the least loaded candidate; None when there is none.

        :param is_deprioritized: whether a candidate is chosen only while
            the others are much more loaded
        """
        best: list[discovery.KnownInstance] = []
        lowest = float("inf")
        for item in candidates:
            load = self._load_per_slot(item.instance)
            if is_deprioritized(item):
                load += self._cfg.deprioritized_load
            if load < lowest:
                best, lowest = [item], load
            elif load == lowest:
                best.append(item)
        return self._rng.choice(best) if best else None

    def _load_per_slot(self, instance: discovery.Instance) -> float:
        """Return the open flows per slot, more for a cold upstream."""
        load = self._load(instance.key) / max(1, instance.slots)
        return load + self._cfg.cold_load if instance.cold_ms else load
