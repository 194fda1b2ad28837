"""Subscription to the keepers for contracts and the roster."""

import asyncio
from collections import abc
import random

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links
from foxtailworks import membership
from foxtailworks import observe
from foxtailworks import settings
from foxtailworks import wire

RETRY_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 2.0
LINK_TIMEOUT_S = 3.0

_EVENTS = observe.Events("contracts")
_CODEC = wire.Codec(contracts.ENTRY_MESSAGES)


class Subscription:
    """Keeps the contracts and the roster up to date.

    :param on_update: called with each update; applies it if it is new
    """

    def __init__(
        self,
        cfg: settings.EntrySettings,
        me: membership.Host,
        view: contracts.View,
        rng: random.Random,
        on_update: abc.Callable[[contracts.Update], None],
    ) -> None:
        self._cfg = cfg
        self._me = me
        self._view = view
        self._rng = rng
        self._on_update = on_update

    async def run(self) -> None:
        """Subscribe to the keepers in random order until cancelled."""
        while True:
            for keeper in self._rng.sample(
                self._cfg.keepers, len(self._cfg.keepers)
            ):
                try:
                    await self._receive_updates(keeper)
                except errors.FoxtailError as exc:
                    _EVENTS.failed("subscription_ended", exc)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _receive_updates(self, keeper: ids.Address) -> None:
        """Receive updates from one keeper until the link ends."""
        async with links.dial(
            keeper, _CODEC, self._cfg.tls, LINK_TIMEOUT_S
        ) as link:
            await self._subscribe(link)
            reports = asyncio.ensure_future(self._report(link))
            try:
                async for msg in link:
                    await self._on_message(link, msg)
            finally:
                reports.cancel()

    async def _subscribe(self, link: links.Link) -> None:
        """Request all updates after the version in force."""
        await link.send(
            contracts.Subscribe(
                self._me.id,
                self._me.zone,
                self._me.address,
                self._view.version,
                self._me.incarnation,
            )
        )

    async def _report(self, link: links.Link) -> None:
        """Report the version in force at regular intervals."""
        while True:
            await link.send(contracts.InForce(self._me.id, self._view.version))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _on_message(self, link: links.Link, msg: object) -> None:
        """Apply an update, or subscribe again after a gap."""
        if not isinstance(msg, contracts.Update):
            return
        before = self._view.version
        self._on_update(msg)
        if self._view.version >= msg.version:
            await link.send(contracts.InForce(self._me.id, self._view.version))
        elif msg.since > before:
            await self._subscribe(link)
