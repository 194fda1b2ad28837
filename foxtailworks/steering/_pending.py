"""SYNs that wait for routes or for an upstream's answer."""

import collections
from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.steering import _config
from foxtailworks.steering import _flows


@dataclasses.dataclass(frozen=True, slots=True)
class Syn:
    """First packet of a caller's flow, or a retransmission of it."""

    flow: _flows.FlowKey
    """Flow that the packet opens."""
    destination: ids.Address
    """Address that the caller sent it to."""
    retransmission: int
    """0 for the first transmission, then 1, 2 for retransmissions."""
    packet: bytes
    """The packet as it was received, to be forwarded when it is placed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSyn:
    """A SYN that can't be placed yet."""

    syn: Syn
    """The SYN as it was received."""
    sent_at: float
    """Time when the caller sent it first, monotonic seconds."""
    expires_at: float
    """Time at which the caller's next retransmission is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedSyn:
    """A SYN that was sent to an upstream and may be unanswered."""

    syn: Syn
    """The SYN that was sent."""
    upstream: _flows.InstanceKey
    """Upstream that it was sent to."""
    placed_at: float
    """Time of the placement, monotonic seconds."""

    def is_awaited_by(self, flow: _flows.Flow) -> bool:
        """Return whether a flow still waits for the answer to this SYN."""
        return flow.phase is _flows.Phase.OPENING and (
            (flow.placed_at, flow.upstream) == (self.placed_at, self.upstream)
        )


class PendingSyns:
    """Holds SYNs until they can be placed or their answer is overdue."""

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._held: dict[_flows.FlowKey, HeldSyn] = {}
        self._placed: collections.deque[tuple[float, PlacedSyn]]
        self._placed = collections.deque()
        self._mean_answer_s = (
            config.min_answer_timeout_s / config.answer_timeout_factor
        )

    def hold(self, syn: Syn, now: float) -> bool:
        """Hold a SYN that can't be placed yet.

        It expires when the caller's next retransmission is due, since a
        caller that has timed out sends none.

        :return: false when the table is full
        """
        if len(self._held) >= self._cfg.max_held_syns:
            self._held = {
                flow: item
                for flow, item in self._held.items()
                if now < item.expires_at
            }
            if len(self._held) >= self._cfg.max_held_syns:
                return False
        self._held[syn.flow] = self.as_held(syn, now)
        return True

    def as_held(self, syn: Syn, now: float) -> HeldSyn:
        """Return a SYN with the times that its caller follows."""
        index = min(syn.retransmission, len(self._cfg.retransmissions_s) - 1)
        sent_s = (0.0, *self._cfg.retransmissions_s)[index]
        next_s = self._cfg.retransmissions_s[index]
        slack_s = self._cfg.retransmission_slack_s
        return HeldSyn(syn, now - sent_s, now + next_s - sent_s + slack_s)

    def gives_up_at(self, sent_at: float) -> float:
        """Return when the caller of a SYN times out.

        :param sent_at: time when it sent the SYN first
        """
        return sent_at + self._cfg.retransmissions_s[-1]

    def release(self, now: float) -> abc.Iterator[HeldSyn]:
        """Yield the held SYNs that haven't expired, and clear the table."""
        held, self._held = self._held, {}
        return (item for item in held.values() if now < item.expires_at)

    def on_placed(
        self, syn: Syn, upstream: _flows.InstanceKey, now: float
    ) -> None:
        """Start the timeout for the answer to a SYN."""
        timeout_s = min(
            self._cfg.max_answer_timeout_s,
            max(
                self._cfg.min_answer_timeout_s,
                self._cfg.answer_timeout_factor * self._mean_answer_s,
            ),
        )
        item = PlacedSyn(syn, upstream, now)
        self._placed.append((now + timeout_s, item))

    def on_answered(self, after_s: float) -> None:
        """Update the moving average of the time to an answer."""
        weight = self._cfg.answer_time_weight
        self._mean_answer_s += weight * (after_s - self._mean_answer_s)

    def take_unanswered(self, now: float) -> abc.Iterator[PlacedSyn]:
        """Remove and yield the SYNs whose answer timeout has passed."""
        while self._placed and self._placed[0][0] <= now:
            yield self._placed.popleft()[1]
