"""What the commands bring, before it is shown."""

import dataclasses

from foxtailworks import contracts
from foxtailworks.ctl import _entries
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe


@dataclasses.dataclass(frozen=True)
class EditReport:
    """An edit whose outcome is known."""

    edit_id: ids.EditId
    """Resending it gives the same outcome."""
    customer: ids.CustomerId
    """Whose contract it is."""
    version: ids.Version
    """New version."""
    in_force: contracts.InForceAnswer | None = None
    """Where it is not in force; None when that wasn't asked."""


@dataclasses.dataclass(frozen=True)
class DiffReport:
    """How two texts of a contract differ."""

    customer: ids.CustomerId
    """Whose contract it is."""
    older: str
    """Name of the first text."""
    newer: str
    """Name of the second text."""
    lines: tuple[str, ...]
    """Unified diff; empty when the texts are the same."""


@dataclasses.dataclass(frozen=True)
class StatusReport:
    """What the keepers and the entry hosts say."""

    keepers: contracts.StatusAnswer | None
    """The leader's view; None when no keeper answered."""
    hosts: tuple[observe.HostStatus, ...]
    """What each entry host says of itself."""
    unreached: tuple[_entries.Unreached, ...]
    """Who gave no answer."""
    keepers_error: str | None = None
    """Why no keeper answered."""


@dataclasses.dataclass(frozen=True)
class HistogramReport:
    """Histograms merged over the hosts that answered."""

    snapshots: tuple[observe.HistogramSnapshot, ...]
    """One for each customer, service and priority class."""
    hosts: int
    """How many hosts answered."""
    unreached: tuple[_entries.Unreached, ...]
    """Who gave no answer."""


@dataclasses.dataclass(frozen=True)
class DrainReport:
    """Which hosts give an upstream no new work."""

    upstream: ids.UpstreamId
    """Which upstream."""
    confirmed: int
    """How many hosts confirmed."""
    flows: int
    """Open flows on it, over the hosts that confirmed."""
    unreached: tuple[_entries.Unreached, ...]
    """Who gave no answer."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """A command that ended with a numbered error."""

    code: int
    """Number in docs/ERRORS.md."""
    result: str
    """Name of the number."""
    detail: str
    """What happened."""
    context: dict[str, str]
    """Names and values that help."""

    @classmethod
    def of(cls, exc: errors.FoxtailError) -> "Failed":
        """Return what a script is shown of an error."""
        context = {name: str(value) for name, value in exc.context.items()}
        return cls(exc.code.value, exc.code.name, exc.detail, context)
