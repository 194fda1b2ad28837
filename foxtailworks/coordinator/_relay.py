"""Relay of heartbeats among coordinators.

Designed for 3,900 upstreams with a heartbeat each 1.2 s and up to 9
coordinators.  Changes are relayed whole and at once.  The other heartbeats
are listed once a second: a list has a token and an age for each instance that
the coordinator heard itself, and extends their leases.  A token stands for
the state as well, so a receiver that missed a change doesn't know it and
requests the instance.
"""

from collections import abc
import functools
import struct
import typing

from foxtailworks.coordinator import _messages
from foxtailworks.coordinator import _peers
from foxtailworks import discovery
from foxtailworks import ids

LIST_FORM = 1
"""Form of the lists; a change of their entries or of the tokens needs another
one."""
RELAY_INTERVAL_S = 0.1
"""Interval in which heartbeats are collected before they are relayed."""
LIST_ENTRIES = 100
"""Most entries of a list, which then fits into one datagram, so that a lost
datagram loses no other entries."""

_ENTRY = struct.Struct("!QH")
# Token, age in ms.
_TOKEN = struct.Struct("!Q")
_MAX_AGE_MS = 0xFFFF

Received: typing.TypeAlias = (
    _messages.Heartbeats | _messages.HeartbeatList | _messages.HeartbeatRequest
)
Due: typing.TypeAlias = tuple[
    _messages.Heartbeats | _messages.HeartbeatList, abc.Set[ids.Address]
]
"""A message, and the coordinators that get it."""


class Relay:
    """Decides what is sent to the other coordinators about heartbeats.

    :param registry: heartbeats received by this coordinator
    :param peers: the other coordinators
    """

    def __init__(
        self, registry: discovery.Registry, peers: _peers.Peers, now: float
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._next_relay_at = self._next_list_at = now

    def take_due(self, now: float) -> abc.Iterator[Due]:
        """Yield the messages that are due at ``now``."""
        if now < self._next_relay_at:
            return
        self._next_relay_at = now + RELAY_INTERVAL_S
        unshared = self._registry.take_unshared(now)
        reading_lists = self._peers.reading_lists(LIST_FORM)
        others = frozenset(self._peers.addresses()) - reading_lists
        if unshared.changes and reading_lists:
            yield _messages.Heartbeats(unshared.changes), reading_lists
        heartbeats = unshared.changes + unshared.others
        if heartbeats and others:
            yield _messages.Heartbeats(heartbeats), others
        if now >= self._next_list_at:
            self._next_list_at = now + discovery.LIST_INTERVAL_S
            if reading_lists:
                for msg in _lists(self._registry.heard(now)):
                    yield msg, reading_lists

    def on_message(
        self, msg: Received, now: float
    ) -> _messages.Heartbeats | _messages.HeartbeatRequest | None:
        """Process a message; return the answer for its sender, if any."""
        return _process(msg, self._registry, now)


@functools.singledispatch
def _process(
    msg: Received, registry: discovery.Registry, now: float
) -> _messages.Heartbeats | _messages.HeartbeatRequest | None:
    """Process a message by its type; return the answer, if any."""
    raise TypeError(type(msg).__name__)


@_process.register
def _(
    msg: _messages.Heartbeats, registry: discovery.Registry, now: float
) -> None:
    registry.merge(msg.heartbeats, now)


@_process.register
def _(
    msg: _messages.HeartbeatList, registry: discovery.Registry, now: float
) -> _messages.HeartbeatRequest | None:
    unknown = registry.renew(_read_list(msg), now)
    if not unknown:
        return None
    tokens = b"".join(_TOKEN.pack(token) for token in unknown)
    return _messages.HeartbeatRequest(tokens)


@_process.register
def _(
    msg: _messages.HeartbeatRequest, registry: discovery.Registry, now: float
) -> _messages.Heartbeats | None:
    data = _whole_entries(msg.tokens, _TOKEN)
    tokens = (
        discovery.ContentToken(token) for (token,) in _TOKEN.iter_unpack(data)
    )
    heartbeats = registry.with_tokens(tokens, now)
    return _messages.Heartbeats(heartbeats) if heartbeats else None


def _lists(
    heard: tuple[discovery.HeardInstance, ...],
) -> abc.Iterator[_messages.HeartbeatList]:
    """Yield the messages that list instances."""
    for start in range(0, len(heard), LIST_ENTRIES):
        yield _messages.HeartbeatList(
            b"".join(
                _ENTRY.pack(item.token, min(item.age_ms, _MAX_AGE_MS))
                for item in heard[start : start + LIST_ENTRIES]
            )
        )


def _read_list(
    msg: _messages.HeartbeatList,
) -> abc.Iterator[discovery.HeardInstance]:
    """Yield the entries of a list."""
    data = _whole_entries(msg.entries, _ENTRY)
    for token, age_ms in _ENTRY.iter_unpack(data):
        yield discovery.HeardInstance(discovery.ContentToken(token), age_ms)


def _whole_entries(data: bytes, entry: struct.Struct) -> bytes:
    """Return the first ``LIST_ENTRIES`` entries, without an incomplete one."""
    count = min(len(data) // entry.size, LIST_ENTRIES)
    return data[: count * entry.size]
