"""One loop on one thread until SIGTERM."""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import signal
import sys
import time
import typing

import uvloop

from foxtailworks import errors
from foxtailworks import logs

EXIT_FAULT = 1
WATCH_S = 1.0
"""A settings file is looked at so often: it may change without a signal."""

Main: typing.TypeAlias = abc.Callable[
    [asyncio.Event], abc.Coroutine[typing.Any, typing.Any, None]
]

_EVENTS = logs.Events("service")


def clock() -> float:
    """Return steady seconds that also pass while the machine sleeps.

    The monotonic clock leaves such time out, so that a lease would seem to
    run after it has ended; the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(main: Main, log_level: str = "info") -> int:
    """Run ``main`` until it ends; return the exit code.

    SIGHUP is ignored except within :func:`reload_on_change`.  It means that
    the settings have changed; its default action would end the process.

    :param main: gets the event that SIGTERM and SIGINT set
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with logs.logging_to(logs.Pipe(sys.stdout), log_level):
        _EVENTS.info("started", pid=os.getpid())
        try:
            uvloop.run(_with_signals(main))
        except errors.FoxtailError as exc:
            _EVENTS.failed("ended_by_fault", exc)
            return EXIT_FAULT
        _EVENTS.info("stopped")
    return 0


async def _with_signals(main: Main) -> None:
    """Run ``main`` with an event that signals set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for item in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(item, stop.set)
    await main(stop)


@contextlib.asynccontextmanager
async def run_periodically(
    on_tick: abc.Callable[[float], None],
    interval_s: float,
    now: abc.Callable[[], float],
    stop: asyncio.Event,
) -> abc.AsyncIterator[None]:
    """Call ``on_tick`` again and again; a fault in it sets ``stop``.

    :raises FoxtailError: at the end of the block, what ``on_tick`` raised
    """
    failed: list[errors.FoxtailError] = []

    async def tick() -> None:
        while True:
            try:
                on_tick(now())
            except Exception as exc:
                # Any fault ends the program: its state isn't known then.
                failed.append(_as_fault(exc))
                stop.set()
                return
            await asyncio.sleep(interval_s)

    task = asyncio.ensure_future(tick())
    try:
        yield
    finally:
        task.cancel()
        if failed:
            raise failed[0]


def _as_fault(exc: Exception) -> errors.FoxtailError:
    """Return a numbered error for any exception."""
    if isinstance(exc, errors.FoxtailError):
        return exc
    return errors.FoxtailError(
        errors.Code.INTERNAL, "a fault of the program", reason=repr(exc)
    )


@contextlib.asynccontextmanager
async def reload_on_change(
    path: pathlib.Path, reload: abc.Callable[[], None]
) -> abc.AsyncIterator[None]:
    """Call ``reload`` at SIGHUP and when the file has changed.

    It is called once at the beginning, too: the file may have changed since
    it was read, and the signal that said so wasn't heard.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    mark = _mark(path)
    reload()

    async def watch(last: tuple[int, int, int] | None) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            mark = _mark(path)
            if mark != last:
                last = mark
                reload()

    task = asyncio.ensure_future(watch(mark))
    try:
        yield
    finally:
        task.cancel()
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _mark(path: pathlib.Path) -> tuple[int, int, int] | None:
    """Return what differs once a file has been written anew."""
    try:
        found = path.stat()
    except OSError as exc:
        _EVENTS.warning("settings_unseen", reason=exc.strerror)
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino
