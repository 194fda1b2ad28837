"""Runs a coordinator on the event loop, with its socket and its ticks."""

import asyncio
from collections import abc
import contextlib
import random

from foxtailworks.coordinator import _edge_hosts
from foxtailworks.coordinator import _messages
from foxtailworks.coordinator import _program
from foxtailworks.coordinator import _settings
from foxtailworks import datagram
from foxtailworks import service
from foxtailworks import udp
from foxtailworks import warmstart

TICK_S = 0.05
"""Interval between ticks: half the heartbeat interval of the consensus."""
LEAVE_S = 0.3
"""Time for which a stopping coordinator waits for its last messages."""


@contextlib.asynccontextmanager
async def opened(
    cfg: _settings.Settings,
    read_table: _edge_hosts.ReadTable,
    clock: abc.Callable[[], float],
    rng: random.Random,
    stop: asyncio.Event,
    early: warmstart.Responder | None = None,
) -> abc.AsyncIterator[_program.Coordinator]:
    """Run a coordinator until the end of the ``async with`` block.

    :param stop: event that is set when a fault has ended the coordinator
    :param early: answered polls at the listen address until now
    """
    program = _program.Coordinator(cfg, read_table, clock, rng)
    async with datagram.open_endpoint(
        cfg.listen_address,
        _messages.CODEC,
        program.receive,
        clock,
        early.socket if early else None,
    ) as endpoint:
        program.attach(endpoint)
        program.keep_reply(early.reply_datagrams if early else ())
        for data, peer in early.take_unanswered() if early else ():
            endpoint.receive(data, udp.address_of(*peer))
        async with service.run_periodically(
            program.on_tick, TICK_S, clock, stop
        ):
            try:
                yield program
            finally:
                program.leave()
                await asyncio.sleep(LEAVE_S)
