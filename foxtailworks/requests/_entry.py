"""State of one key at its coordinator."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _ballot
from foxtailworks.requests import _messages

MAX_WAITERS = 64
MAX_DISCARDED_CLAIMS = 8


class State(enum.Enum):
    """Step of the protocol that a key has reached at its coordinator."""

    CLAIMING = "claiming"
    """The claim is sent to the members; nothing is placed."""
    PLACED = "placed"
    """Sent to the upstream under the claim."""
    WAITING = "waiting"
    """Another claim is granted; the own one will be retried."""
    FENCING = "fencing"
    """Other claims are being replaced, so that they can't proceed."""
    RESOLVING = "resolving"
    """Placements are being cancelled, to learn whether they started."""
    REFUSING = "refusing"
    """A request to fence the attempts is sent to the members."""
    REFUSED = "refused"
    """The attempts were refused as not run."""
    ANSWERED = "answered"
    """The outcome is known and reported."""
    UNKNOWN = "unknown"
    """Abandoned; a placement may have run."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """An attempt whose caller hasn't been answered."""

    handle: object
    deadline_at: float


@dataclasses.dataclass(slots=True)
class Entry:
    """State of one key at its coordinator."""

    key: ids.RequestKey
    service: ids.ServiceId
    attempt: _messages.AttemptId
    """Named in every claim, so that a fence of it stops them all."""
    retention_s: float
    state: State = State.CLAIMING
    waiters: dict[_messages.AttemptId, Waiter] = dataclasses.field(
        default_factory=dict
    )
    refused_attempts: set[_messages.AttemptId] = dataclasses.field(
        default_factory=set
    )
    """Attempts that were refused as not run."""
    replaced_attempts: set[_messages.AttemptId] = dataclasses.field(
        default_factory=set
    )
    """Attempts of replaced claims; fenced together with the own ones."""
    ballot: _ballot.Ballot | None = None
    claim: _messages.ClaimId | None = None
    """The own claim; the token of the placement."""
    upstream: ids.UpstreamId = _messages.NO_UPSTREAM
    discarded_claims: tuple[_messages.ClaimId, ...] = ()
    """Own claims that are never placed, or provably haven't run."""
    proven_unstarted: tuple[_messages.ClaimId, ...] = ()
    """The own claim, once none of its unresolved placements can start."""
    pending_placements: set[_messages.Placement] = dataclasses.field(
        default_factory=set
    )
    """Placements to cancel whose result isn't known yet."""
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    """Upstreams that shed this request."""
    placement_count: int = 0
    poll_count: int = 0
    outcome: _messages.Outcome | None = None
    kept_answer: bytes | None = None
    """The answer, as long as this host keeps it."""
    retry_after_s: float = 0.0
    until: float = 0.0
    """Monotonic seconds at which the state ends at the latest."""
    wake_at: float = 0.0

    @property
    def deadline_at(self) -> float:
        """Return the latest deadline of the waiting attempts."""
        return max((w.deadline_at for w in self.waiters.values()), default=0.0)

    @property
    def placement(self) -> _messages.Placement | None:
        """Return the placement of the own claim, if there is one."""
        if self.claim is None or not self.upstream:
            return None
        return _messages.Placement(self.claim, self.upstream)

    def join(self, now: float, arrival: _actions.KeyedRequest) -> bool:
        """Add an attempt that waits for the outcome; false when full."""
        if arrival.attempt in self.waiters:
            return True
        if len(self.waiters) >= MAX_WAITERS:
            return False
        deadline_at = now + arrival.remaining_ms / 1000
        self.waiters[arrival.attempt] = Waiter(arrival.handle, deadline_at)
        return True

    def discard_claim(self) -> None:
        """Drop the own claim, which is never placed or never ran."""
        if self.claim is not None:
            self.discarded_claims = (*self.discarded_claims, self.claim)[
                -MAX_DISCARDED_CLAIMS:
            ]
        self.claim = None
        self.upstream = _messages.NO_UPSTREAM
