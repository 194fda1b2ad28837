"""Real keepers, and entry hosts, as processes on loopback."""

import asyncio
from collections import abc
import contextlib
import json
import os
import pathlib
import shutil
import signal
import sys
import time
import typing

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links
from foxtailworks import observe
from foxtailworks import wire

CODEC = wire.Codec(contracts.OPERATOR_MESSAGES)
HOST_CODEC = wire.Codec(observe.HOST_MESSAGES)
ASK_TIMEOUT_S = 2.0
PAUSE_S = 0.02
READY_S = 20.0
STOP_S = 5.0


class KeeperFleet:
    """Starts and ends processes; each has a place, from 0.

    :param folder: settings, logs and data folders
    :param net: third number of the loopback addresses
    """

    def __init__(
        self, folder: pathlib.Path, keepers: int = 3, net: int = 40
    ) -> None:
        self._folder = folder
        self._net = net
        self._keepers = keepers
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._links: dict[ids.Address, links.Link] = {}
        self._stack = contextlib.AsyncExitStack()
        self._ask = 0

    def address(self, place: int) -> ids.Address:
        """Return where a keeper listens."""
        return ids.Address(f"127.{self._net}.1.{place + 1}", 7500)

    async def start_keeper(self, place: int) -> None:
        """Start a keeper and wait until it is ready."""
        first = {
            f"keeper-{n}": str(self.address(n)) for n in range(self._keepers)
        }
        cfg = {
            "keeper": f"keeper-{place}",
            "zone": f"zone-{place}",
            "listen_address": str(self.address(place)),
            "data_folder": f"data-{place}",
            "first_keepers": first,
        }
        await self._start(f"keeper-{place}", "keeper", cfg)

    async def start_entry(self, place: int) -> None:
        """Start an entry host and wait until it is ready."""
        own = f"127.{self._net}.0.{place + 1}"
        cfg = {
            "host": f"entry-{place}",
            "zone": f"zone-{place % 3}",
            "region": "region",
            "peer_address": f"{own}:7100",
            "operator_address": f"{own}:7200",
            "fabric_address": f"{own}:7300",
            "announce_address": f"{own}:7400",
            "keepers": [str(self.address(n)) for n in range(self._keepers)],
            "seeds": [f"127.{self._net}.0.1:7100"],
        }
        await self._start(f"entry-{place}", "entry", cfg)

    def signal(self, place: int, number: signal.Signals) -> None:
        """Send a signal to a keeper."""
        self._running[f"keeper-{place}"].send_signal(number)

    async def kill(self, place: int) -> None:
        """End a keeper at once."""
        process = self._running.pop(f"keeper-{place}")
        process.kill()
        await process.wait()
        self._links.pop(self.address(place), None)

    async def kill_entry(self, place: int) -> None:
        """End an entry host at once."""
        process = self._running.pop(f"entry-{place}")
        process.kill()
        await process.wait()

    async def await_hosts(self, count: int) -> None:
        """Wait until so many entry hosts are in the roster and report."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            hosts = (await self.ask(contracts.GetStatus)).hosts
            if sum(item.reachable for item in hosts) == count:
                return
            await asyncio.sleep(PAUSE_S)
        raise errors.FoxtailError(errors.Code.INTERNAL, "hosts didn't join")

    async def in_force(self, place: int) -> ids.Version:
        """Ask an entry host what it has in force."""
        at = ids.Address(f"127.{self._net}.0.{place + 1}", 7200)
        async with links.dial(at, HOST_CODEC) as link:
            answer = await link.request(
                observe.StatusRequest(1), ASK_TIMEOUT_S
            )
        found: ids.Version = answer.in_force
        return found

    def wipe(self, place: int) -> None:
        """Lose the disk of a keeper that isn't running."""
        shutil.rmtree(self._folder / f"data-{place}")

    async def close(self) -> None:
        """End all processes that were started here."""
        with contextlib.suppress(errors.FoxtailError):
            await self._stack.aclose()
        for process in self._running.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self._running.values():
            try:
                await asyncio.wait_for(process.wait(), STOP_S)
            except TimeoutError:
                process.kill()
                await process.wait()

    # Questions of an operator.

    async def ask_at(
        self, place: int, kind: abc.Callable[..., object], *fields: object
    ) -> typing.Any:
        """Ask one keeper.

        :raises FoxtailError: ``LINK_LOST``
        """
        return await self._request(self.address(place), kind, *fields)

    async def ask(
        self,
        kind: abc.Callable[..., object],
        *fields: object,
        patience_s: float = 20.0,
    ) -> typing.Any:
        """Ask one keeper after another until one answers.

        :raises FoxtailError: ``NO_QUORUM`` when none did in time
        """
        until = time.monotonic() + patience_s
        at = self.address(0)
        place = 0
        while time.monotonic() < until:
            try:
                answer = await self._request(at, kind, *fields)
                if not isinstance(answer, contracts.Refused):
                    return answer
                leader = answer.leader
            except errors.FoxtailError:
                leader = None
            place = (place + 1) % self._keepers
            at = leader if leader not in (None, at) else self.address(place)
            await asyncio.sleep(PAUSE_S)
        raise errors.FoxtailError(errors.Code.NO_QUORUM, "no keeper answered")

    async def put(
        self, edit_id: str, customer: str, base: int, document: str
    ) -> contracts.EditAnswer:
        """Put a contract; resent with the same edit id until answered."""
        answer = await self.ask(
            contracts.PutContract, edit_id, customer, base, document
        )
        assert isinstance(answer, contracts.EditAnswer)
        return answer

    async def leader(self) -> int:
        """Return the place of the leader."""
        answer = await self.ask(contracts.ListKeepers)
        lead = next(item for item in answer.lines if item.leader)
        places = range(self._keepers + 1)
        return next(p for p in places if self.address(p) == lead.address)

    async def _request(
        self,
        at: ids.Address,
        kind: abc.Callable[..., object],
        *fields: object,
    ) -> typing.Any:
        """Ask at an address."""
        self._ask += 1
        if at not in self._links:
            self._links[at] = await self._stack.enter_async_context(
                links.dial(at, CODEC, timeout_s=ASK_TIMEOUT_S)
            )
        try:
            return await self._links[at].request(
                kind(self._ask, *fields), ASK_TIMEOUT_S
            )
        except errors.FoxtailError:
            self._links.pop(at, None)
            raise

    async def _start(
        self, name: str, program: str, cfg: abc.Mapping[str, object]
    ) -> None:
        """Start a program and wait for its line ``event=ready``."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(dict(cfg)))
        log = self._folder / f"{name}.log"
        with open(log, "wb") as file:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"foxtailworks.{program}",
                "--settings",
                str(path),
                stderr=file,
                env=dict(os.environ),
            )
        until = time.monotonic() + READY_S
        while b"event=ready" not in log.read_bytes():
            if time.monotonic() > until:
                raise errors.FoxtailError(
                    errors.Code.INTERNAL, "not ready in time", program=name
                )
            await asyncio.sleep(PAUSE_S)


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, keepers: int = 3, net: int = 40
) -> abc.AsyncIterator[KeeperFleet]:
    """Run keepers; end all processes afterwards."""
    fleet = KeeperFleet(folder, keepers, net)
    try:
        await asyncio.gather(*(fleet.start_keeper(p) for p in range(keepers)))
        await fleet.leader()
        yield fleet
    finally:
        await fleet.close()
