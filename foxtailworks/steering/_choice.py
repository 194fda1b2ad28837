"""Which upstream a new flow is placed on."""

from collections import abc
import random
import typing

from foxtailworks import discovery
from foxtailworks.steering import _config
from foxtailworks.steering import _flows


class Chooser:
    """The least loaded upstream; a tie is decided at random.

    :param load: open flows at an upstream, as far as this host knows
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
        is_avoided: abc.Callable[[discovery.KnownInstance], bool],
    ) -> discovery.KnownInstance | None:
        """Return one of the candidates; None when there is none.

        :param is_avoided: tells what had better get no new work
        """
        best: list[discovery.KnownInstance] = []
        least = float("inf")
        for item in candidates:
            load = self._relative_load(item.instance)
            if is_avoided(item):
                load += self._cfg.avoided_load
            if load < least:
                best, least = [item], load
            elif load == least:
                best.append(item)
        return self._rng.choice(best) if best else None

    def _relative_load(self, instance: discovery.Instance) -> float:
        """Return open flows for each slot."""
        load = self._load(instance.key) / max(1, instance.slots)
        return load + self._cfg.cold_load if instance.cold_ms else load
