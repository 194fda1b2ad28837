"""Upstreams that leave opening packets unanswered."""

import collections
import dataclasses

from foxtailworks.steering import _config
from foxtailworks.steering import _flows


@dataclasses.dataclass(slots=True)
class _Evidence:
    """What speaks against an upstream."""

    misses: int = 0
    """In a row."""
    avoided_until: float = 0.0
    """No new work before, while others are there."""
    back_off_s: float = 0.0
    """Last back-off."""


class Silence:
    """Finds silent upstreams by what happens to opening packets.

    An answer goes to the caller directly; what shows it here is the
    caller's next packet.
    """

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._evidence: dict[_flows.InstanceKey, _Evidence] = {}
        self._waiting: collections.deque[
            tuple[float, _flows.FlowKey, _flows.InstanceKey]
        ] = collections.deque()

    def is_avoided(self, upstream: _flows.InstanceKey, now: float) -> bool:
        """Tell whether an upstream had better get no new work now."""
        found = self._evidence.get(upstream)
        return found is not None and now < found.avoided_until

    def on_opening(
        self, flow: _flows.FlowKey, upstream: _flows.InstanceKey, now: float
    ) -> None:
        """Wait for an answer to an opening packet."""
        self._waiting.append((now + self._cfg.answer_s, flow, upstream))

    def on_answered(self, upstream: _flows.InstanceKey) -> None:
        """Note that a caller got an answer."""
        self._evidence.pop(upstream, None)

    def on_tick(self, flows: _flows.Flows, now: float) -> None:
        """Count the openings that were answered by nobody in time."""
        while self._waiting and self._waiting[0][0] <= now:
            _, key, upstream = self._waiting.popleft()
            flow = flows.get(key)
            if flow is None or flow.phase is not _flows.Phase.OPENING:
                continue
            if upstream in flow.tried:
                self._miss(upstream, now)

    def _miss(self, upstream: _flows.InstanceKey, now: float) -> None:
        """Count a miss; enough of them in a row make it avoided."""
        found = self._evidence.setdefault(upstream, _Evidence())
        found.misses += 1
        if found.misses < self._cfg.misses or now < found.avoided_until:
            return
        found.back_off_s = min(
            self._cfg.max_back_off_s,
            found.back_off_s * 2 or self._cfg.back_off_s,
        )
        found.avoided_until = now + found.back_off_s
