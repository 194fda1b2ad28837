"""Decisions on packets: forward, reset or drop."""

import dataclasses
import enum

from foxtailworks import discovery
from foxtailworks.steering import _tokens


class Reason(enum.Enum):
    """Reason why a packet isn't forwarded."""

    NO_ROUTE = "no_route"
    """No route has the packet's destination."""
    NO_UPSTREAM = "no_upstream"
    """No upstream of the service accepts new flows."""
    UNKNOWN_TOKEN = "unknown_token"
    """No instance, or more than one, has the packet's token."""
    UPSTREAM_GONE = "upstream_gone"
    """The upstream of the flow has left or was replaced."""
    NOT_READY = "not_ready"
    """This host hasn't received any routes yet."""
    WAITING = "waiting"
    """An earlier packet of the flow waits for room."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send the packet to an upstream."""

    instance: discovery.Instance
    """Upstream to send it to."""
    token: _tokens.Token
    """Token that the flow's packets carry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Send the caller a reset, which ends its flow."""

    reason: Reason
    """Reason for logs and counters."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Drop the packet without a reply; the caller retransmits it."""

    reason: Reason
    """Reason for logs and counters."""


Decision = Forward | Reset | Drop


@dataclasses.dataclass(frozen=True, slots=True)
class DuePacket:
    """A packet that had to wait, with the decision that was made on it."""

    packet: bytes
    """The packet as it was received."""
    decision: Decision
    """Decision to carry out now."""


def may_be_forwarded_later(decision: Decision) -> bool:
    """Return whether a packet waits for routes or for its upstream."""
    return isinstance(decision, Drop) and decision.reason in (
        Reason.NOT_READY,
        Reason.UNKNOWN_TOKEN,
    )
