"""Messages between keepers and entry hosts."""

import dataclasses

from foxtailworks.contracts import _view
from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """An entry host asks to be kept up to date, and joins the roster."""

    host: ids.HostId
    """Name from its settings."""
    zone: ids.ZoneId
    """Its availability zone."""
    address: ids.Address
    """Where the other entry hosts reach it."""
    have_version: ids.Version
    """Version in force on the host; 0 after a restart."""
    incarnation: ids.Incarnation = ids.Incarnation(0)
    """Of the host's process."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A host reports what it has in force; may be passed on by others."""

    host: ids.HostId
    """Which host."""
    version: ids.Version
    """Version in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForceReports:
    """Reports of several hosts in one message."""

    reports: tuple[InForce, ...]
    """Newest of each host."""


ENTRY_MESSAGES: dict[int, type] = {
    70: Subscribe,
    71: _view.Update,
    72: InForce,
    73: InForceReports,
}
