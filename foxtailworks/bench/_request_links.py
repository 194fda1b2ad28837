"""Links among the hosts of the model and to upstreams."""

import random
import typing

from foxtailworks.bench import _request_ledger
from foxtailworks.bench import _request_parts
from foxtailworks import ids
from foxtailworks import requests


class Links(_request_ledger.Ledger):
    """Carries datagrams that may be lost, duplicated, delayed or blocked.

    :param seed: seed of all random choices
    """

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.001
        self.isolated_zones: frozenset[ids.ZoneId] = frozenset()
        self.hosts: dict[ids.HostId, _request_parts.Host] = {}

    def perform(
        self, host: _request_parts.Host, actions: tuple[requests.Action, ...]
    ) -> None:
        """Carry out actions as a host's program does."""
        raise NotImplementedError

    def _carry(
        self,
        source: ids.ZoneId,
        target: ids.ZoneId,
        deliver: _request_parts.Event,
    ) -> None:
        """Deliver a datagram, or lose, duplicate or delay it."""
        if not self._reaches(source, target):
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                spread = 0.5 + self.rng.random()
                self.schedule(self.delay_s * spread, deliver)

    def _reaches(self, source: ids.ZoneId, target: ids.ZoneId) -> bool:
        """Return whether two availability zones reach each other."""
        return (source in self.isolated_zones) == (
            target in self.isolated_zones
        )

    def _handle_event(
        self,
        host: _request_parts.Host,
        event: typing.Callable[[], tuple[requests.Action, ...]],
    ) -> None:
        """Let a host handle an event, now or once it resumes."""
        self._run_or_postpone(host, lambda: self.perform(host, event()))

    def _run_or_postpone(
        self, host: _request_parts.Host, step: _request_parts.Event
    ) -> None:
        """Run a step of a host; postpone it while the host is frozen."""
        if not host.is_up or self.hosts[host.name] is not host:
            return
        if self.now < host.frozen_until:
            host.postponed.append(step)
        else:
            step()

    def _resume(self, host: _request_parts.Host) -> None:
        """Run the postponed steps of a host that resumes."""
        postponed, host.postponed = host.postponed, []
        for step in postponed:
            self._run_or_postpone(host, step)
