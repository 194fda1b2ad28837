"""Results of commands; their field names are the keys of ``--json``."""

import dataclasses

from foxtailworks import contracts
from foxtailworks.ctl import _entries
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe


@dataclasses.dataclass(frozen=True)
class EditReport:
    """An edit that was accepted."""

    edit_id: ids.EditId
    """Id of the edit; resending it gives the same outcome."""
    customer: ids.CustomerId
    """Customer whose contract was edited."""
    version: ids.Version
    """Version that the edit created."""
    in_force: contracts.InForceAnswer | None = None
    """Hosts where it isn't in force yet; None when that wasn't requested."""


@dataclasses.dataclass(frozen=True)
class DiffReport:
    """Difference between two texts of a contract."""

    customer: ids.CustomerId
    """Customer whose contract is compared."""
    older: str
    """Name of the first text."""
    newer: str
    """Name of the second text."""
    lines: tuple[str, ...]
    """Lines of a unified diff; empty when the texts are equal."""


@dataclasses.dataclass(frozen=True)
class StatusReport:
    """Status reported by the keepers and the entry hosts."""

    keepers: contracts.StatusAnswer | None
    """Status from the leader; None when no keeper answered."""
    hosts: tuple[observe.HostStatus, ...]
    """Status that each entry host reports about itself."""
    unreached: tuple[_entries.UnreachedHost, ...]
    """Entry hosts that gave no answer."""
    keepers_error: str | None = None
    """Error when no keeper answered, else None."""


@dataclasses.dataclass(frozen=True)
class HistogramReport:
    """Histograms merged over the hosts that answered."""

    snapshots: tuple[observe.HistogramSnapshot, ...]
    """One for each customer, service and priority class."""
    hosts: int
    """Number of hosts that answered."""
    unreached: tuple[_entries.UnreachedHost, ...]
    """Entry hosts that gave no answer."""


@dataclasses.dataclass(frozen=True)
class DrainReport:
    """Result of draining an upstream on all hosts."""

    upstream: ids.UpstreamId
    """Id of the upstream that is drained."""
    confirmed: int
    """Number of hosts that confirmed."""
    flows: int
    """Open flows on it, over the hosts that confirmed."""
    unreached: tuple[_entries.UnreachedHost, ...]
    """Entry hosts that gave no answer."""


@dataclasses.dataclass(frozen=True)
class ErrorReport:
    """A command that ended with a numbered error."""

    code: int
    """Number of the result code, see docs/ERRORS.md."""
    result: str
    """Name of the result code."""
    detail: str
    """Description of the error in a sentence."""
    context: dict[str, str]
    """Names and values that help to locate the cause."""

    @classmethod
    def from_error(cls, exc: errors.FoxtailError) -> "ErrorReport":
        """Convert an exception to a report."""
        context = {name: str(value) for name, value in exc.context.items()}
        return cls(exc.code.value, exc.code.name, exc.detail, context)
