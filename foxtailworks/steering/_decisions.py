"""What is to be done with a packet."""

import dataclasses
import enum

from foxtailworks import discovery
from foxtailworks.steering import _tokens


class Reason(enum.Enum):
    """Why a packet isn't forwarded."""

    NO_ROUTE = "no_route"
    """No contract names the destination."""
    NO_UPSTREAM = "no_upstream"
    """No upstream of the service takes new work."""
    UNKNOWN_TOKEN = "unknown_token"
    """No known upstream, or more than one, has this token."""
    UPSTREAM_GONE = "upstream_gone"
    """The upstream of the flow has ended."""
    NOT_READY = "not_ready"
    """This host doesn't know the contracts yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send the packet to an upstream."""

    instance: discovery.Instance
    """Which one."""
    token: _tokens.Token
    """To be carried by the packets of the flow."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Tell the caller that its flow has ended."""

    reason: Reason
    """For logs and counters."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Stay silent; the caller sends again."""

    reason: Reason
    """For logs and counters."""


Decision = Forward | Reset | Drop
