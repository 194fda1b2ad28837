"""Links to the other keepers, one in each direction."""

import asyncio
from collections import abc
import contextlib
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.keeper import _messages
from foxtailworks import links
from foxtailworks import settings

RETRY_INTERVAL_S = 0.2
LINK_TIMEOUT_S = 2.0
MAX_QUEUED = 256
MAX_PEERS = 64


class PeerLinks:
    """Dials every known keeper and sends the messages queued for it.

    A full queue drops the message: the agreement repeats lost messages.

    :param handshake: returns the first message of each link
    """

    def __init__(
        self,
        tls: settings.Tls | None,
        handshake: abc.Callable[[], _messages.Handshake],
    ) -> None:
        self._tls = tls
        self._handshake = handshake
        self._queues: dict[ids.Address, asyncio.Queue[object]] = {}
        self._tasks: dict[ids.Address, asyncio.Task[None]] = {}
        self._linked: set[ids.Address] = set()
        self._known: dict[ids.KeeperId, _messages.Handshake] = {}

    @property
    def known(self) -> typing.Mapping[ids.KeeperId, _messages.Handshake]:
        """Latest handshake of each keeper."""
        return self._known

    def find_by_address(
        self, address: ids.Address
    ) -> _messages.Handshake | None:
        """Return the handshake of the keeper at an address, or ``None``."""
        found = (h for h in self._known.values() if h.address == address)
        return next(found, None)

    def is_linked(self, address: ids.Address) -> bool:
        """Return whether the link to an address is open."""
        return address in self._linked

    def record(self, handshake: _messages.Handshake) -> None:
        """Record a keeper's handshake and dial its address.

        A new identity at an address replaces the earlier one.
        """
        for keeper, old in list(self._known.items()):
            if old.address == handshake.address:
                del self._known[keeper]
        if len(self._known) >= MAX_PEERS:
            del self._known[next(iter(self._known))]
        self._known[handshake.keeper] = handshake
        self.connect(handshake.address)

    def discard(self, handshake: _messages.Handshake) -> None:
        """Discard the handshake of an ended link unless it is replaced."""
        if self._known.get(handshake.keeper) is handshake:
            del self._known[handshake.keeper]

    def connect(self, address: ids.Address) -> None:
        """Start to dial an address unless it is dialled already."""
        if address not in self._tasks and len(self._tasks) < MAX_PEERS:
            self._queues[address] = asyncio.Queue(MAX_QUEUED)
            task = asyncio.ensure_future(self._run_link(address))
            self._tasks[address] = task

    def send(self, address: ids.Address, msg: object) -> None:
        """Queue a message if the link is open."""
        if address in self._linked:
            with contextlib.suppress(asyncio.QueueFull):
                self._queues[address].put_nowait(msg)

    async def _run_link(self, address: ids.Address) -> None:
        """Dial an address until cancelled."""
        while True:
            with contextlib.suppress(errors.FoxtailError):
                await self._send_queued(address)
            self._linked.discard(address)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send_queued(self, address: ids.Address) -> None:
        """Send queued messages until the link breaks."""
        queue = self._queues[address]
        async with links.dial(
            address, _messages.CODEC, self._tls, LINK_TIMEOUT_S
        ) as link:
            await link.send(self._handshake())
            while not queue.empty():
                queue.get_nowait()
            self._linked.add(address)
            sender = asyncio.ensure_future(_send_all(link, queue))
            try:
                # The peer sends nothing here; reading detects the end of
                # the link at once, also while there is nothing to send.
                async for _ in link:
                    pass
            finally:
                sender.cancel()

    async def close(self) -> None:
        """Close the links to all keepers."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)


async def _send_all(link: links.Link, queue: asyncio.Queue[object]) -> None:
    """Send queued messages until the link ends."""
    with contextlib.suppress(errors.FoxtailError):
        while True:
            await link.send(await queue.get())
