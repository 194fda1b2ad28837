"""Hosts, upstreams and attempts of the model of the request cores."""

import dataclasses
import enum
import typing

from foxtailworks import ids
from foxtailworks import requests

RUN_S = 0.02
Event = typing.Callable[[], None]


class SendFault(enum.Enum):
    """What befalls the next host that is about to place a request."""

    FREEZE_BEFORE = "frozen after its last check, sends when it goes on"
    KILL_BEFORE = "dies before the send"
    KILL_AFTER = "dies after the send"
    LOSE = "its send is lost"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One datagram of a caller and what the caller was told."""

    key: ids.RequestKey
    number: requests.AttemptId
    sent_at: float
    reply: str = ""
    told_at: float = 0.0
    refused_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Host:
    """An entry host of the model."""

    name: ids.HostId
    zone: ids.ZoneId
    groups: requests.KeyGroups
    coordinator: requests.Coordinator
    is_up: bool = True
    is_leaving: bool = False
    frozen_until: float = 0.0
    held: list[Event] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Upstream:
    """A fake upstream with a log of what it ran."""

    name: ids.UpstreamId
    zone: ids.ZoneId
    is_up: bool = True
    is_shedding: bool = False
    run_s: float = RUN_S
    started: dict[requests.ClaimId, float] = dataclasses.field(
        default_factory=dict
    )
    fenced: set[requests.ClaimId] = dataclasses.field(default_factory=set)


def answer_to(key: ids.RequestKey) -> bytes:
    """Return the one right answer to ``key``."""
    return b"ran " + key


def make_roster(epoch: int, zones: list[int]) -> requests.Roster:
    """Return a roster of hosts ``h0``... in the given zones."""
    return requests.Roster(
        epoch,
        tuple(
            (ids.HostId(f"h{i}"), ids.ZoneId(f"z{zone}"))
            for i, zone in enumerate(zones)
        ),
    )
