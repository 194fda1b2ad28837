"""Runs a process on one event loop until SIGTERM or SIGINT."""

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
"""Seconds between checks whether the settings file has changed."""

Main: typing.TypeAlias = abc.Callable[
    [asyncio.Event], abc.Coroutine[typing.Any, typing.Any, None]
]

_EVENTS = logs.Events("service")


def clock() -> float:
    """Return monotonic seconds that include the time a machine is suspended.

    ``CLOCK_MONOTONIC`` excludes that time, so that a lease would seem valid
    after its end; the wall clock may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(main: Main, log_level: str = "info") -> int:
    """Run ``main`` to its end and return the exit code of the process.

    SIGHUP is ignored except within :func:`reload_on_change`.  It means that
    the settings have changed; its default action would end the process.

    :param main: called with an event that SIGTERM and SIGINT set
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
    """Run ``main`` with an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await main(stop)


@contextlib.asynccontextmanager
async def run_periodically(
    on_tick: abc.Callable[[float], None],
    interval_s: float,
    now: abc.Callable[[], float],
    stop: asyncio.Event,
) -> abc.AsyncIterator[None]:
    """Call ``on_tick`` periodically; an exception in it sets ``stop``.

    :param interval_s: pause between two calls, in seconds
    :param now: the clock whose time ``on_tick`` gets
    :raises FoxtailError: when the block ends, if ``on_tick`` raised
    """
    raised: list[errors.FoxtailError] = []

    async def tick() -> None:
        while True:
            try:
                on_tick(now())
            except Exception as exc:
                # After an unexpected exception the state is undefined: stop.
                raised.append(_as_foxtail_error(exc))
                stop.set()
                return
            await asyncio.sleep(interval_s)

    task = asyncio.ensure_future(tick())
    try:
        yield
    finally:
        task.cancel()
        if raised:
            raise raised[0]


def _as_foxtail_error(exc: Exception) -> errors.FoxtailError:
    """Return ``exc``, wrapped in a ``FoxtailError`` if it is none."""
    if isinstance(exc, errors.FoxtailError):
        return exc
    return errors.FoxtailError(
        errors.Code.INTERNAL, "internal error", reason=repr(exc)
    )


@contextlib.asynccontextmanager
async def reload_on_change(
    path: pathlib.Path, reload: abc.Callable[[], None]
) -> abc.AsyncIterator[None]:
    """Call ``reload`` on SIGHUP and whenever the file at ``path`` changes.

    Also calls it once on entry: the file may have changed since it was
    read, while SIGHUP was still ignored.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    stamp = _file_stamp(path)
    reload()

    async def watch(last: tuple[int, int, int] | None) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            stamp = _file_stamp(path)
            if stamp != last:
                last = stamp
                reload()

    task = asyncio.ensure_future(watch(stamp))
    try:
        yield
    finally:
        task.cancel()
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _file_stamp(path: pathlib.Path) -> tuple[int, int, int] | None:
    """Return values that change when the file is rewritten, or None."""
    try:
        status = path.stat()
    except OSError as exc:
        _EVENTS.warning("settings_unseen", reason=exc.strerror)
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
