"""Links to the other keepers: one each way."""

import asyncio
from collections import abc
import contextlib
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.keeper import _messages
from foxtailworks import links
from foxtailworks import settings

RETRY_S = 0.2
LINK_TIMEOUT_S = 2.0
MAX_QUEUED = 256
MAX_KNOWN = 64


class PeerLinks:
    """Dials every known keeper and sends what is queued for it.

    A queue that is full drops the message: agreement repeats what matters.

    :param hello: returns this keeper's first message
    """

    def __init__(
        self,
        tls: settings.Tls | None,
        hello: abc.Callable[[], _messages.Hello],
    ) -> None:
        self._tls = tls
        self._hello = hello
        self._queues: dict[ids.Address, asyncio.Queue[object]] = {}
        self._tasks: dict[ids.Address, asyncio.Task[None]] = {}
        self._linked: set[ids.Address] = set()
        self._known: dict[ids.KeeperId, _messages.Hello] = {}

    @property
    def known(self) -> typing.Mapping[ids.KeeperId, _messages.Hello]:
        """What each keeper said of itself last."""
        return self._known

    def at(self, address: ids.Address) -> _messages.Hello | None:
        """Return what the keeper at an address said of itself."""
        found = (h for h in self._known.values() if h.address == address)
        return next(found, None)

    def is_linked(self, address: ids.Address) -> bool:
        """Tell whether the link to a keeper is open."""
        return address in self._linked

    def learn(self, hello: _messages.Hello) -> None:
        """Take in what a keeper says of itself.

        A new identity at an address ends the one that lived there.
        """
        for keeper, old in list(self._known.items()):
            if old.address == hello.address:
                del self._known[keeper]
        if len(self._known) >= MAX_KNOWN:
            del self._known[next(iter(self._known))]
        self._known[hello.keeper] = hello
        self.open(hello.address)

    def forget(self, hello: _messages.Hello) -> None:
        """Forget what was said on a link that ended, unless said anew."""
        if self._known.get(hello.keeper) is hello:
            del self._known[hello.keeper]

    def open(self, address: ids.Address) -> None:
        """Begin to dial an address, once."""
        if address not in self._tasks and len(self._tasks) < MAX_KNOWN:
            self._queues[address] = asyncio.Queue(MAX_QUEUED)
            task = asyncio.ensure_future(self._keep_linked(address))
            self._tasks[address] = task

    def send(self, address: ids.Address, msg: object) -> None:
        """Queue a message while the link is open."""
        if address in self._linked:
            with contextlib.suppress(asyncio.QueueFull):
                self._queues[address].put_nowait(msg)

    async def _keep_linked(self, address: ids.Address) -> None:
        """Dial again and again."""
        while True:
            with contextlib.suppress(errors.FoxtailError):
                await self._feed(address)
            self._linked.discard(address)
            await asyncio.sleep(RETRY_S)

    async def _feed(self, address: ids.Address) -> None:
        """Send what is queued until the link breaks."""
        queue = self._queues[address]
        async with links.dial(
            address, _messages.CODEC, self._tls, LINK_TIMEOUT_S
        ) as link:
            await link.send(self._hello())
            while not queue.empty():
                queue.get_nowait()
            self._linked.add(address)
            sender = asyncio.ensure_future(_send_all(link, queue))
            try:
                # Nothing comes back; reading notices the end at once, also
                # while there is nothing to send.
                async for _ in link:
                    pass
            finally:
                sender.cancel()

    async def close(self) -> None:
        """End all links."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)


async def _send_all(link: links.Link, queue: asyncio.Queue[object]) -> None:
    """Send what is queued until the link ends."""
    with contextlib.suppress(errors.FoxtailError):
        while True:
            await link.send(await queue.get())
