"""Messages between hosts about keyed requests and bodies."""

import dataclasses
import enum
import typing

from foxtailworks import ids
from foxtailworks import wire

MAX_MESSAGE_BYTES = 1200
MAX_ANSWER_BYTES = 1024
MAX_UNRESOLVED = 4
MAX_ATTEMPTS = 8

# Digest of caller address, token and message id: identifies a datagram and
# its retransmissions.
AttemptId = typing.NewType("AttemptId", int)

# Identifies one claim of one host; also the token of its placement.
ClaimId = typing.NewType("ClaimId", int)

NO_INCARNATION = ids.Incarnation(0)
NO_UPSTREAM = ids.UpstreamId("")


class Verdict(enum.Enum):
    """A group member's decision on a claim, a withdrawal or an outcome."""

    GRANTED = 0
    CONFLICT = 1
    """The member has granted another claim."""
    DONE = 2
    """The outcome is recorded."""
    FENCED = 3
    """The attempt, or recently the key, was refused as not run."""
    FULL = 4
    RECOVERING = 5
    """The member has restarted and can't decide on the key yet."""
    STALE = 6
    """The sender's roster is older than the member's."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A request that may have been sent to an upstream."""

    claim: ClaimId
    """Claim under which it was sent."""
    upstream: ids.UpstreamId
    """Upstream that it was sent to."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The recorded result of a request that ran."""

    claim: ClaimId
    """The claim under which it ran."""
    answer: bytes | None
    """The complete answer; none when too large for a member."""
    kept_by: ids.HostId
    """Host that recorded it, and keeps an answer too large for a member."""
    incarnation: ids.Incarnation = NO_INCARNATION
    """Incarnation of the host that recorded it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Requests from one member the exclusive right to place the key."""

    key: ids.RequestKey
    claim: ClaimId
    attempt: AttemptId
    claimant: ids.HostId
    incarnation: ids.Incarnation
    epoch: int
    """Epoch of the claimant's roster."""
    upstream: ids.UpstreamId
    """Upstream it will be placed on; empty for a claim that only fences."""
    resolvable_after_ms: int
    """Time in milliseconds after which others may resolve the claim."""
    keep_ms: int
    """How long the member must keep it, in milliseconds."""
    replaces: tuple[ClaimId, ...] = ()
    """Claims that this one may replace."""
    unresolved: tuple[Placement, ...] = ()
    """Placements of the replaced claims that may still run."""
    proven_unstarted: tuple[ClaimId, ...] = ()
    """Replaced claims whose unresolved placements provably never started."""


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedClaim:
    """The claim that a member has granted."""

    claim: ClaimId
    attempt: AttemptId
    claimant: ids.HostId
    upstream: ids.UpstreamId
    unresolved: tuple[Placement, ...]
    resolvable_in_ms: int
    """Milliseconds until others may resolve it; 0 or less if they may."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """A member's reply to a claim."""

    key: ids.RequestKey
    claim: ClaimId
    verdict: Verdict
    granted_claim: GrantedClaim | None = None
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Releases claims that will never be placed, and may fence attempts.

    With attempts, the member must also confirm that no claim on the key is
    granted, and never grant one to these attempts.
    """

    key: ids.RequestKey
    claims: tuple[ClaimId, ...]
    """Claims that the sender will never place."""
    epoch: int
    attempts: tuple[AttemptId, ...] = ()
    refuse_for_ms: int = 0
    """How long no claim on the key is granted, in milliseconds."""
    proven_unstarted: tuple[ClaimId, ...] = ()
    """Claims whose unresolved placements provably never started."""


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawReply:
    """A member's reply to a withdrawal with attempts."""

    key: ids.RequestKey
    attempts: tuple[AttemptId, ...]
    verdict: Verdict
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Records at a member that the key's request ran."""

    key: ids.RequestKey
    outcome: Outcome
    keep_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeAck:
    """Acknowledges that the member has recorded the outcome."""

    key: ids.RequestKey
    is_first: bool
    """Whether this outcome was the first one recorded at this member."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """A leaving member's record of one key, sent to the other members."""

    key: ids.RequestKey
    claim: Claim | None
    outcome: Outcome | None
    keep_ms: int
    fenced_attempts: tuple[AttemptId, ...] = ()
    """Attempts of the key that were refused as not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverComplete:
    """A leaving member's notice that it has sent all of its hand-overs."""

    incarnation: ids.Incarnation
    """Incarnation of the leaving process."""
    count: int
    """Number of hand-over messages sent to the receiver."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverAck:
    """Acknowledges that all hand-overs of a leaving member are stored."""

    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPageRequest:
    """A restarted member's request for the keys recorded by another member."""

    page: int
    """Selects the fingerprints that equal ``page`` modulo ``pages``."""
    pages: int
    incarnation: ids.Incarnation
    """Incarnation of the requesting member."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPage:
    """Fingerprints of recorded keys in whose groups the requester is."""

    page: int
    pages: int
    fingerprints: bytes
    """Four bytes for each key."""
    is_too_large: bool = False
    """The page exceeds a message; the request is repeated with more pages."""
    has_hand_over: bool = False
    """Whether the sender has all that the requester's last incarnation had."""


@dataclasses.dataclass(frozen=True, slots=True)
class BodyBindRequest:
    """Requests the owner of a body to bind it to an upstream."""

    body: int
    """Digest of service, caller and path; identifies the body."""
    upstream: ids.UpstreamId
    """Upstream proposed by the requesting host; empty if it proposes none."""


@dataclasses.dataclass(frozen=True, slots=True)
class BodyBinding:
    """Announces the upstream that a body is bound to."""

    body: int
    upstream: ids.UpstreamId
    """Empty when the body isn't bound: no proposal, or a full table."""


Message = (
    Claim
    | ClaimReply
    | Withdraw
    | WithdrawReply
    | RecordOutcome
    | OutcomeAck
    | HandOver
    | HandOverComplete
    | HandOverAck
    | KeyPageRequest
    | KeyPage
    | BodyBindRequest
    | BodyBinding
)

# Numbers 250 to 299 on the wire.
MESSAGES: dict[int, type] = {
    250: Claim,
    251: ClaimReply,
    252: Withdraw,
    253: WithdrawReply,
    254: RecordOutcome,
    255: OutcomeAck,
    256: HandOver,
    257: KeyPageRequest,
    258: KeyPage,
    259: BodyBindRequest,
    260: BodyBinding,
    261: HandOverComplete,
    262: HandOverAck,
}


def make_codec() -> wire.Codec:
    """Return a codec for only the messages of this package."""
    return wire.Codec(MESSAGES, MAX_MESSAGE_BYTES)
