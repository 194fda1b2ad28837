"""Table of the flows that this host has seen packets of."""

import collections
from collections import abc
import dataclasses
import enum
import typing

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _config

FlowKey = typing.NewType("FlowKey", bytes)
# Addresses and ports of both ends, in the fabric's encoding.

InstanceKey = tuple[discovery.InstanceId, ids.Incarnation]


class Phase(enum.Enum):
    """Phase of a flow, as far as this host has seen it."""

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"


@dataclasses.dataclass(slots=True)
class Flow:
    """One flow as this host saw it."""

    upstream: InstanceKey
    """Upstream that it was placed on."""
    phase: Phase
    """Phase after the last packet."""
    expires_at: float
    """Time at which it expires unless a packet comes, monotonic seconds."""
    tried: tuple[InstanceKey, ...]
    """Upstreams that its SYN was sent to."""
    placed_at: float = 0.0
    """Time when its SYN was last placed; 0 when another host placed it."""
    busy_until: float = 0.0
    """Time until which a request is assumed to run on it, monotonic
    seconds."""


class Flows:
    """Bounded table of flows that counts the open ones by upstream.

    Its counts only serve the choice of an upstream, so flows may be missing.
    """

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._flows: dict[FlowKey, Flow] = {}
        self._open: collections.Counter[InstanceKey] = collections.Counter()
        self._busy: collections.Counter[InstanceKey] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of flows in the table."""
        return len(self._flows)

    def get(self, key: FlowKey) -> Flow | None:
        """Return a flow; None when it isn't in the table."""
        return self._flows.get(key)

    def find_unclosed(self, key: FlowKey) -> Flow | None:
        """Return a flow that a SYN may belong to; None when there is none.

        A SYN from a port whose flow was closed opens a new flow.
        """
        flow = self._flows.get(key)
        if flow is None or flow.phase is Phase.CLOSED:
            return None
        return flow

    def open_count(self, upstream: InstanceKey) -> int:
        """Return the number of flows open or opening at an upstream."""
        return self._open[upstream]

    def busy_count(self, upstream: InstanceKey) -> int:
        """Return the number of flows with a request under way there."""
        return self._busy.get(upstream, 0)

    def busy_counts(self) -> dict[InstanceKey, int]:
        """Return the number of such flows of each upstream that has any."""
        return {key: count for key, count in self._busy.items() if count}

    def load(self, upstream: InstanceKey) -> float:
        """Return the load that this host's flows put on an upstream.

        For days on which flows stay open between requests: a flow with a
        request under way occupies a slot, an idle one only may soon.
        """
        open_count = self._open.get(upstream, 0)
        if not open_count:
            return 0.0
        busy = self._busy.get(upstream, 0)
        return busy + self._cfg.idle_flow_load * (open_count - busy)

    def on_placed(
        self, key: FlowKey, upstream: InstanceKey, now: float
    ) -> None:
        """Record that a SYN was placed."""
        old = self.find_unclosed(key)
        tried = (*old.tried, upstream) if old is not None else (upstream,)
        expires_at = now + self._cfg.opening_timeout_s
        self._put(
            key,
            Flow(upstream, Phase.OPENING, expires_at, tried, now, expires_at),
        )

    def on_packet(
        self,
        key: FlowKey,
        upstream: InstanceKey,
        expires_at: float,
        busy_until: float,
    ) -> Phase | None:
        """Record a packet after the SYN; return the phase before it.

        :param busy_until: time until which a request is assumed to run
        """
        flow = self._flows.get(key)
        if flow is None or flow.upstream != upstream:
            tried = (upstream,)
            self._put(
                key,
                Flow(
                    upstream,
                    Phase.OPEN,
                    expires_at,
                    tried,
                    busy_until=busy_until,
                ),
            )
            return flow.phase if flow is not None else None
        before = flow.phase
        if before is not Phase.CLOSED:
            flow.phase = Phase.OPEN
            flow.expires_at = expires_at
            self._busy[upstream] += not flow.busy_until
            flow.busy_until = busy_until
        return before

    def on_closed(
        self, key: FlowKey, upstream: InstanceKey, now: float
    ) -> None:
        """Record the last packet of a flow."""
        expires_at = now + self._cfg.closed_flow_kept_s
        self._put(key, Flow(upstream, Phase.CLOSED, expires_at, (upstream,)))

    def expire(self, now: float) -> abc.Iterator[tuple[FlowKey, Flow]]:
        """Remove and yield the flows that have expired."""
        expired = []
        for key, flow in self._flows.items():
            if flow.expires_at <= now:
                expired.append(key)
            elif flow.busy_until and flow.busy_until <= now:
                flow.busy_until = 0.0
                self._busy[flow.upstream] -= 1
        for key in expired:
            yield key, self._remove(key)

    def _put(self, key: FlowKey, flow: Flow) -> None:
        """Insert or replace a flow; evict the oldest one when full."""
        if key in self._flows:
            self._remove(key)
        elif len(self._flows) >= self._cfg.max_flows:
            self._remove(next(iter(self._flows)))
        self._flows[key] = flow
        if flow.phase is not Phase.CLOSED:
            self._open[flow.upstream] += 1
            self._busy[flow.upstream] += bool(flow.busy_until)

    def _remove(self, key: FlowKey) -> Flow:
        """Remove and return a flow."""
        flow = self._flows.pop(key)
        if flow.phase is not Phase.CLOSED:
            self._open[flow.upstream] -= 1
            self._busy[flow.upstream] -= bool(flow.busy_until)
            if not self._open[flow.upstream]:
                del self._open[flow.upstream]
                del self._busy[flow.upstream]
        return flow
