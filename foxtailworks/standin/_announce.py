"""An upstream's registration with any entry host (RFC 9176, simple form)."""

import asyncio
import contextlib
import random
import typing

from foxtailworks import coap
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import udp

ANSWER_TIMEOUT_S = 0.5
MESSAGE_IDS = 1 << 16


class Announcer:
    """Registers, and renews, with one entry host after another."""

    def __init__(
        self,
        registration: coap.Registration,
        entries: tuple[ids.Address, ...],
        load: typing.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._registration = registration
        self._entries = entries
        self._load = load
        self._rng = rng
        self._sequence = 0
        self._answered: asyncio.Future[None] | None = None
        self.port: udp.Socket | None = None
        self.state = coap.AnnouncedState.READY

    def take(self, data: bytes, addr: ids.Address) -> None:
        """Take the entry host's confirmation."""
        with contextlib.suppress(errors.FoxtailError):
            answer = coap.read_answer(data)
            fut = self._answered
            mine = answer.message_id == self._sequence % MESSAGE_IDS
            if mine and fut is not None and not fut.done():
                fut.set_result(None)

    async def announce(self) -> bool:
        """Tell one entry host after another until one confirms."""
        entries = list(self._entries)
        self._rng.shuffle(entries)
        for entry in entries:
            if await self._announce_to(entry):
                return True
        return False

    async def _announce_to(self, entry: ids.Address) -> bool:
        """Tell one entry host; say whether it confirmed."""
        self._sequence += 1
        gone = self.state is coap.AnnouncedState.GONE
        item = self._registration.with_changes(
            sequence=self._sequence,
            state=self.state,
            load=self._load(),
            lifetime_s=0 if gone else self._registration.lifetime_s,
        )
        data = coap.write_registration(item, self._sequence % MESSAGE_IDS)
        self._answered = asyncio.get_running_loop().create_future()
        assert self.port is not None
        self.port.send(data, entry)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._answered, ANSWER_TIMEOUT_S)
            return True
        return False

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            confirmed = await self.announce()
            pause = self._registration.lifetime_s / 3 if confirmed else 0.2
            await asyncio.sleep(pause)
