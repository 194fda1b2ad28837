"""Flows that this host has seen packets of."""

import collections
from collections import abc
import dataclasses
import enum
import typing

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _config

FlowKey = typing.NewType("FlowKey", bytes)
# Both ends' addresses and ports, as the fabric writes them.

InstanceKey = tuple[discovery.InstanceId, ids.Incarnation]


class Phase(enum.Enum):
    """How far a flow is."""

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"


@dataclasses.dataclass(slots=True)
class Flow:
    """One flow as this host saw it."""

    upstream: InstanceKey
    """Where it was placed."""
    phase: Phase
    """How far it is."""
    until: float
    """When it counts no more unless a packet comes."""
    tried: tuple[InstanceKey, ...]
    """Upstreams that its opening packets went to."""
    placed_at: float = 0.0
    """When the last of them went out; 0 when this host didn't see it."""


class Flows:
    """Counts open flows by upstream; bounded, and only a hint."""

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._flows: dict[FlowKey, Flow] = {}
        self._open: collections.Counter[InstanceKey] = collections.Counter()

    def __len__(self) -> int:
        """Return how many flows are remembered."""
        return len(self._flows)

    def get(self, key: FlowKey) -> Flow | None:
        """Return a flow, if it is remembered."""
        return self._flows.get(key)

    def earlier_try(self, key: FlowKey) -> Flow | None:
        """Return the flow that an opening packet belongs to, if any.

        A port that is used again after its flow has ended begins another.
        """
        flow = self._flows.get(key)
        if flow is None or flow.phase is Phase.CLOSED:
            return None
        return flow

    def open_at(self, upstream: InstanceKey) -> int:
        """Return how many flows are open or opening at an upstream."""
        return self._open[upstream]

    def opened(self, key: FlowKey, upstream: InstanceKey, now: float) -> None:
        """Note an opening packet that was placed."""
        old = self.earlier_try(key)
        tried = (*old.tried, upstream) if old is not None else (upstream,)
        until = now + self._cfg.opening_s
        self._put(key, Flow(upstream, Phase.OPENING, until, tried, now))

    def seen(
        self, key: FlowKey, upstream: InstanceKey, until: float
    ) -> Phase | None:
        """Note a later packet; return the phase before it."""
        flow = self._flows.get(key)
        if flow is None or flow.upstream != upstream:
            self._put(key, Flow(upstream, Phase.OPEN, until, (upstream,)))
            return flow.phase if flow is not None else None
        before = flow.phase
        if before is not Phase.CLOSED:
            flow.phase = Phase.OPEN
            flow.until = until
        return before

    def closed(self, key: FlowKey, upstream: InstanceKey, now: float) -> None:
        """Note the last packet of a flow."""
        until = now + self._cfg.closed_s
        self._put(key, Flow(upstream, Phase.CLOSED, until, (upstream,)))

    def expire(self, now: float) -> abc.Iterator[tuple[FlowKey, Flow]]:
        """Forget and yield the flows whose time is over."""
        over = [key for key, flow in self._flows.items() if flow.until <= now]
        for key in over:
            yield key, self._remove(key)

    def _put(self, key: FlowKey, flow: Flow) -> None:
        """Replace what is known of a flow."""
        if key in self._flows:
            self._remove(key)
        elif len(self._flows) >= self._cfg.max_flows:
            self._remove(next(iter(self._flows)))
        self._flows[key] = flow
        if flow.phase is not Phase.CLOSED:
            self._open[flow.upstream] += 1

    def _remove(self, key: FlowKey) -> Flow:
        """Forget a flow."""
        flow = self._flows.pop(key)
        if flow.phase is not Phase.CLOSED:
            self._open[flow.upstream] -= 1
            if not self._open[flow.upstream]:
                del self._open[flow.upstream]
        return flow
