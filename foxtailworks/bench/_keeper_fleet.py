"""Keepers and entry hosts as real processes on loopback."""

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

from foxtailworks.bench import _processes
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links
from foxtailworks import observe
from foxtailworks import wire

CODEC = wire.Codec(contracts.OPERATOR_MESSAGES)
HOST_CODEC = wire.Codec(observe.HOST_MESSAGES)
REQUEST_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0


class KeeperFleet:
    """Processes of keepers and entry hosts, each numbered from 0.

    :param folder: settings, logs and data folders
    :param keepers: number of keepers that bootstrap the group
    :param second_octet: second octet of the loopback addresses
    """

    def __init__(
        self, folder: pathlib.Path, keepers: int = 3, second_octet: int = 40
    ) -> None:
        self._folder = folder
        self._second_octet = second_octet
        self._keepers = keepers
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._links: dict[ids.Address, links.Link] = {}
        self._stack = contextlib.AsyncExitStack()
        self._request_count = 0

    def address(self, index: int) -> ids.Address:
        """Return the listen address of a keeper."""
        return ids.Address(f"127.{self._second_octet}.1.{index + 1}", 7500)

    async def start_keeper(self, index: int) -> None:
        """Start a keeper and wait until it is ready."""
        first = {
            f"keeper-{n}": str(self.address(n)) for n in range(self._keepers)
        }
        cfg = {
            "keeper": f"keeper-{index}",
            "zone": f"zone-{index}",
            "listen_address": str(self.address(index)),
            "data_folder": f"data-{index}",
            "first_keepers": first,
        }
        await self._start(f"keeper-{index}", "keeper", cfg)

    async def start_entry(self, index: int) -> None:
        """Start an entry host and wait until it is ready."""
        own = f"127.{self._second_octet}.0.{index + 1}"
        cfg = {
            "host": f"entry-{index}",
            "zone": f"zone-{index % 3}",
            "region": "region",
            "peer_address": f"{own}:7100",
            "operator_address": f"{own}:7200",
            "fabric_address": f"{own}:7300",
            "announce_address": f"{own}:7400",
            "keepers": [str(self.address(n)) for n in range(self._keepers)],
            "seeds": [f"127.{self._second_octet}.0.1:7100"],
        }
        await self._start(f"entry-{index}", "entry", cfg)

    def signal(self, index: int, signum: signal.Signals) -> None:
        """Send a signal to a running keeper."""
        self._running[f"keeper-{index}"].send_signal(signum)

    async def kill(self, index: int) -> None:
        """Kill a keeper and wait for its exit."""
        process = self._running.pop(f"keeper-{index}")
        process.kill()
        await process.wait()
        self._links.pop(self.address(index), None)

    async def kill_entry(self, index: int) -> None:
        """Kill an entry host and wait for its exit."""
        process = self._running.pop(f"entry-{index}")
        process.kill()
        await process.wait()

    async def await_hosts(self, count: int) -> None:
        """Wait until ``count`` entry hosts of the roster are reachable.

        :raises FoxtailError: ``INTERNAL`` after ``READY_TIMEOUT_S``
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            hosts = (await self.send_request(contracts.GetStatus)).hosts
            if sum(item.reachable for item in hosts) == count:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "too few entry hosts joined in time"
        )

    async def version_in_force(self, index: int) -> ids.Version:
        """Return the version that an entry host has in force."""
        target = ids.Address(f"127.{self._second_octet}.0.{index + 1}", 7200)
        async with links.dial(target, HOST_CODEC) as link:
            answer = await link.request(
                observe.StatusRequest(1), REQUEST_TIMEOUT_S
            )
        version: ids.Version = answer.in_force
        return version

    def delete_data(self, index: int) -> None:
        """Delete the data folder of a keeper that isn't running."""
        shutil.rmtree(self._folder / f"data-{index}")

    async def close(self) -> None:
        """Terminate all processes; kill those that don't exit in time."""
        with contextlib.suppress(errors.FoxtailError):
            await self._stack.aclose()
        await _processes.terminate(self._running.values(), STOP_TIMEOUT_S)

    # Requests of an operator.

    async def send_request_to(
        self,
        index: int,
        make_message: abc.Callable[..., object],
        *fields: object,
    ) -> typing.Any:
        """Send a request to one keeper and return its answer.

        :raises FoxtailError: ``LINK_LOST``
        """
        return await self._request(self.address(index), make_message, *fields)

    async def send_request(
        self,
        make_message: abc.Callable[..., object],
        *fields: object,
        time_limit_s: float = 20.0,
    ) -> typing.Any:
        """Send a request to one keeper after another until one accepts it.

        :param time_limit_s: seconds until the request is abandoned
        :raises FoxtailError: ``NO_QUORUM`` when none accepted it in time
        """
        deadline = time.monotonic() + time_limit_s
        target = self.address(0)
        index = 0
        while time.monotonic() < deadline:
            try:
                answer = await self._request(target, make_message, *fields)
                if not isinstance(answer, contracts.Refused):
                    return answer
                leader = answer.leader
            except errors.FoxtailError:
                leader = None
            index = (index + 1) % self._keepers
            target = (
                leader if leader not in (None, target) else self.address(index)
            )
            await asyncio.sleep(POLL_INTERVAL_S)
        raise errors.FoxtailError(
            errors.Code.NO_QUORUM, "no keeper accepted the request in time"
        )

    async def put(
        self, edit_id: str, customer: str, base: int, document: str
    ) -> contracts.EditAnswer:
        """Put a contract; resend it with the same edit id until answered."""
        answer = await self.send_request(
            contracts.PutContract, edit_id, customer, base, document
        )
        assert isinstance(answer, contracts.EditAnswer)
        return answer

    async def leader(self) -> int:
        """Return the index of the leading keeper."""
        answer = await self.send_request(contracts.ListKeepers)
        leader_line = next(item for item in answer.lines if item.leader)
        places = range(self._keepers + 1)
        return next(
            p for p in places if self.address(p) == leader_line.address
        )

    async def _request(
        self,
        target: ids.Address,
        make_message: abc.Callable[..., object],
        *fields: object,
    ) -> typing.Any:
        """Send one request to an address, over a link that stays open."""
        self._request_count += 1
        if target not in self._links:
            self._links[target] = await self._stack.enter_async_context(
                links.dial(target, CODEC, timeout_s=REQUEST_TIMEOUT_S)
            )
        try:
            return await self._links[target].request(
                make_message(self._request_count, *fields), REQUEST_TIMEOUT_S
            )
        except errors.FoxtailError:
            self._links.pop(target, None)
            raise

    async def _start(
        self, name: str, program: str, cfg: abc.Mapping[str, object]
    ) -> None:
        """Start a program and wait for ``event=ready`` in its log.

        :raises FoxtailError: ``INTERNAL`` after ``READY_TIMEOUT_S``
        """
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
        deadline = time.monotonic() + READY_TIMEOUT_S
        while b"event=ready" not in log.read_bytes():
            if time.monotonic() > deadline:
                raise errors.FoxtailError(
                    errors.Code.INTERNAL,
                    "program not ready in time",
                    program=name,
                )
            await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, keepers: int = 3, second_octet: int = 40
) -> abc.AsyncIterator[KeeperFleet]:
    """Yield a fleet of keepers with a leader; end all processes on exit."""
    fleet = KeeperFleet(folder, keepers, second_octet)
    try:
        await asyncio.gather(*(fleet.start_keeper(p) for p in range(keepers)))
        await fleet.leader()
        yield fleet
    finally:
        await fleet.close()
