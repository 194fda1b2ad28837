"""Event loop, signals, clock and settings reload for small processes.

Loads fewer modules than :mod:`foxtailworks.daemon`, which adds a command
line and validated settings files.

Example::

    async def main(stop: asyncio.Event) -> None:
        async with service.ticking(core.on_tick, 0.05, service.clock, stop):
            await stop.wait()

    sys.exit(service.run(main))
"""

from foxtailworks.service._service import clock
from foxtailworks.service._service import EXIT_FAULT
from foxtailworks.service._service import reload_on_change
from foxtailworks.service._service import run
from foxtailworks.service._service import run_periodically
from foxtailworks.service._settings_file import load_settings
from foxtailworks.service._settings_file import settings_path
from foxtailworks.service._settings_file import warn_missing
from foxtailworks.service._settings_file import warn_unknown

__all__ = [
    "EXIT_FAULT",
    "clock",
    "load_settings",
    "reload_on_change",
    "run",
    "run_periodically",
    "settings_path",
    "warn_missing",
    "warn_unknown",
]
