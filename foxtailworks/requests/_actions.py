"""Inputs of the request cores, and actions that their program carries out."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks.requests import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request with a key, received from a caller or another host."""

    key: ids.RequestKey
    attempt: _messages.AttemptId
    service: ids.ServiceId
    remaining_ms: int
    """Milliseconds until its deadline."""
    handle: object
    """Opaque to the core; identifies the caller to answer."""
    retention_s: float = 300.0
    """How long the outcome is kept, in seconds; from the contract."""
    queued_s: float = 0.0
    """Seconds since this host received it, spent in its queue."""


class CancelResult(enum.Enum):
    """An upstream's reply to the cancellation of a placement."""

    NEVER_STARTED = "never started"
    """It never will, even if the placement arrives later."""
    STARTED = "started"
    """It is running or has run; the answer is included if there is one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another host."""

    host: ids.HostId
    message: _messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Send the request to an upstream now."""

    key: ids.RequestKey
    claim: _messages.ClaimId
    """Token of this placement, repeated in the upstream's answer."""
    upstream: ids.UpstreamId
    remaining_ms: int
    """Milliseconds until the deadline, for the upstream."""
    handle: object


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a placement at its upstream if it hasn't started."""

    key: ids.RequestKey
    claim: _messages.ClaimId
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Send the complete answer to the caller."""

    attempt: _messages.AttemptId
    handle: object
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Report to the caller that the request didn't run and won't."""

    attempt: _messages.AttemptId
    handle: object
    retry_after_s: float
    """Seconds until the caller should retry, with jitter."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Report to the caller that the outcome isn't known.

    A retry with the same key returns the outcome, or runs the request if it is
    proven by then that it didn't run.
    """

    attempt: _messages.AttemptId
    handle: object
    retry_after_s: float
    has_run: bool = False
    """Whether it is known to have run, though its answer is lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Forward the request's datagram to another host."""

    attempt: _messages.AttemptId
    handle: object
    host: ids.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedRun:
    """A run of a keyed request that only this host counts."""

    key: ids.RequestKey
    service: ids.ServiceId
    claim: _messages.ClaimId
    """Claim under which it ran; identifies the run."""


Action = Send | Place | Cancel | Answer | Refuse | Unknown | Forward
