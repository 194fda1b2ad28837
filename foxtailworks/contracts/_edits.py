"""Commands of the contract log and their outcomes."""

import dataclasses

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """Replace a customer's contract."""

    edit_id: ids.EditId
    """Chosen by the operator, and repeated when the edit is resent."""
    customer: ids.CustomerId
    """Customer that the contract is with."""
    base_version: ids.Version
    """Version that the edit replaces; 0 when there is none."""
    document: str
    """The contract as JSON with comments."""
    at_unix_s: int = 0
    """Unix time of its receipt by the leader, in seconds; for display only."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Put an older version of a contract in force as a new version."""

    edit_id: ids.EditId
    """Chosen by the operator, and repeated when the edit is resent."""
    customer: ids.CustomerId
    """Customer that the contract is with."""
    base_version: ids.Version
    """Version that the edit replaces."""
    to_version: ids.Version
    """Version whose document is put in force again."""
    at_unix_s: int = 0
    """Unix time of its receipt by the leader, in seconds; for display only."""


@dataclasses.dataclass(frozen=True, slots=True)
class RosterHost:
    """An entry host in the keepers' roster."""

    host: ids.HostId
    """Name from its settings."""
    zone: ids.ZoneId
    """Its availability zone."""
    address: ids.Address
    """Address at which the other entry hosts reach it."""
    incarnation: ids.Incarnation = ids.Incarnation(0)
    """Incarnation of the joined process; a later one has lost its state."""

    def equals_except_incarnation(self, other: "RosterHost") -> bool:
        """Return whether both are equal except for their incarnations."""
        return dataclasses.replace(other, incarnation=self.incarnation) == self


@dataclasses.dataclass(frozen=True, slots=True)
class RosterEdit:
    """Entry hosts that joined or left; the leader collects them."""

    joined: tuple[RosterHost, ...] = ()
    """Hosts that are new or at another address than before."""
    left: tuple[ids.HostId, ...] = ()
    """Hosts that aren't part of the system any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The entry hosts, as agreed by the keepers."""

    epoch: ids.Version = ids.ZERO_VERSION
    """Log index of the last change."""
    hosts: tuple[RosterHost, ...] = ()
    """Ordered by host."""

    def find(self, host: ids.HostId) -> RosterHost | None:
        """Return the roster's entry of one host, if it has one."""
        found = (item for item in self.hosts if item.host == host)
        return next(found, None)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of an edit; the same each time the edit is resent."""

    edit_id: ids.EditId
    """Edit that this is the result of."""
    code: int
    """Code ``OK``, or the code of the error that refused the edit."""
    version: ids.Version
    """New version when accepted, else the customer's current one."""
    detail: str
    """Explanation for the operator."""
    fingerprint: int
    """Distinguishes a resent edit from another one with the same id."""

    @property
    def accepted(self) -> bool:
        """Whether the edit was accepted."""
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
