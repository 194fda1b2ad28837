"""What happened to flows, for logs and counters."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks.steering import _decisions
from foxtailworks.steering import _flows

MAX_EVENTS = 10_000
"""Events kept until they are taken; more are counted as lost."""


class Ending(enum.Enum):
    """How a flow left this host's memory."""

    CLOSED = "closed"
    """The caller closed it."""
    UNOPENED = "unopened"
    """No upstream's answer was seen."""
    SILENT = "silent"
    """The caller fell silent: given up, or its packets go elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """An opening was passed on to an upstream."""

    flow: _flows.FlowKey
    """Which flow."""
    upstream: _flows.InstanceKey
    """Where to."""
    retransmission: int
    """Which of the caller's copies."""
    attempt: int
    """1 for the first upstream that the flow was tried at."""
    candidates: int
    """Upstreams that it could have gone to."""
    open_flows: int
    """Flows that this host had open at the chosen one."""
    listed_s: float
    """Age of the last word that the upstream is there."""
    revision: int
    """Routes that were in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A caller's next packet showed that an upstream answered."""

    flow: _flows.FlowKey
    """Which flow."""
    upstream: _flows.InstanceKey
    """Who answered."""
    after_s: float
    """Time since its opening was passed on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer was seen in time."""

    flow: _flows.FlowKey
    """Which flow."""
    upstream: _flows.InstanceKey
    """Who was silent."""
    after_s: float
    """Time that it was given."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """This host counts the flow no more."""

    flow: _flows.FlowKey
    """Which flow."""
    upstream: _flows.InstanceKey
    """Where it was."""
    ending: Ending
    """How it ended."""
    tried: int
    """Upstreams that its opening went to."""
    lasted_s: float | None
    """Time since its opening was passed on; None if by another host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A packet was not forwarded."""

    flow: _flows.FlowKey
    """Which flow."""
    destination: ids.Address
    """What the caller sent it to."""
    reason: _decisions.Reason
    """Why."""
    was_reset: bool
    """Whether the caller was told."""
    token: int
    """As the packet carried it; 0 for an opening."""
    revision: int
    """Routes that were in force."""


Event = Placed | Answered | Unanswered | Ended | Rejected


class Events:
    """Collects events until they are taken; bounded."""

    def __init__(self) -> None:
        self._events: list[Event] = []
        self.lost = 0
        """Events that came while the list was full."""

    def add(self, event: Event) -> None:
        """Keep an event."""
        if len(self._events) >= MAX_EVENTS:
            self.lost += 1
        else:
            self._events.append(event)

    def take(self) -> list[Event]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events
