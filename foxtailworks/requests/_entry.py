"""What a coordinator knows of one key."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _ballot
from foxtailworks.requests import _messages

MAX_WAITERS = 64
MAX_DEAD = 8


class State(enum.Enum):
    """Where a key stands at its coordinator."""

    CLAIMING = "claiming"
    """A majority is asked for the claim; nothing is placed."""
    PLACED = "placed"
    """Sent to the upstream under the claim."""
    WAITING = "waiting"
    """Another claim stands; it is asked for again."""
    FENCING = "fencing"
    """Other claims are being replaced, so that they can't go on."""
    RESOLVING = "resolving"
    """Upstreams are asked whether a placement started."""
    REFUSING = "refusing"
    """A majority is asked to mark the attempts as never to run."""
    REFUSED = "refused"
    """The attempts were told that they didn't run."""
    ANSWERED = "answered"
    """The outcome is known."""
    UNKNOWN = "unknown"
    """Given up; the placement may have run."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """An attempt that hasn't been answered."""

    handle: object
    deadline_at: float


@dataclasses.dataclass(slots=True)
class Entry:
    """One key at its coordinator."""

    key: ids.RequestKey
    service: ids.ServiceId
    attempt: _messages.AttemptId
    """Named in every claim, so that marks of it stop them all."""
    retention_s: float
    state: State = State.CLAIMING
    waiters: dict[_messages.AttemptId, Waiter] = dataclasses.field(
        default_factory=dict
    )
    refused: set[_messages.AttemptId] = dataclasses.field(default_factory=set)
    """Told that they didn't run."""
    fenced: set[_messages.AttemptId] = dataclasses.field(default_factory=set)
    """Attempts of claims that were replaced; marked with the own ones."""
    ballot: _ballot.Ballot | None = None
    claim: _messages.ClaimId | None = None
    """The own claim; the token of the placement."""
    upstream: ids.UpstreamId = _messages.NO_UPSTREAM
    dead: tuple[_messages.ClaimId, ...] = ()
    """Own claims that are never placed, or proven not to have run."""
    proven: tuple[_messages.ClaimId, ...] = ()
    """The own claim whose unresolved placements all never started."""
    pending: set[_messages.Placement] = dataclasses.field(default_factory=set)
    """Placements of which upstreams are asked."""
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    """Upstreams that shed this request."""
    tries: int = 0
    polls: int = 0
    outcome: _messages.Outcome | None = None
    kept: bytes | None = None
    """The answer, while this host keeps it."""
    retry_after_s: float = 0.0
    until: float = 0.0
    """When the state is left at the latest."""
    wake_at: float = 0.0

    @property
    def deadline_at(self) -> float:
        """Return the latest deadline of the attempts that wait."""
        return max((w.deadline_at for w in self.waiters.values()), default=0.0)

    @property
    def placement(self) -> _messages.Placement | None:
        """Return the own placement."""
        if self.claim is None or not self.upstream:
            return None
        return _messages.Placement(self.claim, self.upstream)

    def join(self, now: float, arrival: _actions.KeyedRequest) -> bool:
        """Let an attempt wait for the outcome; false when too many do."""
        if arrival.attempt in self.waiters:
            return True
        if len(self.waiters) >= MAX_WAITERS:
            return False
        deadline_at = now + arrival.remaining_ms / 1000
        self.waiters[arrival.attempt] = Waiter(arrival.handle, deadline_at)
        return True

    def bury(self) -> None:
        """Note that the own claim is never placed, or never ran."""
        if self.claim is not None:
            self.dead = (*self.dead, self.claim)[-MAX_DEAD:]
        self.claim = None
        self.upstream = _messages.NO_UPSTREAM
