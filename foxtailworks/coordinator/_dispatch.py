"""Passes each message that a coordinator receives to its handler."""

import functools
import typing

from foxtailworks.coordinator import _messages
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import polling

_EVENTS = logs.Events("coordinator")


class Handler(typing.Protocol):
    """Handles the messages of coordinators and edge hosts."""

    def on_presence(self, msg: _messages.Presence) -> None:
        """Handle another coordinator's announcement."""

    def on_consensus_message(self, msg: _messages.ConsensusMessage) -> None:
        """Handle a consensus message."""

    def on_heartbeats(self, msg: _messages.Heartbeats) -> None:
        """Handle relayed heartbeats."""

    def on_poll(self, msg: polling.Poll, src: ids.Address) -> None:
        """Handle an edge host's poll."""

    def on_part_request(
        self, msg: polling.PartRequest, src: ids.Address
    ) -> None:
        """Handle an edge host's request for parts of a large answer."""

    def on_load(
        self, msg: polling.LoadReport | _messages.LoadSum, src: ids.Address
    ) -> None:
        """Handle the load that a host or a coordinator reports."""


@functools.singledispatch
def dispatch(msg: object, handler: Handler, src: ids.Address) -> None:
    """Pass a message to the handler's method for its type."""
    _EVENTS.warning("message_unexpected", kind=type(msg).__name__)


@dispatch.register
def _(msg: _messages.Presence, handler: Handler, src: ids.Address) -> None:
    handler.on_presence(msg)


@dispatch.register
def _(
    msg: _messages.ConsensusMessage, handler: Handler, src: ids.Address
) -> None:
    handler.on_consensus_message(msg)


@dispatch.register
def _(msg: _messages.Heartbeats, handler: Handler, src: ids.Address) -> None:
    handler.on_heartbeats(msg)


@dispatch.register
def _(msg: polling.Poll, handler: Handler, src: ids.Address) -> None:
    handler.on_poll(msg, src)


@dispatch.register
def _(msg: polling.PartRequest, handler: Handler, src: ids.Address) -> None:
    handler.on_part_request(msg, src)


@dispatch.register(polling.LoadReport)
@dispatch.register(_messages.LoadSum)
def _(
    msg: polling.LoadReport | _messages.LoadSum,
    handler: Handler,
    src: ids.Address,
) -> None:
    handler.on_load(msg, src)
