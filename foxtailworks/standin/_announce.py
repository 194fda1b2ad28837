"""Registers an upstream with any entry host (RFC 9176, simple form)."""

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
    """Registers an upstream and renews the registration.

    :param registration: what is announced, but for sequence, state and load
    :param entries: announce addresses of the entry hosts
    :param load: returns the current load of the upstream
    :param rng: shuffles the entry hosts
    """

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
        self._confirmation: asyncio.Future[None] | None = None
        self.port: udp.Socket | None = None
        self.state = coap.AnnouncedState.READY

    def receive(self, data: bytes, addr: ids.Address) -> None:
        """Handle a datagram; a valid one confirms the registration."""
        with contextlib.suppress(errors.FoxtailError):
            answer = coap.read_answer(data)
            fut = self._confirmation
            is_current = answer.message_id == self._sequence % MESSAGE_IDS
            if is_current and fut is not None and not fut.done():
                fut.set_result(None)

    async def announce(self) -> bool:
        """Register with entry hosts in turn until one confirms.

        :return: whether one confirmed
        """
        entries = list(self._entries)
        self._rng.shuffle(entries)
        for entry in entries:
            if await self._announce_to(entry):
                return True
        return False

    async def _announce_to(self, entry: ids.Address) -> bool:
        """Register with one entry host; return whether it confirmed."""
        self._sequence += 1
        is_leaving = self.state is coap.AnnouncedState.GONE
        item = self._registration.with_changes(
            sequence=self._sequence,
            state=self.state,
            load=self._load(),
            lifetime_s=0 if is_leaving else self._registration.lifetime_s,
        )
        data = coap.write_registration(item, self._sequence % MESSAGE_IDS)
        self._confirmation = asyncio.get_running_loop().create_future()
        assert self.port is not None
        self.port.send(data, entry)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._confirmation, ANSWER_TIMEOUT_S)
            return True
        return False

    async def run(self) -> None:
        """Renew the registration until cancelled."""
        while True:
            confirmed = await self.announce()
            pause_s = self._registration.lifetime_s / 3 if confirmed else 0.2
            await asyncio.sleep(pause_s)
