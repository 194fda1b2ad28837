"""Command-line options, signals and exit codes of long-running programs.

Example::

    @app.command()
    def run(path: daemon.SettingsFile, check: daemon.Check = False) -> None:
        daemon.run(path, settings.KeeperSettings, check, serve)
"""

from foxtailworks.daemon._daemon import Check
from foxtailworks.daemon._daemon import run
from foxtailworks.daemon._daemon import SettingsFile
from foxtailworks.daemon._daemon import stop_event
from foxtailworks.daemon._daemon import Version

__all__ = ["Check", "SettingsFile", "Version", "run", "stop_event"]
