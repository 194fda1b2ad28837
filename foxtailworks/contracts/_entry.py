"""Messages between keepers and entry hosts."""

import dataclasses

from foxtailworks.contracts import _view
from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """An entry host's request to receive updates and to join the roster."""

    host: ids.HostId
    """Name from its settings."""
    zone: ids.ZoneId
    """Its availability zone."""
    address: ids.Address
    """Address at which the other entry hosts reach it."""
    have_version: ids.Version
    """Version in force on the host; 0 after a restart."""
    incarnation: ids.Incarnation = ids.Incarnation(0)
    """Incarnation of the host's process."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A host's report of its version in force; may be relayed by others."""

    host: ids.HostId
    """Host that has the version."""
    version: ids.Version
    """Version in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForceReports:
    """Reports of several hosts in one message."""

    reports: tuple[InForce, ...]
    """Newest report of each host."""


ENTRY_MESSAGES: dict[int, type] = {
    70: Subscribe,
    71: _view.Update,
    72: InForce,
    73: InForceReports,
}
