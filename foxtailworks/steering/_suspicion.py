"""Upstreams that leave opening packets unanswered."""

from collections import abc
import dataclasses

from foxtailworks.steering import _config
from foxtailworks.steering import _flows


@dataclasses.dataclass(slots=True)
class _Evidence:
    """What speaks against an upstream."""

    avoided_until: float = 0.0
    """No new work before, while others are there."""
    back_off_s: float = 0.0
    """Last back-off."""


class SuspicionTracker:
    """Finds silent upstreams by what happens to opening packets.

    An answer goes to the caller directly; what shows it here is the
    caller's next packet.
    """

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._evidence: dict[_flows.InstanceKey, _Evidence] = {}
        self._doubted: dict[_flows.InstanceKey, float] = {}
        self.has_updates = False
        """An upstream was found silent since this was last cleared."""

    def is_avoided(self, upstream: _flows.InstanceKey, now: float) -> bool:
        """Tell whether an upstream had better get no new work now."""
        if now < self._doubted.get(upstream, 0.0):
            return True
        found = self._evidence.get(upstream)
        return found is not None and now < found.avoided_until

    def local_suspects(self, now: float) -> tuple[_flows.InstanceKey, ...]:
        """Return what this host itself found silent, for other hosts."""
        return tuple(
            key
            for key, found in self._evidence.items()
            if now < found.avoided_until
        )

    def put_suspected(
        self, keys: abc.Iterable[_flows.InstanceKey], now: float
    ) -> None:
        """Take what several other hosts find silent."""
        self._doubted = {
            key: until for key, until in self._doubted.items() if now < until
        }
        for key in keys:
            self._doubted[key] = now + self._cfg.doubt_s

    def on_answered(self, upstream: _flows.InstanceKey) -> None:
        """Note that a caller got an answer."""
        self._evidence.pop(upstream, None)
        self._doubted.pop(upstream, None)

    def clear(self) -> None:
        """Suspect nobody any more."""
        self._evidence.clear()
        self._doubted.clear()

    def on_unanswered(self, upstream: _flows.InstanceKey, now: float) -> None:
        """Avoid an upstream, longer with each miss until it answers."""
        found = self._evidence.setdefault(upstream, _Evidence())
        if now < found.avoided_until:
            return
        found.back_off_s = min(
            self._cfg.max_back_off_s,
            found.back_off_s * 2 or self._cfg.back_off_s,
        )
        found.avoided_until = now + found.back_off_s
        self.has_updates = True
