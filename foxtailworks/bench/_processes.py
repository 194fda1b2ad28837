"""Processes of a run: started, signalled, ended by their own handles."""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import signal
import sys

READY_S = 20.0
STOP_S = 25.0
POLL_S = 0.05
READY = b"event=ready"


class Processes:
    """Starts programs of this project and ends all of them at the end.

    :param logs: folder for what they print
    """

    def __init__(self, logs: pathlib.Path) -> None:
        self._logs = logs
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self.started = 0

    def names(self, prefix: str) -> list[str]:
        """Return the names of running processes that start so."""
        return sorted(n for n in self._running if n.startswith(prefix))

    async def start(self, name: str, program: str, *args: str) -> None:
        """Start ``python -m foxtailworks.PROGRAM`` under a name."""
        with (self._logs / f"{name}.log").open("ab") as log:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"foxtailworks.{program}",
                *args,
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )
        self.started += 1

    async def ready(self, name: str, starts: int = 1) -> None:
        """Wait until a program has said that it is ready.

        :param starts: how often it was started under this name
        """
        path = self._logs / f"{name}.log"
        async with asyncio.timeout(READY_S):
            while path.read_bytes().count(READY) < starts:
                await asyncio.sleep(POLL_S)

    def tell(self, name: str, number: signal.Signals) -> None:
        """Send a signal."""
        with contextlib.suppress(ProcessLookupError):
            self._running[name].send_signal(number)

    async def end(self, name: str, number: signal.Signals) -> None:
        """Send a signal that ends a process, and wait for it."""
        process = self._running.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
        await process.wait()

    async def wait(self, name: str) -> int:
        """Wait until a process ends by itself; return its exit code."""
        return await self._running.pop(name).wait()

    async def _close(self) -> None:
        """End whatever runs."""
        for process in self._running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._running.values():
            try:
                await asyncio.wait_for(process.wait(), STOP_S)
            except TimeoutError:
                process.kill()
                await process.wait()


@contextlib.asynccontextmanager
async def running(logs: pathlib.Path) -> abc.AsyncIterator[Processes]:
    """Hold processes and end them all."""
    logs.mkdir(parents=True, exist_ok=True)
    processes = Processes(logs)
    try:
        yield processes
    finally:
        await processes._close()
