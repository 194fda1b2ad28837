"""Commands of the contract log and their outcomes."""

import dataclasses

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """Replace a customer's contract."""

    edit_id: ids.EditId
    """Chosen by the operator; a resent edit keeps it."""
    customer: ids.CustomerId
    """Whose contract it is."""
    base_version: ids.Version
    """Version that the edit replaces; 0 when there is none."""
    document: str
    """The contract as JSON with comments."""
    at_unix_s: int = 0
    """When the leader took it; for people only."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Put an older version of a contract in force as a new version."""

    edit_id: ids.EditId
    """Chosen by the operator; a resent edit keeps it."""
    customer: ids.CustomerId
    """Whose contract it is."""
    base_version: ids.Version
    """Version that the edit replaces."""
    to_version: ids.Version
    """Version whose document is taken."""
    at_unix_s: int = 0
    """When the leader took it; for people only."""


@dataclasses.dataclass(frozen=True, slots=True)
class RosterHost:
    """An entry host as the keepers know it."""

    host: ids.HostId
    """Name from its settings."""
    zone: ids.ZoneId
    """Its availability zone."""
    address: ids.Address
    """Where the other entry hosts reach it."""
    incarnation: ids.Incarnation = ids.Incarnation(0)
    """Of the process that joined; a later one has lost its memory."""

    def equals_except_incarnation(self, other: "RosterHost") -> bool:
        """Tell whether both differ by their incarnation at most."""
        return dataclasses.replace(other, incarnation=self.incarnation) == self


@dataclasses.dataclass(frozen=True, slots=True)
class RosterEdit:
    """Entry hosts that joined or left; the leader collects them."""

    joined: tuple[RosterHost, ...] = ()
    """New, or at another address than before."""
    left: tuple[ids.HostId, ...] = ()
    """No longer part of the system."""


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The entry hosts, agreed by the keepers."""

    epoch: ids.Version = ids.ZERO_VERSION
    """Log index of the last change."""
    hosts: tuple[RosterHost, ...] = ()
    """Ordered by host."""

    def find(self, host: ids.HostId) -> RosterHost | None:
        """Return the entry of one host."""
        found = (item for item in self.hosts if item.host == host)
        return next(found, None)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of an edit; the same for each resend."""

    edit_id: ids.EditId
    """Which edit."""
    code: int
    """``OK`` or the reason of the refusal."""
    version: ids.Version
    """New version when accepted, else the customer's current one."""
    detail: str
    """For the operator."""
    fingerprint: int
    """Tells a resend from another edit under the same id."""

    @property
    def accepted(self) -> bool:
        """Whether the edit is in force."""
        return self.code == errors.Code.OK


Command = Edit | Rollback | RosterEdit

_CODEC = wire.Codec({1: Edit, 2: Rollback, 3: RosterEdit})


def encode_command(command: Command) -> bytes:
    """Return ``command`` as the data of a log entry."""
    return _CODEC.encode(command)


def decode_command(data: bytes) -> Command:
    """Read the data of a log entry."""
    command: Command = _CODEC.decode(data)
    return command
