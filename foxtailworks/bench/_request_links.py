"""Hosts of the model, and the links between them and to upstreams."""

import random
import typing

from foxtailworks.bench import _request_ledger
from foxtailworks.bench import _request_parts
from foxtailworks import ids
from foxtailworks import requests


class Links(_request_ledger.Ledger):
    """Carries datagrams that may be lost, doubled, late or cut off.

    :param seed: of all that happens by chance
    """

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.doubling = 0.0
        self.delay_s = 0.001
        self.isolated_zones: frozenset[ids.ZoneId] = frozenset()
        self.hosts: dict[ids.HostId, _request_parts.Host] = {}

    def perform(
        self, host: _request_parts.Host, actions: tuple[requests.Action, ...]
    ) -> None:
        """Carry out actions, as the program of a host does."""
        raise NotImplementedError

    def _carry(
        self,
        source: ids.ZoneId,
        target: ids.ZoneId,
        deliver: _request_parts.Event,
    ) -> None:
        """Lose, double or delay a datagram."""
        if not self._reaches(source, target):
            return
        copies = 2 if self.rng.random() < self.doubling else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                spread = 0.5 + self.rng.random()
                self.at(self.delay_s * spread, deliver)

    def _reaches(self, source: ids.ZoneId, target: ids.ZoneId) -> bool:
        """Return whether no cut lies between two availability zones."""
        return (source in self.isolated_zones) == (
            target in self.isolated_zones
        )

    def _event(
        self,
        host: _request_parts.Host,
        event: typing.Callable[[], tuple[requests.Action, ...]],
    ) -> None:
        """Let a host take in an event, now or when it goes on."""
        self._do(host, lambda: self.perform(host, event()))

    def _do(
        self, host: _request_parts.Host, step: _request_parts.Event
    ) -> None:
        """Do a step of a host unless it is down or frozen."""
        if not host.is_up or self.hosts[host.name] is not host:
            return
        if self.now < host.frozen_until:
            host.held.append(step)
        else:
            step()

    def _thaw(self, host: _request_parts.Host) -> None:
        """Go on with what was held."""
        held, host.held = host.held, []
        for step in held:
            self._do(host, step)
