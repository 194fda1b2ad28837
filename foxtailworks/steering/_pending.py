"""Opening packets that wait: for routes, or for an answer."""

import collections
from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.steering import _config
from foxtailworks.steering import _flows


@dataclasses.dataclass(frozen=True, slots=True)
class Syn:
    """A caller's opening packet."""

    flow: _flows.FlowKey
    """Which flow."""
    destination: ids.Address
    """What the caller sent it to."""
    retransmission: int
    """0 for the first, then 1, 2 for the caller's copies."""
    packet: bytes
    """As it came; passed on when it is placed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """An opening that was passed on and isn't answered yet."""

    syn: Syn
    """What was passed on."""
    upstream: _flows.InstanceKey
    """Where to."""
    at: float
    """When."""


class PendingSyns:
    """Keeps openings until they are due; bounded."""

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._held: dict[_flows.FlowKey, tuple[float, Syn]] = {}
        self._placed: collections.deque[tuple[float, Placed]]
        self._placed = collections.deque()
        self._answer_s = config.answer_min_s / config.answer_factor

    def hold(self, syn: Syn, now: float) -> bool:
        """Keep an opening that can't be placed yet; false when full.

        Until the caller's next copy is due: one that has left sends none.
        """
        if len(self._held) >= self._cfg.max_held:
            self._held = {
                flow: item
                for flow, item in self._held.items()
                if now < item[0]
            }
            if len(self._held) >= self._cfg.max_held:
                return False
        copy = min(syn.retransmission, len(self._cfg.copies_s) - 1)
        sent_s = (0.0, *self._cfg.copies_s)[copy]
        wait_s = self._cfg.copies_s[copy] - sent_s + self._cfg.copy_slack_s
        self._held[syn.flow] = (now + wait_s, syn)
        return True

    def release(self, now: float) -> abc.Iterator[Syn]:
        """Yield what was held and is still worth placing."""
        held, self._held = self._held, {}
        return (item for until, item in held.values() if now < until)

    def placed(
        self, syn: Syn, upstream: _flows.InstanceKey, now: float
    ) -> None:
        """Wait for an answer to an opening."""
        patience = min(
            self._cfg.answer_max_s,
            max(
                self._cfg.answer_min_s,
                self._cfg.answer_factor * self._answer_s,
            ),
        )
        item = Placed(syn, upstream, now)
        self._placed.append((now + patience, item))

    def answered(self, after_s: float) -> None:
        """Learn how long an answer takes, as seen from this host."""
        share = self._cfg.answer_share
        self._answer_s += share * (after_s - self._answer_s)

    def unanswered(self, now: float) -> abc.Iterator[Placed]:
        """Yield the openings that were given enough time."""
        while self._placed and self._placed[0][0] <= now:
            yield self._placed.popleft()[1]
