"""Loads settings files (JSON with comments) into frozen dataclasses.

Example::

    cfg = settings.load(path, settings.EntrySettings)
    cfg.peer_address.port
"""

from foxtailworks.settings._load import load
from foxtailworks.settings._load import parse
from foxtailworks.settings._programs import EntrySettings
from foxtailworks.settings._programs import FabricMode
from foxtailworks.settings._programs import KeeperSettings
from foxtailworks.settings._programs import LogLevel
from foxtailworks.settings._programs import OperatorSettings
from foxtailworks.settings._programs import Tls

__all__ = [
    "EntrySettings",
    "FabricMode",
    "KeeperSettings",
    "LogLevel",
    "OperatorSettings",
    "Tls",
    "load",
    "parse",
]
