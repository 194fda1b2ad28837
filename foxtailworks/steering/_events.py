"""Events of flows, for logs and counters."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks.steering import _decisions
from foxtailworks.steering import _flows

MAX_EVENTS = 10_000
"""Maximum number of events kept until they are taken; further ones are counted
as lost."""


class Ending(enum.Enum):
    """Reason why a flow left this host's table."""

    CLOSED = "closed"
    """The caller closed the flow."""
    UNOPENED = "unopened"
    """No answer of an upstream was seen."""
    IDLE = "silent"
    """No packet arrived within the timeout: the caller timed out, or its
    packets now reach another edge host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A SYN was sent to an upstream."""

    flow: _flows.FlowKey
    """Flow that the SYN opens."""
    upstream: _flows.InstanceKey
    """Upstream that it was sent to."""
    retransmission: int
    """0 for the first transmission, then 1, 2 for retransmissions."""
    attempt: int
    """1 for the first upstream that the flow's SYN was sent to."""
    candidates: int
    """Number of upstreams to choose from."""
    open_flows: int
    """Flows that this host had open at the chosen upstream."""
    listed_age_s: float
    """Time since a coordinator last listed the upstream as live."""
    revision: int
    """Revision of the routes in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A caller's next packet showed that an upstream answered the SYN."""

    flow: _flows.FlowKey
    """Flow that was opened."""
    upstream: _flows.InstanceKey
    """Upstream that answered the SYN."""
    after_s: float
    """Time since the SYN was sent to an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer to a SYN was seen before its timeout."""

    flow: _flows.FlowKey
    """Flow that the SYN was to open."""
    upstream: _flows.InstanceKey
    """Upstream that didn't answer."""
    after_s: float
    """Time since the SYN was sent to the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A flow ended or expired in this host's table."""

    flow: _flows.FlowKey
    """Flow that ended or expired."""
    upstream: _flows.InstanceKey
    """Upstream that served it."""
    ending: Ending
    """Reason of the end."""
    tried: int
    """Number of upstreams that its SYN was sent to."""
    lasted_s: float | None
    """Time since its SYN was placed; None if another host placed it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A packet was not forwarded."""

    flow: _flows.FlowKey
    """Flow that the packet belongs to."""
    destination: ids.Address
    """Address that the caller sent it to."""
    reason: _decisions.Reason
    """Reason of the rejection."""
    was_reset: bool
    """Whether a reset was sent to the caller."""
    token: int
    """Token that the packet carried; 0 for a SYN."""
    revision: int
    """Revision of the routes in force."""


Event = Placed | Answered | Unanswered | Ended | Rejected


class Events:
    """Bounded list of events that haven't been taken yet."""

    def __init__(self) -> None:
        self._events: list[Event] = []
        self.lost = 0
        """Number of events discarded because the list was full."""

    def add(self, event: Event) -> None:
        """Append an event, or count it as lost when full."""
        if len(self._events) >= MAX_EVENTS:
            self.lost += 1
        else:
            self._events.append(event)

    def add_rejected(
        self,
        flow: _flows.FlowKey,
        destination: ids.Address,
        token: int,
        decision: _decisions.Reset | _decisions.Drop,
        revision: int,
    ) -> None:
        """Add an event for a packet that isn't forwarded."""
        was_reset = isinstance(decision, _decisions.Reset)
        self.add(
            Rejected(
                flow, destination, decision.reason, was_reset, token, revision
            )
        )

    def add_expired(
        self, key: _flows.FlowKey, flow: _flows.Flow, now: float
    ) -> None:
        """Add an event for an expired flow, unless it was closed before."""
        if flow.phase is _flows.Phase.OPENING:
            self.add_ended(key, flow, Ending.UNOPENED, now)
        elif flow.phase is _flows.Phase.OPEN:
            self.add_ended(key, flow, Ending.IDLE, now)

    def add_ended(
        self,
        key: _flows.FlowKey,
        flow: _flows.Flow,
        ending: Ending,
        now: float,
    ) -> None:
        """Add an event for the end of a flow."""
        lasted_s = now - flow.placed_at if flow.placed_at else None
        tried = len(flow.tried)
        self.add(Ended(key, flow.upstream, ending, tried, lasted_s))

    def take(self) -> list[Event]:
        """Return and remove the events since the last call."""
        events, self._events = self._events, []
        return events
