"""What hosts tell one another about keyed requests and bodies."""

import dataclasses
import enum
import typing

from foxtailworks import ids
from foxtailworks import wire

MAX_MESSAGE_BYTES = 1200
MAX_ANSWER_BYTES = 1024
MAX_UNRESOLVED = 4
MAX_ATTEMPTS = 8

# Digest of caller address, token and message id: one datagram and its
# retransmissions.
AttemptId = typing.NewType("AttemptId", int)

# One round of claiming by one host; also the token of its placement.
ClaimId = typing.NewType("ClaimId", int)

NO_INCARNATION = ids.Incarnation(0)
NO_UPSTREAM = ids.UpstreamId("")


class Verdict(enum.Enum):
    """What a member of a group says to a claim or a withdrawal."""

    GRANTED = 0
    HELD = 1
    """Another claim stands."""
    DONE = 2
    """The outcome is known."""
    FENCED = 3
    """This attempt, or the key of late, was told that it didn't run."""
    FULL = 4
    RECOVERING = 5
    """The member has lost its memory and can't vouch for the key yet."""
    STALE = 6
    """The sender's roster is old."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A request that may have been sent to an upstream."""

    claim: ClaimId
    """Under which claim."""
    upstream: ids.UpstreamId
    """Where to."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """A request that ran."""

    claim: ClaimId
    """The claim under which it ran."""
    answer: bytes | None
    """The whole answer; none when it is too large to be kept here."""
    kept_by: ids.HostId
    """Host that recorded it; keeps an answer which is too large."""
    incarnation: ids.Incarnation = NO_INCARNATION
    """Of the host that recorded it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Asks a member to let this claim alone place the key."""

    key: ids.RequestKey
    claim: ClaimId
    attempt: AttemptId
    claimant: ids.HostId
    incarnation: ids.Incarnation
    epoch: int
    """Epoch of the claimant's roster."""
    upstream: ids.UpstreamId
    """Where it will be placed; empty for a claim that only fences."""
    resolvable_after_ms: int
    """After so long others may resolve the claim."""
    keep_ms: int
    """How long the member must remember."""
    replaces: tuple[ClaimId, ...] = ()
    """Claims that this one may take the place of."""
    unresolved: tuple[Placement, ...] = ()
    """Replaced placements that aren't proven never to run."""
    proven: tuple[ClaimId, ...] = ()
    """Of the replaced, those whose unresolved placements never started."""


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The claim that stands at a member."""

    claim: ClaimId
    attempt: AttemptId
    claimant: ids.HostId
    upstream: ids.UpstreamId
    unresolved: tuple[Placement, ...]
    due_in_ms: int
    """Not above zero when others may resolve it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """A member's answer to a claim."""

    key: ids.RequestKey
    claim: ClaimId
    verdict: Verdict
    holder: Holder | None = None
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Gives up claims that will never be placed, and may mark attempts.

    With attempts it asks the member to vouch that the key hasn't been
    claimed by another and that these attempts are never granted.
    """

    key: ids.RequestKey
    claims: tuple[ClaimId, ...]
    """Claims of the sender that it will never place."""
    epoch: int
    attempts: tuple[AttemptId, ...] = ()
    quiet_ms: int = 0
    """No claim of the key is granted for so long."""
    proven: tuple[ClaimId, ...] = ()
    """Of the claims, those whose unresolved placements never started."""


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawReply:
    """A member's answer to a withdrawal with attempts."""

    key: ids.RequestKey
    attempts: tuple[AttemptId, ...]
    verdict: Verdict
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Writes at a member that the key ran."""

    key: ids.RequestKey
    outcome: Outcome
    keep_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeAck:
    """The member keeps the outcome."""

    key: ids.RequestKey
    is_first: bool
    """Nobody else has recorded it at this member."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """A leaving member's record of one key, for the others."""

    key: ids.RequestKey
    claim: Claim | None
    outcome: Outcome | None
    keep_ms: int
    marks: tuple[AttemptId, ...] = ()
    """Attempts of the key that were told that they didn't run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """A leaving member grants no more and has handed all over."""

    incarnation: ids.Incarnation
    """Of the process that leaves."""
    count: int
    """How many hand-overs it has sent to the receiver."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeftAck:
    """All hand-overs of a leaving member are kept."""

    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class PageRequest:
    """A restarted member asks which keys a member remembers."""

    page: int
    """Fingerprints that are ``page`` modulo ``pages``."""
    pages: int
    incarnation: ids.Incarnation
    """Of the member that asks."""


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Fingerprints of the keys whose groups hold the asking member."""

    page: int
    pages: int
    fingerprints: bytes
    """Four bytes each."""
    too_many: bool = False
    """The page doesn't fit; ask again with more pages."""
    is_heir: bool = False
    """All that the asking host's last incarnation knew is in here."""


@dataclasses.dataclass(frozen=True, slots=True)
class BodyBindRequest:
    """Asks the owner of a body to bind it to an upstream."""

    body: int
    """Digest of service, caller and path."""
    upstream: ids.UpstreamId
    """Where the asking host would place it."""


@dataclasses.dataclass(frozen=True, slots=True)
class BodyBinding:
    """Tells where the blocks of a body go."""

    body: int
    upstream: ids.UpstreamId
    """Empty when the owner's table is full."""


Message = (
    Claim
    | ClaimReply
    | Withdraw
    | WithdrawReply
    | RecordOutcome
    | OutcomeAck
    | HandOver
    | Left
    | LeftAck
    | PageRequest
    | Page
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
    257: PageRequest,
    258: Page,
    259: BodyBindRequest,
    260: BodyBinding,
    261: Left,
    262: LeftAck,
}


def make_codec() -> wire.Codec:
    """Return the codec of these messages alone."""
    return wire.Codec(MESSAGES, MAX_MESSAGE_BYTES)
