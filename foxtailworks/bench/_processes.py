"""Start, signal and end the processes of a run by their own handles."""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import signal
import sys

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.05
READY_MARKER = b"event=ready"


class Processes:
    """Running programs of this project, by name.

    :param logs: folder for the output of each program
    """

    def __init__(self, logs: pathlib.Path) -> None:
        self._logs = logs
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self.started_count = 0

    def running_names(self, prefix: str) -> list[str]:
        """Return the sorted names of running processes with a prefix."""
        return sorted(n for n in self._running if n.startswith(prefix))

    async def start(self, name: str, program: str, *args: str) -> None:
        """Start ``python -m foxtailworks.PROGRAM`` under a name.

        The output is appended to the log file of that name.
        """
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
        self.started_count += 1

    async def wait_until_ready(self, name: str, start_count: int = 1) -> None:
        """Wait until the log of a program shows that it is ready.

        :param start_count: number of starts under this name so far
        :raises TimeoutError: not ready within ``READY_TIMEOUT_S``
        """
        path = self._logs / f"{name}.log"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while path.read_bytes().count(READY_MARKER) < start_count:
                await asyncio.sleep(POLL_INTERVAL_S)

    def signal_process(self, name: str, signum: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._running[name].send_signal(signum)

    async def end(self, name: str, signum: signal.Signals) -> None:
        """Send a signal that ends a process, and wait for its exit."""
        process = self._running.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signum)
        await process.wait()

    async def wait(self, name: str) -> int:
        """Wait until a process exits by itself and return its exit code."""
        return await self._running.pop(name).wait()

    async def _close(self) -> None:
        """Terminate all running processes; kill those that don't exit."""
        await terminate(self._running.values(), STOP_TIMEOUT_S)


async def terminate(
    processes: abc.Collection[asyncio.subprocess.Process], timeout_s: float
) -> None:
    """Terminate processes; kill those that don't exit within a timeout."""
    for process in processes:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.terminate()
    for process in processes:
        try:
            await asyncio.wait_for(process.wait(), timeout_s)
        except TimeoutError:
            process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def running(logs: pathlib.Path) -> abc.AsyncIterator[Processes]:
    """Yield an empty set of processes and end all of them on exit."""
    logs.mkdir(parents=True, exist_ok=True)
    processes = Processes(logs)
    try:
        yield processes
    finally:
        await processes._close()
