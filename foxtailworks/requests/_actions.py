"""What the request cores ask their program to do."""

import dataclasses
import enum

from foxtailworks import ids
from foxtailworks.requests import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request with a key, as a host got it or was passed it."""

    key: ids.RequestKey
    attempt: _messages.AttemptId
    service: ids.ServiceId
    remaining_ms: int
    """Until its deadline, as of now."""
    handle: object
    """The program's own: who is answered."""
    retention_s: float = 300.0
    """From the contract: how long the outcome is kept."""
    queued_s: float = 0.0
    """How long this host has held it back already."""


class CancelResult(enum.Enum):
    """What an upstream says of a placement that it was told to cancel."""

    NEVER_STARTED = "never started"
    """And never will, also if the placement arrives later."""
    STARTED = "started"
    """It runs or ran; the answer comes along if it is there."""


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
    """Token of this placement; answers carry it back."""
    upstream: ids.UpstreamId
    remaining_ms: int
    """Deadline for the upstream."""
    handle: object


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Tell an upstream to cancel a placement if it hasn't started."""

    key: ids.RequestKey
    claim: _messages.ClaimId
    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Give the caller the whole answer."""

    attempt: _messages.AttemptId
    handle: object
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller that the request didn't run and won't."""

    attempt: _messages.AttemptId
    handle: object
    retry_after_s: float
    """When to come back, spread."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Tell the caller that the outcome isn't known.

    Asking again with the same key tells the outcome, or runs the request
    if it is proven by then that it didn't run.
    """

    attempt: _messages.AttemptId
    handle: object
    retry_after_s: float
    has_run: bool = False
    """It ran, but its answer is lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Pass the request's datagram on to another host."""

    attempt: _messages.AttemptId
    handle: object
    host: ids.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedRun:
    """A keyed request ran; no other host counts it."""

    key: ids.RequestKey
    service: ids.ServiceId
    claim: _messages.ClaimId
    """Its number as a job."""


Action = Send | Place | Cancel | Answer | Refuse | Unknown | Forward
